package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Dialect translates between the request path and the headers and statuses that callers and
// targets use. Its methods are safe for concurrent use.
type Dialect interface {
	// ParseRequest returns what the router needs to know of a caller's request. Errors: BadRequest.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// IsPrivateHeader says whether a header of a caller's request must not reach a target.
	IsPrivateHeader(name string) bool
	// SetAttemptHeaders sets the headers that the system adds for a target.
	SetAttemptHeaders(h http.Header, s AttemptInfo)
	// ParseResponse reads the header of a target's answer to a request that carried the stamp.
	ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo
	// WriteError answers a caller. retryAfter is when a refused request that has not run may come
	// again; 0 leaves it open.
	WriteError(w http.ResponseWriter, e *errkind.Error, retryAfter time.Duration)
}

// RequestInfo is what the router needs to know of a caller's request.
type RequestInfo struct {
	// ID identifies the request in logs; it may be empty.
	ID string
	// DeadlineMs is the time that the caller waits in milliseconds; 0 when it states none.
	DeadlineMs int64
	// AttemptsLeft bounds the attempts; 0 when the caller states no bound.
	AttemptsLeft int64
	// OrganisationKey is the credential; empty when there is none.
	OrganisationKey string
}

// AttemptInfo is what the system tells a target about an attempt.
type AttemptInfo struct {
	RequestID    string
	Attempt      string
	Service      string
	Organisation api.OrganisationID
	// Origin is the service that runs where the request began; empty when it is not known.
	Origin string
	// Target is the target that the attempt is meant for.
	Target    api.Announcement
	Deadline  time.Time
	Partition int // -1 for a service that is not divided by key
	Epoch     api.Epoch
}

// ResponseInfo is what the header of an answer says about the attempt.
type ResponseInfo struct {
	// Refusal is set when the target refused the attempt.
	Refusal *errkind.Error
	// Shed and Cold are its reasons.
	Shed, Cold bool
	// WrongAttempt says that the answer belongs to another attempt.
	WrongAttempt bool
	// ColdRemaining is how much longer the target is in a cold start; negative when it does not say.
	ColdRemaining time.Duration
	// Load is what a target that sheds says of its load; the zero value when it does not.
	Load TargetLoad
}

// TargetLoad is the load of a target in its own words.
type TargetLoad struct{ Running, Waiting, Slots int }

// HasFreeSlots says that the target states free slots.
func (l TargetLoad) HasFreeSlots() bool { return l.Running < l.Slots && l.Waiting == 0 }

// ownDialect is the product's own interface.
type ownDialect struct{}

// ParseRequest implements Dialect.
func (ownDialect) ParseRequest(r *http.Request) (RequestInfo, error) {
	ms, err := limitHeader(r.Header, api.HeaderDeadlineMs)
	if err != nil {
		return RequestInfo{}, err
	}
	left, err := limitHeader(r.Header, api.HeaderAttemptsLeft)
	if err != nil {
		return RequestInfo{}, err
	}
	return RequestInfo{DeadlineMs: ms, AttemptsLeft: left, OrganisationKey: bearer(r.Header)}, nil
}

// bearer returns the organisation key that came with a request, or "".
func bearer(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// limitHeader reads a positive number; 0 when the header is absent.
func limitHeader(h http.Header, name string) (int64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, errkind.New(errkind.BadRequest, "%s must be a positive number", name)
	}
	return n, nil
}

// IsPrivateHeader implements Dialect. Authorization is always removed, since a caller may send its
// key on an open route too.
func (ownDialect) IsPrivateHeader(name string) bool { return name == "Authorization" }

// SetAttemptHeaders implements Dialect.
func (ownDialect) SetAttemptHeaders(h http.Header, s AttemptInfo) {
	if s.Organisation != "" {
		setOnce(h, api.HeaderOrganisation, string(s.Organisation))
	}
	setOnce(h, api.HeaderAttempt, s.Attempt)
	setOnce(h, api.HeaderService, s.Service)
	setOnce(h, api.HeaderDeadlineMs, remainingMs(s.Deadline))
	if s.Partition >= 0 {
		setOnce(h, api.HeaderPartition, strconv.Itoa(s.Partition))
		setOnce(h, api.HeaderEpoch, strconv.FormatUint(uint64(s.Epoch), 10))
	}
}

// ParseResponse implements Dialect. A refusal may have been seen by the target's own code, so it does
// not say not run.
func (ownDialect) ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo {
	v := ResponseInfo{ColdRemaining: -1}
	v.WrongAttempt = s.Target.EchoesAttempt && resp.Header.Get(api.HeaderAttempt) != s.Attempt
	if resp.StatusCode != http.StatusServiceUnavailable {
		return v
	}
	v.Shed = resp.Header.Get(api.HeaderShed) == "true"
	v.Cold = resp.Header.Get(api.HeaderCold) == "true"
	if v.Shed || v.Cold {
		v.Refusal = errkind.New(errkind.Overloaded, "target %s sheds load", s.Target.ID)
		v.Refusal.NotRun = false
	}
	return v
}

// WriteError implements Dialect.
func (ownDialect) WriteError(w http.ResponseWriter, e *errkind.Error, _ time.Duration) {
	errkind.WriteHTTP(w, e)
}
