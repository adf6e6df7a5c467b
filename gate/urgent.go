package gate

import "slices"

// QueueUrgent names the queue policy that serves the most urgent priority first, and within a
// priority fairly between organisations.
const QueueUrgent = "urgent"

func init() { Queues.Register(QueueUrgent, func() Queue { return new(urgentQueue) }) }

// urgentQueue holds a fair queue for each priority, ordered from the most urgent.
type urgentQueue struct {
	classes []urgentClass
	length  int
}

type urgentClass struct {
	priority int
	queue    Queue
}

func (q *urgentQueue) class(priority int) Queue {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c urgentClass, p int) int { return c.priority - p })
	if !found {
		q.classes = slices.Insert(q.classes, i, urgentClass{priority, newFairQueue()})
	}
	return q.classes[i].queue
}

func (q *urgentQueue) Push(w *Waiter) {
	q.class(w.Priority).Push(w)
	q.length++
}

func (q *urgentQueue) Pop() *Waiter {
	for _, c := range q.classes {
		if w := c.queue.Pop(); w != nil {
			q.length--
			return w
		}
	}
	return nil
}

func (q *urgentQueue) Remove(w *Waiter) bool {
	if !q.class(w.Priority).Remove(w) {
		return false
	}
	q.length--
	return true
}

func (q *urgentQueue) Len() int { return q.length }

func (q *urgentQueue) Ahead(r Request) int {
	ahead := 0
	for _, c := range q.classes {
		switch {
		case c.priority < r.Priority:
			ahead += c.queue.Len()
		case c.priority == r.Priority:
			ahead += c.queue.Ahead(r)
		}
	}
	return ahead
}

// Evict removes a waiter of the least urgent priority, never one that is more urgent than the new
// request. Within the priority of the new request, the fair queue decides.
func (q *urgentQueue) Evict(r Request) *Waiter {
	c := q.evictable(r)
	if c == nil {
		return nil
	}
	q.length--
	if c.priority == r.Priority {
		return c.queue.Evict(r)
	}
	return c.queue.Pop()
}

func (q *urgentQueue) CanEvict(r Request) bool { return q.evictable(r) != nil }

// evictable returns the class that Evict removes a waiter from, or nil.
func (q *urgentQueue) evictable(r Request) *urgentClass {
	for i, c := range slices.Backward(q.classes) {
		if c.priority < r.Priority {
			return nil
		}
		if c.priority == r.Priority && c.queue.CanEvict(r) || c.priority > r.Priority && c.queue.Len() > 0 {
			return &q.classes[i]
		}
	}
	return nil
}
