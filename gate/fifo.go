package gate

func init() { Queues.Register("fifo", func() Queue { return new(fifoQueue) }) }

// fifoQueue serves in order of arrival regardless of the organisation. It is the baseline for
// comparing the other policies.
type fifoQueue struct{ waiters []*Waiter }

func (q *fifoQueue) Push(w *Waiter) { q.waiters = append(q.waiters, w) }

func (q *fifoQueue) Pop() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters[0] = nil
	q.waiters = q.waiters[1:]
	return w
}

func (q *fifoQueue) Remove(w *Waiter) bool {
	var found bool
	q.waiters, found = removeWaiter(q.waiters, w)
	return found
}

func (q *fifoQueue) Len() int { return len(q.waiters) }

func (q *fifoQueue) Ahead(Request) int { return len(q.waiters) }

func (q *fifoQueue) Evict(Request) *Waiter { return nil }

func (q *fifoQueue) CanEvict(Request) bool { return false }

// removeWaiter returns the list without w and reports whether w was in it.
func removeWaiter(list []*Waiter, w *Waiter) ([]*Waiter, bool) {
	for i, other := range list {
		if other == w {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1], true
		}
	}
	return list, false
}
