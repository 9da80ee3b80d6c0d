package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
)

// Reign is what a primary remembers for as long as it is primary.
type Reign struct {
	Since       time.Time
	Holds       *rota.Holds
	keys        *rota.Keys
	editions    editions
	membersAt   larder.Version
	settledFrom time.Time
	horizonAt   time.Time
	state       *larder.State
	stateAt     larder.Version
}

func newReign(now time.Time) *Reign {
	return &Reign{Since: now, Holds: rota.NewHolds(rota.DefaultTerms(), now), keys: rota.NewKeys(rota.DefaultTerms()), settledFrom: now}
}

// candidates are the live couriers that lack no enabled flag, with how long
// each has been live.
func (reign *Reign) candidates(now time.Time, state *larder.State) map[string]time.Duration {
	live := reign.Holds.Live(now)
	for name := range live {
		member, found := state.Members[name]
		if !found || member.Kind != roster.Courier || member.Restricted(state.Flags.Enabled) {
			delete(live, name)
		}
	}
	return live
}

// Lagging lists the couriers that may still let in under a configuration older
// than the version.
//
// Example:
//
//	everywhere := len(reign.Lagging(now, version, state)) == 0
func (reign *Reign) Lagging(now time.Time, version larder.Version, state *larder.State) []string {
	var couriers []string
	for name, member := range state.Members {
		if member.Kind == roster.Courier {
			couriers = append(couriers, name)
		}
	}
	return reign.Holds.Lagging(now, version.Number, couriers)
}
