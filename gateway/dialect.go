package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Dialect translates between the gateway and the headers and statuses that callers and targets use.
// Its methods are safe for concurrent use.
type Dialect interface {
	// ParseRequest extracts what the gateway needs from a caller's request. Errors: BadRequest.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// IsPrivateHeader reports whether a header of a caller's request must not reach a target.
	IsPrivateHeader(name string) bool
	// SetAttemptHeaders sets the headers that the gateway adds for a target.
	SetAttemptHeaders(h http.Header, s AttemptInfo)
	// ParseResponse interprets the status and header of a target's response to the attempt.
	ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo
	// ParseStatement returns what a target states about itself in the header of any of its responses.
	ParseStatement(h http.Header) TargetStatement
	// WriteError sends an error response to a caller. retryAfter is when a refused request that has
	// not run may be sent again; 0 means unspecified.
	WriteError(w http.ResponseWriter, e *errkind.Error, retryAfter time.Duration)
}

// RequestInfo is what the gateway needs from the headers of a caller's request.
type RequestInfo struct {
	// ID identifies the request in logs; it may be empty.
	ID string
	// DeadlineMs is how long the caller waits, in milliseconds; 0 if not stated.
	DeadlineMs int64
	// AttemptsLeft limits the attempts; 0 if the caller states no limit.
	AttemptsLeft int64
	// OrganisationKey is the credential; empty if there is none.
	OrganisationKey string
}

// AttemptInfo describes an attempt to the target that receives it.
type AttemptInfo struct {
	RequestID    string
	Attempt      string
	Service      string
	Organisation api.OrganisationID
	// Origin is the service on the host where the request entered; empty if unknown.
	Origin string
	// Target is the intended target of the attempt.
	Target    api.Announcement
	Deadline  time.Time
	Partition int // -1 for a service that is not partitioned
	Epoch     api.Epoch
}

// ResponseInfo is what the header of a response reports about the attempt and the target.
type ResponseInfo struct {
	// Refusal is set if the target refused the attempt.
	Refusal *errkind.Error
	// Shed and Cold are the reasons of a refusal: load shedding, cold start.
	Shed, Cold bool
	// WrongAttempt is true if the response belongs to another attempt, or nothing shows that it belongs to this one.
	WrongAttempt bool
	// ColdRemaining is the remaining time of the target's cold start; negative if not stated.
	ColdRemaining time.Duration
	// Load is the load that a refusing target reports; zero if not stated.
	Load TargetLoad
}

// TargetStatement is what a target states about itself beside a response.
type TargetStatement struct {
	// RateLimit is the number of requests per second that the target takes from all nodes; negative if it
	// names no limit.
	RateLimit float64
	// Leaving is true if the target is about to stop.
	Leaving bool
}

// TargetLoad is the load of a target as the target reports it.
type TargetLoad struct{ Running, Waiting, Slots int }

// HasFreeSlots reports whether the target has free slots and no queue.
func (l TargetLoad) HasFreeSlots() bool { return l.Running < l.Slots && l.Waiting == 0 }

// defaultDialect implements the product's own HTTP headers.
type defaultDialect struct{}

// ParseRequest implements Dialect.
func (defaultDialect) ParseRequest(r *http.Request) (RequestInfo, error) {
	ms, err := positiveHeader(r.Header, api.HeaderDeadlineMs)
	if err != nil {
		return RequestInfo{}, err
	}
	left, err := positiveHeader(r.Header, api.HeaderAttemptsLeft)
	if err != nil {
		return RequestInfo{}, err
	}
	return RequestInfo{DeadlineMs: ms, AttemptsLeft: left, OrganisationKey: bearerToken(r.Header)}, nil
}

// bearerToken returns the organisation key of a request, or "".
func bearerToken(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// positiveHeader parses a header that holds a positive number; 0 if it is absent. Errors:
// BadRequest.
func positiveHeader(h http.Header, name string) (int64, error) {
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
func (defaultDialect) IsPrivateHeader(name string) bool { return name == "Authorization" }

// SetAttemptHeaders implements Dialect.
func (defaultDialect) SetAttemptHeaders(h http.Header, s AttemptInfo) {
	if s.Organisation != "" {
		setHeader(h, api.HeaderOrganisation, string(s.Organisation))
	}
	setHeader(h, api.HeaderAttempt, s.Attempt)
	setHeader(h, api.HeaderService, s.Service)
	setHeader(h, api.HeaderDeadlineMs, strconv.FormatInt(remainingMs(s.Deadline), 10))
	if s.Partition >= 0 {
		setHeader(h, api.HeaderPartition, strconv.Itoa(s.Partition))
		setHeader(h, api.HeaderEpoch, strconv.FormatUint(uint64(s.Epoch), 10))
	}
}

// ParseResponse implements Dialect. The target's own code may have seen a refused request, so a
// refusal does not count as not run.
func (defaultDialect) ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo {
	v := ResponseInfo{ColdRemaining: -1}
	v.WrongAttempt = s.Target.EchoesAttempt && resp.Header.Get(api.HeaderAttempt) != s.Attempt
	if resp.StatusCode != http.StatusServiceUnavailable {
		return v
	}
	v.Shed = resp.Header.Get(api.HeaderShed) == "true"
	v.Cold = resp.Header.Get(api.HeaderCold) == "true"
	if v.Shed || v.Cold {
		v.Refusal = errkind.New(errkind.Overloaded, "target %s is shedding load", s.Target.ID)
		v.Refusal.NotRun = false
	}
	return v
}

// ParseStatement implements Dialect. Targets state that they leave in their announcements.
func (defaultDialect) ParseStatement(http.Header) TargetStatement {
	return TargetStatement{RateLimit: -1}
}

// WriteError implements Dialect.
func (defaultDialect) WriteError(w http.ResponseWriter, e *errkind.Error, _ time.Duration) {
	errkind.WriteHTTP(w, e)
}
