package hatch

import (
	"sync"

	"seamloom.example/seamloom/internal/replication"
)

// editions are the configurations that a primary has shown lately, so that a
// node which has one of them is sent only what changed.
type revisions struct {
	mutex sync.Mutex
	shown []replication.Section
	// made are the deltas towards the newest one, by the version they start from.
	made map[replication.Version]Delta
}

// mostRevisions bounds the memory, and mostRevisionBytes their size together.
const (
	mostRevisions     = 24
	mostRevisionBytes = 48 << 20
)

// towards gives the delta from the version that a node has to the newest.
func (editions *revisions) towards(newest replication.Section, have replication.Version) (Delta, bool) {
	editions.mutex.Lock()
	defer editions.mutex.Unlock()
	if len(newest.Content) < leastDelta {
		return Delta{}, false
	}
	if count := len(editions.shown); count == 0 || editions.shown[count-1].Version != newest.Version {
		editions.shown = append(editions.shown, newest)
		editions.made = map[replication.Version]Delta{}
		size := 0
		for _, section := range editions.shown {
			size += len(section.Content)
		}
		for len(editions.shown) > 1 && (len(editions.shown) > mostRevisions || size > mostRevisionBytes) {
			size -= len(editions.shown[0].Content)
			editions.shown = editions.shown[1:]
		}
	}
	if delta, found := editions.made[have]; found {
		return delta, true
	}
	for _, section := range editions.shown {
		if section.Version == have && have != newest.Version {
			delta := makeDelta(section, newest)
			editions.made[have] = delta
			return delta, len(delta.Middle) < len(newest.Content)/2
		}
	}
	return Delta{}, false
}
