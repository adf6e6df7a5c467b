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
	for _, c := range slices.Backward(q.classes) {
		if c.priority < r.Priority {
			return nil
		}
		var w *Waiter
		if c.priority == r.Priority {
			w = c.queue.Evict(r)
		} else {
			w = c.queue.Pop()
		}
		if w != nil {
			q.length--
			return w
		}
	}
	return nil
}
