package state

import "github.com/zinniapier/zinniapier/api"

// resultLimit bounds the remembered results of operator changes. At 79,000 changes a day
// it covers resends for about three hours.
const resultLimit = 10_000

type storedResult struct {
	ID     string            `json:"id"`
	Result *api.ChangeResult `json:"result"`
}

// results remembers the answers to the last operator changes by change id.
type results struct {
	byID  map[string]*api.ChangeResult
	order []string // ring of ids, oldest at next once it is full
	next  int
}

func newResults() results {
	return results{byID: make(map[string]*api.ChangeResult)}
}

func (r *results) add(id string, result *api.ChangeResult) {
	if len(r.order) < resultLimit {
		r.order = append(r.order, id)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % resultLimit
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
