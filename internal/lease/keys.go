package lease

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Keys is the primary's memory of when each duty's hold ends. Which node has a
// key, and its fence, are durable; when the hold ends is not: a new primary
// takes every recorded holder to have renewed when it first sees the record.
type Keys struct {
	mutex    sync.Mutex
	terms    Terms
	renewed  map[string]time.Time
	released map[string]time.Time
	// given are the duties that were given to a next holder, which may not be
	// recorded yet: they are not renewed any more, and stay free.
	given map[string]bool
}

// NewKeys starts the memory at the moment its owner became primary.
func NewKeys(terms Terms) *Keys {
	return &Keys{terms: terms, renewed: map[string]time.Time{}, released: map[string]time.Time{}, given: map[string]bool{}}
}

// Renew tells which of the recorded duties the node may go on holding, and
// marks them renewed. A duty that another settled node should have is left
// out, so that the node lets go of it.
func (k *Keys) Renew(now time.Time, node string, recorded map[string]Role, candidates map[string]time.Duration) []Role {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var renewed []Role
	for key, role := range recorded {
		if role.Holder != node {
			continue
		}
		if _, released := k.released[keyAt(key, role.FencingToken)]; released || k.given[keyAt(key, role.FencingToken)] {
			continue
		}
		if _, may := candidates[node]; !may {
			continue
		}
		if desired := k.desired(key, candidates, true); desired != "" && desired != node {
			continue
		}
		k.renewed[keyAt(key, role.FencingToken)] = now
		renewed = append(renewed, role)
	}
	sort.Slice(renewed, func(left, right int) bool { return renewed[left].Key < renewed[right].Key })
	return renewed
}

// Release notes that the holder has let go of a duty by itself; it is not
// renewed again under that fence.
func (k *Keys) Release(now time.Time, role Role) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	name := keyAt(role.Key, role.FencingToken)
	if _, found := k.released[name]; !found {
		k.released[name] = now
	}
}

// Vacant lists the grants to make now: wanted keys with no recorded holder,
// or whose holder's hold ended, plus the rest between two holders.
func (k *Keys) Vacant(now time.Time, wanted []string, recorded map[string]Role, candidates map[string]time.Duration) []Role {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var grants []Role
	for _, key := range wanted {
		if role, found := recorded[key]; found && now.Before(k.freeFrom(now, role)) {
			continue
		}
		if holder := k.desired(key, candidates, false); holder != "" {
			if duty, found := recorded[key]; found {
				k.given[keyAt(key, duty.FencingToken)] = true
			}
			grants = append(grants, Role{Key: key, Holder: holder})
		}
	}
	return grants
}

// freeFrom is when a duty may be given to the next holder. One that was given
// just now, and not renewed yet, counts from when it is first seen.
func (k *Keys) freeFrom(now time.Time, role Role) time.Time {
	name := keyAt(role.Key, role.FencingToken)
	if k.given[name] {
		return time.Time{}
	}
	if released, found := k.released[name]; found {
		return released.Add(k.terms.Rest)
	}
	last, found := k.renewed[name]
	if !found {
		last = now
		k.renewed[name] = now
	}
	return last.Add(k.terms.Lease + k.terms.Drift + k.terms.Rest)
}

// desired is the live node with the heaviest weight for the key. A key that
// somebody has moves only to a node that has been live for some time.
func (k *Keys) desired(key string, candidates map[string]time.Duration, settledOnly bool) string {
	return membership.Heaviest(key, func(yield func(string) bool) {
		for name, age := range candidates {
			if (!settledOnly || age >= k.terms.Settled) && !yield(name) {
				return
			}
		}
	})
}

func keyAt(key string, fencingToken uint64) string {
	return key + "#" + strconv.FormatUint(fencingToken, 10)
}
