package controlplane

import (
	"sync"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// revisions are the configurations that a primary has shown lately, so that a
// node which has one of them is sent only what changed.
type deltaCache struct {
	mutex  sync.Mutex
	recent []replication.Section
	// made are the deltas towards the newest one, by the version they start from.
	deltas map[replication.Version]wire.Delta
}

// maxRevisions bounds the memory, and maxRevisionBytes their size together.
const (
	maxRevisions     = 24
	maxRevisionBytes = 48 << 20
)

// towards gives the delta from the version that a node has to the newest.
func (r *deltaCache) deltaTo(newest replication.Section, have replication.Version) (wire.Delta, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(newest.Content) < wire.MinDeltaContent {
		return wire.Delta{}, false
	}
	if count := len(r.recent); count == 0 || r.recent[count-1].Version != newest.Version {
		r.recent = append(r.recent, newest)
		r.deltas = map[replication.Version]wire.Delta{}
		size := 0
		for _, section := range r.recent {
			size += len(section.Content)
		}
		for len(r.recent) > 1 && (len(r.recent) > maxRevisions || size > maxRevisionBytes) {
			size -= len(r.recent[0].Content)
			r.recent = r.recent[1:]
		}
	}
	if delta, found := r.deltas[have]; found {
		return delta, true
	}
	for _, section := range r.recent {
		if section.Version == have && have != newest.Version {
			delta := wire.NewDelta(section, newest)
			r.deltas[have] = delta
			return delta, len(delta.Middle) < len(newest.Content)/2
		}
	}
	return wire.Delta{}, false
}
