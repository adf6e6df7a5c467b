package target

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Paths of the sample target beside those of the target protocol.
const (
	PathBehaviour = "/zinnia/behaviour"
	PathCounters  = "/zinnia/counters"
)

const maxBehaviourBytes = 64 << 10

// Behaviour is how a sample target treats its requests. POST of one to PathBehaviour replaces
// the previous one. All times are in milliseconds, all shares in 0..1.
type Behaviour struct {
	// WorkMs is the mean time of a request; single ones vary by half of it.
	WorkMs float64 `json:"work_ms"`
	// StraggleMs is added to the share StraggleShare of the requests.
	StraggleMs    float64 `json:"straggle_ms"`
	StraggleShare float64 `json:"straggle_share"`
	// FailShare is the share of the requests that are answered with status 500 after their work.
	FailShare float64 `json:"fail_share"`
	// Shed refuses every request with 503 and Zinnia-Shed.
	Shed bool `json:"shed"`
	// BecomeCold starts the cold state anew, once.
	BecomeCold bool `json:"become_cold"`
	// ShortAnswer ends answers before their stated length.
	ShortAnswer bool `json:"short_answer"`
	// LateAnswerMs delays answers after the work is done, also when the caller has gone.
	LateAnswerMs float64 `json:"late_answer_ms"`
	// CrossedAnswer states another attempt's id in answers.
	CrossedAnswer bool `json:"crossed_answer"`
	// AnswerBytes is the length of padding in answers.
	AnswerBytes int `json:"answer_bytes"`
	// FreezeMs blocks every handler, that of orders included, for so long from now, once.
	FreezeMs float64 `json:"freeze_ms"`
	// LoadLagMs is the age of what the load endpoint reports.
	LoadLagMs float64 `json:"load_lag_ms"`
}

func (b *Behaviour) check() error {
	if b.StraggleShare < 0 || b.StraggleShare > 1 {
		return errkind.New(errkind.Invalid, "straggle_share is outside 0..1")
	}
	if b.FailShare < 0 || b.FailShare > 1 {
		return errkind.New(errkind.Invalid, "fail_share is outside 0..1")
	}
	for _, ms := range []float64{b.WorkMs, b.StraggleMs, b.LateAnswerMs, b.FreezeMs, b.LoadLagMs} {
		if ms < 0 || ms > float64(time.Hour.Milliseconds()) {
			return errkind.New(errkind.Invalid, "a time is outside 0..1 h")
		}
	}
	if b.AnswerBytes < 0 || b.AnswerBytes > 64<<20 {
		return errkind.New(errkind.Invalid, "answer_bytes is outside 0..64 MiB")
	}
	return nil
}

// workTime draws the time of one request.
func (b *Behaviour) workTime() time.Duration {
	ms := b.WorkMs * (0.5 + rand.Float64())
	if rand.Float64() < b.StraggleShare {
		ms += b.StraggleMs
	}
	return milliseconds(ms)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// SetBehaviour replaces the behaviour. It returns an error of kind Invalid for values out of range.
func (s *Sample) SetBehaviour(b Behaviour) error {
	if err := b.check(); err != nil {
		return err
	}
	if b.BecomeCold {
		s.cold.restart()
	}
	if b.FreezeMs > 0 {
		s.freeze.until(time.Now().Add(milliseconds(b.FreezeMs)))
	}
	b.BecomeCold, b.FreezeMs = false, 0
	s.behaviour.Store(&b)
	return nil
}

func (s *Sample) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, s.behaviour.Load())
		return
	}
	var b Behaviour
	if err := decodeStrict(w, r, maxBehaviourBytes, &b); err != nil {
		errkind.WriteHTTP(w, errkind.New(errkind.BadRequest, "behaviour: %v", err))
		return
	}
	if err := s.SetBehaviour(b); err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// freezer blocks handlers for a time, like a process that is paused.
type freezer struct {
	mu  sync.Mutex
	end time.Time
}

func (f *freezer) until(end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end = end
}

func (f *freezer) wait() {
	for {
		f.mu.Lock()
		left := time.Until(f.end)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// loadHistory keeps recent load reports, so that the load endpoint can lag.
type loadHistory struct {
	mu      sync.Mutex
	entries []loadEntry
}

type loadEntry struct {
	at     time.Time
	report api.LoadReport
}

const (
	loadSampleInterval = 50 * time.Millisecond
	maxLoadEntries     = 1200 // one minute
)

func (h *loadHistory) add(report api.LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, loadEntry{at: time.Now(), report: report})
	if len(h.entries) > maxLoadEntries {
		h.entries = h.entries[1:]
	}
}

// before returns the newest report that is at least lag old, or the zero report.
func (h *loadHistory) before(lag time.Duration) api.LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := time.Now().Add(-lag)
	for i := len(h.entries) - 1; i >= 0; i-- {
		if !h.entries[i].at.After(limit) {
			return h.entries[i].report
		}
	}
	return api.LoadReport{}
}
