package lease

import (
	"sort"
	"sync"
	"time"
)

// Grants is the primary's memory of what it has granted to routers. It is
// never written down: a new primary takes every hold of the old one to be
// fresh at its own beginning, and waits it out.
type Grants struct {
	mutex   sync.Mutex
	terms   Terms
	since   time.Time
	holders map[string]*grant
}

type grant struct {
	until    time.Time
	liveFrom time.Time
	heard    time.Time
	confirms uint64
}

// NewGrants starts the memory at the moment its owner became primary.
func NewGrants(terms Terms, since time.Time) *Grants {
	return &Grants{terms: terms, since: since, holders: map[string]*grant{}}
}

// Grant notes that the holder was given a hold now, and the number of the
// configuration that it says it has in force.
func (h *Grants) Grant(now time.Time, holder string, inForce uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state, found := h.holders[holder]
	if !found || state.until.Before(now) {
		state = &grant{liveFrom: now}
		h.holders[holder] = state
	}
	state.until = now.Add(h.terms.Lease + h.terms.Drift)
	state.heard = now
	if inForce > state.confirms {
		state.confirms = inForce
	}
}

// Lagging lists the holders whose hold may still admitted under a configuration
// older than the number. While the old primary's holds may run it also names
// the holders of that time that have not confirmed to this one.
func (h *Grants) Lagging(now time.Time, number uint64, recorded []string) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var lagging []string
	for holder, state := range h.holders {
		if now.Before(state.until) && state.confirms < number {
			lagging = append(lagging, holder)
		}
	}
	if now.Before(h.since.Add(h.terms.Lease + h.terms.Drift)) {
		for _, holder := range recorded {
			if _, found := h.holders[holder]; !found {
				lagging = append(lagging, holder)
			}
		}
	}
	sort.Strings(lagging)
	return lagging
}

// Live lists the nodes whose hold runs, with how long each has been live.
func (h *Grants) Live(now time.Time) map[string]time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	live := map[string]time.Duration{}
	for holder, state := range h.holders {
		if now.Before(state.until) {
			live[holder] = now.Sub(state.liveFrom)
		}
	}
	return live
}

// Note takes what a holder says it has in force, without renewing its hold.
func (h *Grants) Note(now time.Time, holder string, inForce uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state, found := h.holders[holder]
	if !found {
		state = &grant{until: h.since.Add(h.terms.Lease + h.terms.Drift), liveFrom: now}
		h.holders[holder] = state
	}
	state.heard = now
	if inForce > state.confirms {
		state.confirms = inForce
	}
}

// HeardWithin lists the holders that asked within a time.
func (h *Grants) HeardWithin(now time.Time, length time.Duration) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var heard []string
	for holder, state := range h.holders {
		if now.Sub(state.heard) <= length {
			heard = append(heard, holder)
		}
	}
	sort.Strings(heard)
	return heard
}

// Behind lists the holders that asked within a time and have not confirmed the
// number.
func (h *Grants) Behind(now time.Time, number uint64, within time.Duration) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var behind []string
	for holder, state := range h.holders {
		if now.Sub(state.heard) <= within && state.confirms < number {
			behind = append(behind, holder)
		}
	}
	sort.Strings(behind)
	return behind
}
