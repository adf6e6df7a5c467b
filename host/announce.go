package host

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	maxAnnouncementBytes = 64 << 10
	maxNameLength        = 128
	maxSlots             = 1 << 16
	// leaveWait is how long one request to leave waits; the target then asks again.
	leaveWait = 5 * time.Second
	// leavePoll is the interval at which a leaving target is looked at.
	leavePoll = 10 * time.Millisecond
)

// Values that an announcement may leave out.
const (
	defaultMaxConnections = 100
	defaultColdSlots      = 2
	defaultRampMs         = 2000
)

// AnnounceHandler serves api.PathAnnounce and api.PathLeave. It belongs on a loopback listener.
func (r *Registry) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathAnnounce, r.serveAnnounce)
	mux.HandleFunc("POST "+api.PathLeave, r.serveLeave)
	return mux
}

func (r *Registry) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	a, err := decodeAnnouncement(w, req)
	arrived := time.Now()
	if err == nil {
		err = checkAnnouncement(&a)
	}
	if err == nil {
		err = r.announce(a, arrived)
	}
	if err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	writeReply(w, api.AnnouncementReply{Accepted: true})
}

func decodeAnnouncement(w http.ResponseWriter, req *http.Request) (api.Announcement, error) {
	var a api.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, errkind.New(errkind.BadRequest, "announcement: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return a, errkind.New(errkind.BadRequest, "data after the announcement")
	}
	return a, nil
}

// checkAnnouncement refuses values out of range and fills in those that were left out.
func checkAnnouncement(a *api.Announcement) error {
	if !validName(string(a.ID)) || !validName(a.Service) {
		return errkind.New(errkind.Invalid, "id and service have 1 to %d bytes", maxNameLength)
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errkind.New(errkind.Invalid, "slots are outside 1..%d", maxSlots)
	}
	if a.MaxConnections < 0 || a.ColdSlots < 0 || a.RampMs < 0 || a.ClockMs < 0 {
		return errkind.New(errkind.Invalid, "a number is negative")
	}
	setInt(&a.MaxConnections, defaultMaxConnections)
	setInt(&a.ColdSlots, min(defaultColdSlots, a.Slots))
	setInt(&a.RampMs, defaultRampMs)
	if a.ColdSlots > a.Slots {
		return errkind.New(errkind.Invalid, "cold_slots exceed slots")
	}
	return nil
}

func validName(s string) bool { return s != "" && len(s) <= maxNameLength }

func setInt(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return errkind.New(errkind.Invalid, "address %q is not an IP number and port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errkind.New(errkind.Invalid, "port %q", port)
	}
	return nil
}

// announce takes up a new target or refreshes a known one. Errors: Conflict when a known
// instance announces other properties, Overloaded beyond maxTargets.
func (r *Registry) announce(a api.Announcement, arrived time.Time) error {
	r.mu.Lock()
	known := r.targets[a.ID]
	r.mu.Unlock()
	if known != nil {
		return known.refresh(a, arrived)
	}
	return r.add(a, arrived)
}

func (r *Registry) add(a api.Announcement, arrived time.Time) error {
	previous, err := r.insert(newTarget(r, a, arrived))
	if err != nil {
		return err
	}
	// Outside r.mu, which is taken while the lock of a target is held, never the other way.
	for _, old := range previous {
		old.replace()
	}
	telemetry.Logger("host").WithField("target", a.ID).WithField("service", a.Service).Info("Target announced.")
	r.o.Wake()
	return nil
}

// insert adds the target and returns those that announced the same address before.
func (r *Registry) insert(t *Target) (previous []*Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[t.info.ID] != nil {
		return nil, nil // a concurrent announcement of the same target came first
	}
	if _, left := r.left[t.info.ID]; left {
		return nil, errkind.New(errkind.Conflict, "target %s has left", t.info.ID)
	}
	if len(r.targets) >= maxTargets {
		return nil, errkind.New(errkind.Overloaded, "the node has %d targets", maxTargets)
	}
	for _, old := range r.targets {
		if old.info.Address == t.info.Address {
			previous = append(previous, old)
		}
	}
	r.targets[t.info.ID] = t
	r.start(t)
	return previous, nil
}

func (t *Target) refresh(a api.Announcement, arrived time.Time) error {
	same := a
	same.ClockMs = t.info.ClockMs
	if same != t.info {
		return errkind.New(errkind.Conflict, "target %s announces other properties than before", a.ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replaced {
		return errkind.New(errkind.Conflict, "another target has taken the address of %s", a.ID)
	}
	t.announced = arrived
	t.clock = clockReading{ms: a.ClockMs, at: arrived}
	return nil
}

// serveLeave drains the target and answers when it owns nothing and runs nothing, or after
// leaveWait with Left unset. An instance that is not known here has nothing left to drain.
func (r *Registry) serveLeave(w http.ResponseWriter, req *http.Request) {
	a, err := decodeAnnouncement(w, req)
	if err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	t := r.Lookup(a.ID)
	if t == nil {
		writeReply(w, api.AnnouncementReply{Accepted: true, Left: true})
		return
	}
	t.drain()
	r.o.Wake()
	left := t.awaitLeft(req)
	if left {
		r.noteLeft(a.ID, time.Now())
		r.remove(t)
		r.o.Wake()
	}
	writeReply(w, api.AnnouncementReply{Accepted: true, Left: left})
}

func (t *Target) awaitLeft(req *http.Request) bool {
	limit := time.NewTimer(leaveWait)
	defer limit.Stop()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		if t.hasLeft() {
			return true
		}
		select {
		case <-req.Context().Done():
			return false
		case <-limit.C:
			return false
		case <-ticker.C:
		}
	}
}

func writeReply(w http.ResponseWriter, reply api.AnnouncementReply) {
	w.Header().Set("Content-Type", "application/json")
	// The target may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(reply)
}
