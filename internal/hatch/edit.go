package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/menu"
	"seamloom.example/seamloom/internal/trouble"
)

// Edit is one operator's change of the configuration.
type Edit struct {
	// Change is its id, and Digest tells it from another under the same id.
	Change string
	Digest string
	// Expected is the version that it is made from, if it insists on one.
	Expected *larder.Version
	// Apply makes the new text of the old one.
	Apply func(text []byte) ([]byte, error)
}

const (
	changePatience  = 3 * time.Second
	inForcePatience = 6 * time.Second
)

// Edit changes the configuration and returns the version once it is in force
// everywhere. A failure of kind Unknown says that it may have been accepted.
//
// Example:
//
//	version, failure := core.Edit(hatch.Edit{Change: id, Digest: digest, Apply: evacuate})
func (expediter *Expediter) Edit(edit Edit) (larder.Version, error) {
	current, view, failure := expediter.Ruling()
	if failure != nil {
		return larder.Version{}, failure
	}
	drawer, found := view.Drawers[larder.MenuDrawer]
	if !found {
		drawer.Content = menu.Empty().Text
	}
	prepared := larder.PrepareMenu(drawer.Version, drawer.Content, edit.Apply)
	version, failure := expediter.submit(larder.ChangeMenu(edit.Change, edit.Digest, edit.Expected, prepared, edit.Apply), changePatience)
	if failure != nil {
		return version, failure
	}
	// The same change sent again is answered with the version that holds now.
	if _, view, failure := expediter.Ruling(); failure == nil && view.VersionOf(larder.MenuDrawer).Before(version) {
		version = view.VersionOf(larder.MenuDrawer)
	}
	if !expediter.awaitInForce(current, version) {
		return version, trouble.New(trouble.Unknown, "it can't be known yet whether the change is in force")
	}
	expediter.observe("configuration_accepted", "version", version.String(), "change", edit.Change)
	return version, nil
}

// awaitInForce waits until every courier that has a hold has confirmed the
// version, or its hold ran out. Its own hold is checked last.
func (expediter *Expediter) awaitInForce(current *Reign, version larder.Version) bool {
	everywhere := false
	ends := expediter.turns.Now().Add(inForcePatience)
	for expediter.turns.Now().Before(ends) {
		lost := false
		// Holds run out without a ring: the wait is cut into short ones.
		over := expediter.confirmed.Wait(50*time.Millisecond, func() bool {
			ruling, view, failure := expediter.Ruling()
			if failure != nil || ruling != current {
				lost = true
				return true
			}
			state, failure := expediter.state(current, view)
			if failure != nil {
				lost = true
				return true
			}
			everywhere = len(current.Lagging(expediter.turns.Now(), version, state)) == 0
			return everywhere
		})
		if over || !expediter.turns.Alive() {
			return everywhere && !lost && expediter.steward.Holds()
		}
	}
	return false
}

// Retire takes a stopped member out of the record.
//
// Example:
//
//	version, failure := core.Retire("courier-9")
func (expediter *Expediter) Retire(name string) (larder.Version, error) {
	current, _, failure := expediter.Ruling()
	if failure != nil {
		return larder.Version{}, failure
	}
	if _, live := current.Holds.Live(expediter.turns.Now())[name]; live {
		return larder.Version{}, trouble.New(trouble.HoldActive, name+" is running; stop it first")
	}
	return expediter.submit(larder.Retire(name), changePatience)
}
