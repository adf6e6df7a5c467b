package state

import (
	"sync"

	"github.com/zinniapier/zinniapier/api"
)

// historyLimit bounds the remembered changes of assignments. It covers several rounds of
// moves of all partitions of a usual deployment; a node further back gets the full map.
const historyLimit = 8192

type mapChange struct {
	version uint64
	ref     api.PartitionRef
}

// history remembers which assignments changed at which map version. It is not part of
// the replicated state.
type history struct {
	mu sync.Mutex
	// base is the version since which every change is remembered.
	base    uint64
	changes []mapChange
}

func (h *history) add(version uint64, refs []api.PartitionRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ref := range refs {
		h.changes = append(h.changes, mapChange{version, ref})
	}
	if len(h.changes) <= historyLimit {
		return
	}
	cut := len(h.changes) - historyLimit/2
	// All changes of one version go together, so that base covers whole versions.
	for cut < len(h.changes) && h.changes[cut].version == h.changes[cut-1].version {
		cut++
	}
	h.base = h.changes[cut-1].version
	h.changes = append([]mapChange(nil), h.changes[cut:]...)
}

// reset forgets everything before version.
func (h *history) reset(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.base, h.changes = version, nil
}

func (h *history) since(version uint64) ([]api.PartitionRef, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.base {
		return nil, false
	}
	var refs []api.PartitionRef
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].version > version; i-- {
		refs = append(refs, h.changes[i].ref)
	}
	return refs, true
}
