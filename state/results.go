package state

import "github.com/zinniapier/zinniapier/api"

// maxResults bounds the stored results of operator changes. At 79,000 changes a day it covers resends
// for about three hours.
const maxResults = 10_000

// storedResult is a result in a snapshot.
type storedResult struct {
	ID     string            `json:"id"`
	Result *api.ChangeResult `json:"result"`
}

// results holds the results of the last maxResults operator changes by change id.
type results struct {
	byID  map[string]*api.ChangeResult
	order []string // ring of ids; once it is full, the oldest is at next
	next  int
}

func newResults() results {
	return results{byID: make(map[string]*api.ChangeResult)}
}

// add stores a result and evicts the oldest one beyond maxResults.
func (r *results) add(id string, result *api.ChangeResult) {
	if len(r.order) < maxResults {
		r.order = append(r.order, id)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % maxResults
	}
	r.byID[id] = result
}

// list returns the results, oldest first.
func (r *results) list() []storedResult {
	list := make([]storedResult, 0, len(r.order))
	for i := range r.order {
		id := r.order[(r.next+i)%len(r.order)]
		list = append(list, storedResult{id, r.byID[id]})
	}
	return list
}
