package api

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Hop is what the first node tells the owner's node about an attempt, beside the request itself. It is the value
// of one header: most hops cross availability zones, and separate headers take twice the bytes.
type Hop struct {
	Service string
	// Route is the name of the route that the request matched; empty where the owner's node has no use for it.
	Route        string
	Partition    int // -1 for a service that is not partitioned
	Epoch        Epoch
	Target       TargetID
	Key          string
	Organisation OrganisationID
	Origin       string // service on the host where the request entered
	Priority     int
	Idempotent   bool
	DeadlineMs   int64 // time left
	// ObjectiveMs is the time left to the latency objective, 0 when it has passed and -1 without one.
	ObjectiveMs int64
	// Late is true if the response may miss the objective, since no other target is left to try. It is sent only if it
	// is true.
	Late bool
}

const (
	hopSeparator = ";"
	hopFields    = 12
	hopLate      = "late" // an optional field after the others
)

// String returns the value of HeaderHop.
func (h Hop) String() string {
	fields := []string{
		url.QueryEscape(h.Service),
		url.QueryEscape(h.Route),
		strconv.Itoa(h.Partition),
		strconv.FormatUint(uint64(h.Epoch), 10),
		url.QueryEscape(string(h.Target)),
		url.QueryEscape(h.Key),
		url.QueryEscape(string(h.Organisation)),
		url.QueryEscape(h.Origin),
		strconv.Itoa(h.Priority),
		strconv.FormatBool(h.Idempotent),
		strconv.FormatInt(h.DeadlineMs, 10),
		strconv.FormatInt(h.ObjectiveMs, 10),
	}
	if h.Late {
		fields = append(fields, hopLate)
	}
	return strings.Join(fields, hopSeparator)
}

// ParseHop parses the value of HeaderHop. It fails for a value that String does not return.
func ParseHop(value string) (Hop, error) {
	r := hopReader{fields: strings.Split(value, hopSeparator)}
	late := len(r.fields) == hopFields+1 && r.fields[hopFields] == hopLate
	if len(r.fields) != hopFields && !late {
		return Hop{}, errors.Errorf("%d fields in the description of a hop, want %d", len(r.fields), hopFields)
	}
	h := Hop{
		Service:      r.text(),
		Route:        r.text(),
		Partition:    int(r.number()),
		Epoch:        Epoch(r.unsigned()),
		Target:       TargetID(r.text()),
		Key:          r.text(),
		Organisation: OrganisationID(r.text()),
		Origin:       r.text(),
		Priority:     int(r.number()),
		Idempotent:   r.next() == "true",
		DeadlineMs:   r.number(),
		ObjectiveMs:  r.number(),
		Late:         late,
	}
	return h, errors.Annotate(r.err, "malformed description of a hop")
}

// hopReader reads fields in turn and keeps the first error.
type hopReader struct {
	fields []string
	err    error
}

func (r *hopReader) next() string {
	field := r.fields[0]
	r.fields = r.fields[1:]
	return field
}

func (r *hopReader) text() string {
	text, err := url.QueryUnescape(r.next())
	r.keep(err)
	return text
}

func (r *hopReader) number() int64 {
	n, err := strconv.ParseInt(r.next(), 10, 64)
	r.keep(err)
	return n
}

func (r *hopReader) unsigned() uint64 {
	n, err := strconv.ParseUint(r.next(), 10, 64)
	r.keep(err)
	return n
}

func (r *hopReader) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}
