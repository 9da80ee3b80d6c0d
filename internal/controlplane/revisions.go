package controlplane

import (
	"sync"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// revisions are the configurations that a primary has shown lately, so that a
// node which has one of them is sent only what changed.
type deltaCache struct {
	mutex sync.Mutex
	shown []replication.Section
	// made are the deltas towards the newest one, by the version they start from.
	made map[replication.Version]wire.Delta
}

// maxRevisions bounds the memory, and maxRevisionBytes their size together.
const (
	maxRevisions     = 24
	maxRevisionBytes = 48 << 20
)

// towards gives the delta from the version that a node has to the newest.
func (r *deltaCache) towards(newest replication.Section, have replication.Version) (wire.Delta, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(newest.Content) < wire.MinDeltaContent {
		return wire.Delta{}, false
	}
	if count := len(r.shown); count == 0 || r.shown[count-1].Version != newest.Version {
		r.shown = append(r.shown, newest)
		r.made = map[replication.Version]wire.Delta{}
		size := 0
		for _, section := range r.shown {
			size += len(section.Content)
		}
		for len(r.shown) > 1 && (len(r.shown) > maxRevisions || size > maxRevisionBytes) {
			size -= len(r.shown[0].Content)
			r.shown = r.shown[1:]
		}
	}
	if delta, found := r.made[have]; found {
		return delta, true
	}
	for _, section := range r.shown {
		if section.Version == have && have != newest.Version {
			delta := wire.NewDelta(section, newest)
			r.made[have] = delta
			return delta, len(delta.Middle) < len(newest.Content)/2
		}
	}
	return wire.Delta{}, false
}
