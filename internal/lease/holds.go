package lease

import (
	"sort"
	"sync"
	"time"
)

// Holds is the primary's memory of what it has granted to routers. It is
// never written down: a new primary takes every hold of the old one to be
// fresh at its own beginning, and waits it out.
type Holds struct {
	mutex   sync.Mutex
	terms   Terms
	since   time.Time
	holders map[string]*holderState
}

type holderState struct {
	until    time.Time
	liveFrom time.Time
	heard    time.Time
	confirms uint64
}

// NewHolds starts the memory at the moment its owner became primary.
func NewHolds(terms Terms, since time.Time) *Holds {
	return &Holds{terms: terms, since: since, holders: map[string]*holderState{}}
}

// Grant notes that the holder was given a hold now, and the number of the
// configuration that it says it has in force.
func (h *Holds) Grant(now time.Time, holder string, inForce uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state, found := h.holders[holder]
	if !found || state.until.Before(now) {
		state = &holderState{liveFrom: now}
		h.holders[holder] = state
	}
	state.until = now.Add(h.terms.Hold + h.terms.Drift)
	state.heard = now
	if inForce > state.confirms {
		state.confirms = inForce
	}
}

// Lagging lists the holders whose hold may still admitted under a configuration
// older than the number. While the old primary's holds may run it also names
// the holders of that time that have not confirmed to this one.
func (h *Holds) Lagging(now time.Time, number uint64, recorded []string) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var lagging []string
	for holder, state := range h.holders {
		if now.Before(state.until) && state.confirms < number {
			lagging = append(lagging, holder)
		}
	}
	if now.Before(h.since.Add(h.terms.Hold + h.terms.Drift)) {
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
func (h *Holds) Live(now time.Time) map[string]time.Duration {
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
func (h *Holds) Note(now time.Time, holder string, inForce uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state, found := h.holders[holder]
	if !found {
		state = &holderState{until: h.since.Add(h.terms.Hold + h.terms.Drift), liveFrom: now}
		h.holders[holder] = state
	}
	state.heard = now
	if inForce > state.confirms {
		state.confirms = inForce
	}
}

// HeardWithin lists the holders that asked within a time.
func (h *Holds) HeardWithin(now time.Time, length time.Duration) []string {
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
func (h *Holds) Behind(now time.Time, number uint64, within time.Duration) []string {
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
