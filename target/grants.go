// Package target holds the target side of the orders protocol, for servers that stand behind
// the router, and a sample target for tests, the bench and the demonstration.
package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// maxOrdersBytes bounds the body of an order.
	maxOrdersBytes = 4 << 20
	// maxGrantPartition bounds the partition numbers in an order.
	maxGrantPartition = 1 << 20
)

// Grants are the grants that the node has handed to this target. They end on the target's own
// monotonic clock unless they are renewed. It is safe for concurrent use.
type Grants struct {
	id      api.TargetID
	now     func() time.Duration
	running func() int

	mu       sync.Mutex
	sequence uint64
	expires  int64 // on the clock of ClockMs
	current  map[int]api.Epoch
	highest  map[int]api.Epoch // the greatest epoch ever granted, by partition
}

// NewGrants returns an empty set for the target instance. running reports the requests in
// progress and may be nil.
func NewGrants(id api.TargetID, running func() int) *Grants {
	started := time.Now()
	return newGrants(id, running, func() time.Duration { return time.Since(started) })
}

func newGrants(id api.TargetID, running func() int, now func() time.Duration) *Grants {
	if running == nil {
		running = func() int { return 0 }
	}
	return &Grants{
		id:      id,
		now:     now,
		running: running,
		current: make(map[int]api.Epoch),
		highest: make(map[int]api.Epoch),
	}
}

// ClockMs is the target's monotonic clock in milliseconds since its start.
func (g *Grants) ClockMs() int64 { return g.now().Milliseconds() }

// Check reports whether work of the partition may go on under the epoch. A server calls it at the
// start of the work and again before the work takes effect. Errors: StaleEpoch for an older
// epoch, WrongOwner without a current grant.
func (g *Grants) Check(partition int, epoch api.Epoch) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch < g.highest[partition] {
		return errkind.New(errkind.StaleEpoch, "epoch %d of partition %d is older than %d",
			epoch, partition, g.highest[partition])
	}
	granted, ok := g.current[partition]
	if !ok || granted != epoch {
		return errkind.New(errkind.WrongOwner, "no grant of partition %d at epoch %d", partition, epoch)
	}
	if g.ClockMs() >= g.expires {
		return errkind.New(errkind.WrongOwner, "the grant of partition %d has expired", partition)
	}
	return nil
}

// Owned returns the number of current grants, expired ones included.
func (g *Grants) Owned() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.current)
}

// ServeHTTP takes orders at api.PathOrders. An order with a sequence that is not higher than
// the last one is ignored, and the answer states the last one.
func (g *Grants) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "orders are posted", http.StatusMethodNotAllowed)
		return
	}
	var orders api.Orders
	if err := decodeStrict(w, r, maxOrdersBytes, &orders); err != nil {
		errkind.WriteHTTP(w, errkind.New(errkind.BadRequest, "orders: %v", err))
		return
	}
	if err := g.Accept(&orders); err != nil {
		errkind.WriteHTTP(w, errkind.From(err))
		return
	}
	writeJSON(w, g.Reply())
}

// Reply returns the acknowledgement of the orders accepted so far.
func (g *Grants) Reply() api.OrdersReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	return api.OrdersReply{ClockMs: g.ClockMs(), Sequence: g.sequence, Instance: g.id, Running: g.running()}
}

// Accept carries out orders; repeated and late ones have no effect. Errors: UnknownMember for
// another instance, Invalid, and StaleEpoch when a grant is older than one accepted before.
func (g *Grants) Accept(o *api.Orders) error {
	if o.Target != g.id {
		return errkind.New(errkind.UnknownMember, "orders for %s reached %s", o.Target, g.id)
	}
	next, err := grantSet(o.Grants)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Sequence <= g.sequence {
		return nil
	}
	if !o.Renew {
		if err := g.replace(next); err != nil {
			return err
		}
	}
	g.sequence = o.Sequence
	g.expires = o.ExpiresClockMs
	return nil
}

func (g *Grants) replace(next map[int]api.Epoch) error {
	for partition, epoch := range next {
		if epoch < g.highest[partition] {
			return errkind.New(errkind.StaleEpoch, "order with epoch %d of partition %d after %d",
				epoch, partition, g.highest[partition])
		}
	}
	for partition, epoch := range next {
		g.highest[partition] = epoch
	}
	g.current = next
	return nil
}

func grantSet(grants []api.TargetGrant) (map[int]api.Epoch, error) {
	set := make(map[int]api.Epoch, len(grants))
	for _, grant := range grants {
		if grant.Partition < 0 || grant.Partition > maxGrantPartition {
			return nil, errkind.New(errkind.Invalid, "partition %d in orders", grant.Partition)
		}
		if _, twice := set[grant.Partition]; twice {
			return nil, errkind.New(errkind.Invalid, "partition %d twice in orders", grant.Partition)
		}
		set[grant.Partition] = grant.Epoch
	}
	return set, nil
}

// decodeStrict decodes a JSON body of at most limit bytes. Unknown fields and data after the
// value are errors.
func decodeStrict(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errkind.New(errkind.BadRequest, "data after the JSON value")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The peer may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
