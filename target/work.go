package target

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/wait"
)

const (
	maxWorkBody = 64 << 20
	// HeaderRequestID names a request in the counters, before the body field request_id.
	HeaderRequestID = "X-Request-Id"
)

// Answer is the body of a sample target's answer.
type Answer struct {
	Instance     api.TargetID `json:"instance"`
	Name         string       `json:"name"`
	Zone         string       `json:"zone"`
	Service      string       `json:"service"`
	Version      string       `json:"version,omitempty"`
	Organisation string       `json:"organisation"`
	Method       string       `json:"method"`
	Path         string       `json:"path"`
	Headers      http.Header  `json:"headers"`
	Partition    string       `json:"partition"`
	RequestID    string       `json:"request_id"`
	// BodyBytes is the length of the request's body.
	BodyBytes int `json:"body_bytes"`
	// Runs is the number of requests that the target has run, this one included.
	Runs    int64  `json:"runs"`
	Padding string `json:"padding,omitempty"`
}

// work is one request at the sample target.
type work struct {
	ref       api.PartitionRef
	epoch     api.Epoch
	requestID string
	bodyBytes int
	deadline  time.Duration // zero: none
}

func (s *Sample) serveWork(w http.ResponseWriter, r *http.Request) {
	s.echoAttempt(w, r)
	job, err := parseWork(w, r)
	if err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	cold, refusal := s.admit()
	if refusal != "" {
		s.refuseLoad(w, refusal)
		return
	}
	defer s.counters.leave()
	if !s.granted(w, job, true) {
		return
	}
	runs := s.counters.started(job.requestID, cold)
	if s.o.Started != nil {
		s.o.Started(api.OrganisationID(r.Header.Get(api.HeaderOrganisation)))
	}
	b := s.behaviour.Load()
	if !s.work(r.Context(), job, b) {
		s.counters.add(func(c *Counters) *int64 { return &c.Cancelled })
		refuse(w, errkind.TargetTimeout, "the request was cancelled or its deadline passed", false)
		return
	}
	s.freeze.wait()
	if !s.granted(w, job, false) {
		return
	}
	s.counters.completed(job.requestID)
	// A late answer ignores cancellation on purpose.
	time.Sleep(milliseconds(b.LateAnswerMs))
	if rand.Float64() < b.FailShare {
		http.Error(w, "failed on request", http.StatusInternalServerError)
		return
	}
	s.answer(w, r, job, runs, b)
}

func (s *Sample) echoAttempt(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(api.HeaderAttempt)
	if attempt == "" || s.o.NoEcho {
		return
	}
	if s.behaviour.Load().CrossedAnswer {
		attempt = api.NewID()
	}
	w.Header().Set(api.HeaderAttempt, attempt)
}

// admit counts the request as running, unless it is above the slots or the bearable
// concurrency; it then returns the header of the refusal.
func (s *Sample) admit() (cold bool, refusal string) {
	s.counters.enter(func(running int) bool {
		var ok bool
		ok, cold = s.cold.admit(running)
		switch {
		case !ok:
			refusal = api.HeaderCold
		case running > s.o.Slots || s.behaviour.Load().Shed:
			refusal = api.HeaderShed
		}
		return refusal == ""
	})
	return cold, refusal
}

func (s *Sample) refuseLoad(w http.ResponseWriter, header string) {
	w.Header().Set(header, "true")
	if header == api.HeaderCold {
		refuse(w, errkind.Overloaded, "more than a cold target bears", true)
		return
	}
	s.counters.add(func(c *Counters) *int64 { return &c.Shed })
	refuse(w, errkind.Overloaded, "the target sheds load", true)
}

// granted refuses divided work without a current grant.
func (s *Sample) granted(w http.ResponseWriter, job *work, notRun bool) bool {
	if !s.o.ChecksGrants || job.ref.Partition < 0 {
		return true
	}
	err := s.grants.Check(job.ref.Partition, job.epoch)
	if err == nil {
		return true
	}
	s.counters.add(func(c *Counters) *int64 { return &c.Fenced })
	refuse(w, errkind.Of(err), errkind.From(err).Message, notRun)
	return false
}

func refuse(w http.ResponseWriter, kind errkind.Kind, message string, notRun bool) {
	e := errkind.New(kind, "%s", message)
	e.NotRun = notRun
	errkind.WriteHTTP(w, e)
}

// work spends the time of the request. It returns false when the caller left or the deadline
// passed first.
func (s *Sample) work(ctx context.Context, job *work, b *Behaviour) bool {
	if job.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, job.deadline)
		defer cancel()
	}
	d := b.workTime()
	if d == 0 {
		return ctx.Err() == nil
	}
	return wait.For(ctx, d)
}

func (s *Sample) answer(w http.ResponseWriter, r *http.Request, job *work, runs int64, b *Behaviour) {
	body, err := json.Marshal(Answer{
		Instance:     s.o.ID,
		Name:         s.o.Name,
		Zone:         s.o.Zone,
		Service:      s.o.Service,
		Version:      s.o.Version,
		Organisation: r.Header.Get(api.HeaderOrganisation),
		Method:       r.Method,
		Path:         r.URL.Path,
		Headers:      r.Header,
		Partition:    r.Header.Get(api.HeaderPartition),
		RequestID:    job.requestID,
		BodyBytes:    job.bodyBytes,
		Runs:         runs,
		Padding:      strings.Repeat("z", b.AnswerBytes),
	})
	if err != nil {
		refuse(w, errkind.Internal, err.Error(), false)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.ShortAnswer {
		writeShort(w, body)
	}
	_, _ = w.Write(body)
}

// writeShort sends half of the body and closes the connection.
func writeShort(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func parseWork(w http.ResponseWriter, r *http.Request) (*work, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkBody))
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "body: %v", err)
	}
	job := &work{requestID: r.Header.Get(HeaderRequestID), bodyBytes: len(body)}
	if job.requestID == "" {
		job.requestID = requestIDOf(body)
	}
	job.ref = api.PartitionRef{Service: r.Header.Get(api.HeaderService), Partition: -1}
	if err := parseNumbers(r.Header, job); err != nil {
		return nil, err
	}
	return job, nil
}

func requestIDOf(body []byte) string {
	var fields struct {
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	return fields.RequestID
}

func parseNumbers(h http.Header, job *work) error {
	var epoch uint64
	var deadlineMs int
	var err error
	if text := h.Get(api.HeaderPartition); text != "" && err == nil {
		job.ref.Partition, err = strconv.Atoi(text)
	}
	if text := h.Get(api.HeaderEpoch); text != "" && err == nil {
		epoch, err = strconv.ParseUint(text, 10, 64)
	}
	if text := h.Get(api.HeaderDeadlineMs); text != "" && err == nil {
		deadlineMs, err = strconv.Atoi(text)
	}
	if err != nil {
		return errkind.New(errkind.BadRequest, "header: %v", err)
	}
	job.epoch = api.Epoch(epoch)
	job.deadline = time.Duration(deadlineMs) * time.Millisecond
	return nil
}
