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
	// maxLeaveWait bounds how long a request to leave is held; the target then repeats it.
	maxLeaveWait = 5 * time.Second
	// leavePollInterval is the interval at which the state of a leaving target is checked.
	leavePollInterval = 10 * time.Millisecond
)

// Defaults of values that an announcement omits.
const (
	defaultMaxConnections = 100
	defaultColdSlots      = 2
	defaultRampMs         = 2000
)

// AnnounceHandler serves api.PathAnnounce and api.PathLeave. It must only be reachable over loopback.
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

// checkAnnouncement returns Invalid for values out of range and sets the defaults of omitted ones.
func checkAnnouncement(a *api.Announcement) error {
	if !validName(string(a.ID)) || !validName(a.Service) {
		return errkind.New(errkind.Invalid, "id and service must have 1 to %d bytes", maxNameLength)
	}
	if len(a.Version) > maxNameLength {
		return errkind.New(errkind.Invalid, "version must have at most %d bytes", maxNameLength)
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errkind.New(errkind.Invalid, "slots must be between 1 and %d", maxSlots)
	}
	if a.MaxConnections < 0 || a.ColdSlots < 0 || a.RampMs < 0 || a.ClockMs < 0 {
		return errkind.New(errkind.Invalid, "max_connections, cold_slots, ramp_ms and clock_ms must not be negative")
	}
	setInt(&a.MaxConnections, defaultMaxConnections)
	setInt(&a.ColdSlots, min(defaultColdSlots, a.Slots))
	setInt(&a.RampMs, defaultRampMs)
	if a.ColdSlots > a.Slots {
		return errkind.New(errkind.Invalid, "cold_slots exceeds slots")
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
		return errkind.New(errkind.Invalid, "address %q is not an IP address and port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errkind.New(errkind.Invalid, "invalid port %q", port)
	}
	return nil
}

// announce adds a new target or refreshes a known one. Errors: Conflict when a known instance
// announces different properties, has left or was replaced, Overloaded beyond maxTargets.
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
	// Without r.mu: it may be locked while the lock of a target is held, but not the other way round.
	for _, old := range previous {
		old.markReplaced()
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
	if _, departed := r.departed[t.info.ID]; departed {
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
	r.applyDeparture(t)
	r.targets[t.info.ID] = t
	r.start(t)
	return previous, nil
}

func (t *Target) refresh(a api.Announcement, arrived time.Time) error {
	same := a
	same.ClockMs = t.info.ClockMs
	if same != t.info {
		return errkind.New(errkind.Conflict, "target %s announces different properties than before", a.ID)
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

// serveLeave drains the target and replies when it owns no partition and runs nothing, or after
// maxLeaveWait with Left unset. An unknown instance has nothing to drain; a delayed announcement does not add it.
func (r *Registry) serveLeave(w http.ResponseWriter, req *http.Request) {
	a, err := decodeAnnouncement(w, req)
	if err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	t := r.Lookup(a.ID)
	if t == nil {
		r.recordDeparted(a.ID, time.Now())
		writeReply(w, api.AnnouncementReply{Accepted: true, Left: true})
		return
	}
	t.drain()
	r.o.Wake()
	left := t.waitUntilLeft(req)
	if left {
		r.recordDeparted(a.ID, time.Now())
		r.remove(t)
		r.o.Wake()
	}
	writeReply(w, api.AnnouncementReply{Accepted: true, Left: left})
}

func (t *Target) waitUntilLeft(req *http.Request) bool {
	limit := time.NewTimer(maxLeaveWait)
	defer limit.Stop()
	ticker := time.NewTicker(leavePollInterval)
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
	// An error means that the target has closed the connection.
	_ = json.NewEncoder(w).Encode(reply)
}
