package state

import (
	"sync"

	"github.com/zinniapier/zinniapier/api"
)

// maxHistory bounds the recorded changes of assignments. It covers several moves of all partitions of a
// typical deployment; a node that is further behind gets the full map.
const maxHistory = 8192

// mapChange is the change of one assignment at a map version.
type mapChange struct {
	version uint64
	ref     api.PartitionRef
}

// history records which assignments changed at which map version. It is not part of the replicated
// state.
type history struct {
	mu sync.Mutex
	// completeSince is the version after which every change is recorded.
	completeSince uint64
	changes       []mapChange
}

// add records changes at the version and drops the oldest ones beyond maxHistory.
func (h *history) add(version uint64, refs []api.PartitionRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ref := range refs {
		h.changes = append(h.changes, mapChange{version, ref})
	}
	if len(h.changes) <= maxHistory {
		return
	}
	cut := len(h.changes) - maxHistory/2
	// The changes of one version are dropped together, so that no version is incomplete.
	for cut < len(h.changes) && h.changes[cut].version == h.changes[cut-1].version {
		cut++
	}
	h.completeSince = h.changes[cut-1].version
	h.changes = append([]mapChange(nil), h.changes[cut:]...)
}

// reset drops all recorded changes; later ones are complete since version.
func (h *history) reset(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeSince, h.changes = version, nil
}

// since returns the partitions changed after the version, or false if the history does not reach back
// to it.
func (h *history) since(version uint64) ([]api.PartitionRef, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.completeSince {
		return nil, false
	}
	var refs []api.PartitionRef
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].version > version; i-- {
		refs = append(refs, h.changes[i].ref)
	}
	return refs, true
}
