package hatch

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// keepHouse does so for as long as this expediter leads, and rests while it does not.
func (controller *Controller) keepHouse() {
	for controller.runtime.Alive() {
		if !controller.lists.leading() {
			controller.terms.Wait(time.Minute, controller.lists.leading)
			continue
		}
		next := controller.runtime.Now().Add(housekeepingPause)
		controller.housekeep()
		if left := next.Sub(controller.runtime.Now()); left > 0 {
			runtime.Sleep(controller.runtime, left)
		}
	}
}

// housekeep does what a primary does without being asked: enable flags, give
// duties, forget old claims.
func (controller *Controller) housekeep() {
	current, view, err := controller.Ruling()
	if err != nil {
		return
	}
	state, err := controller.state(current, view)
	if err != nil {
		controller.observe("state_unreadable", "cause", err)
		return
	}
	now := controller.runtime.Now()
	controller.mutex.Lock()
	if version := view.VersionOf(replication.MembersSection); version != current.membersAt {
		current.membersAt, current.settledFrom = version, now
	}
	settled := now.Sub(current.settledFrom) >= controller.options.FlagSettle
	horizonDue := now.Sub(current.horizonAt) >= horizonPause
	step := 2 * now.Sub(current.horizonAt)
	if current.horizonAt.IsZero() {
		step = 0
	}
	if horizonDue {
		current.horizonAt = now
	}
	controller.mutex.Unlock()
	supported := controller.options.Supported
	restricted := len(supported.Lacks(state.Flags.Enabled)) > 0
	if settled && !restricted && len(state.Members) > 0 {
		for _, flag := range supported {
			if !state.Flags.Enabled.Has(flag) && len(state.Lacking(flag)) == 0 {
				controller.queue(replication.EnableFlags(supported), func(version replication.Version, err error) {
					controller.observe("flags_enabled", "version", version.String(), "trouble", err)
				})
				break
			}
		}
	}
	if horizonDue && !restricted {
		controller.queue(replication.MoveHorizon(controller.runtime.Wall(), step), func(replication.Version, error) {})
	}
	controller.grantRoles(now, current, state)
	controller.retireSilent(now, current, state)
	controller.forgetServers(now, current, state)
}

// listYoung is how old the list may be by which servers are held to be gone.
const listYoung = 5 * time.Second

// forgetServers takes the records of servers away that are gone for good.
func (controller *Controller) forgetServers(now time.Time, current *Term, state *replication.State) {
	if age, read := controller.lists.age(now); !read || age > listYoung {
		return
	}
	listed := controller.lists.servers(now)
	controller.mutex.Lock()
	gone := current.gone(now, state, listed)
	controller.mutex.Unlock()
	if len(gone) == 0 {
		return
	}
	controller.queue(replication.ForgetServers(gone, state.Rota.Roles), func(version replication.Version, err error) {
		controller.observe("servers_forgotten", "servers", gone, "version", version.String(), "trouble", err)
	})
}

// retireSilent takes members out of the record that have been silent for the chosen
// time. One that comes back is recorded anew, with the flags that it then supports; if
// it lacks an enabled one it is restricted, as any node that comes late.
func (controller *Controller) retireSilent(now time.Time, current *Term, state *replication.State) {
	if controller.options.RetireAfter <= 0 {
		return
	}
	membership := controller.coordinator.Membership()
	controller.mutex.Lock()
	silent := current.silent(now, state, controller.options.RetireAfter)
	controller.mutex.Unlock()
	for _, name := range silent {
		// Who has a seat is not forgotten before another has it.
		if slices.ContainsFunc(membership.Electors(), func(replica replication.Replica) bool { return replica.Name == name }) || membership.Primary.Name == name {
			continue
		}
		controller.queue(replication.Retire(name), func(version replication.Version, err error) {
			controller.observe("member_retired", "member", name, "version", version.String(), "trouble", err)
		})
	}
}

// Settling tells whether the members changed too short a time ago for a flag to
// be enabled.
func (controller *Controller) Settling(current *Term) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.runtime.Now().Sub(current.settledFrom) < controller.options.FlagSettle
}

func (controller *Controller) grantRoles(now time.Time, current *Term, state *replication.State) {
	wanted := []string{lease.PartsKey}
	for _, server := range controller.Servers() {
		wanted = append(wanted, lease.ServerKey(server.Name))
	}
	grants := current.keys.Vacant(now, wanted, state.Rota.Roles, current.candidates(now, state))
	if len(grants) == 0 {
		return
	}
	controller.queue(replication.GrantRoles(grants, state.Rota.Roles), func(version replication.Version, err error) {
		controller.observe("duties_granted", "version", version.String(), "grants", grants, "trouble", err)
	})
}

// sweep reads the own files again, and finds the copies that no read has
// mended.
func (controller *Controller) sweep() {
	if mended, err := controller.store.Copy().Sweep(); mended > 0 || err != nil {
		controller.observe("copy_swept", "mended", mended, "trouble", err)
	}
	if mended, err := controller.witness.Sweep(); mended || err != nil {
		controller.observe("keeper_swept", "mended", mended, "trouble", err)
	}
	if _, view, err := controller.Ruling(); err == nil {
		controller.mendCopies(view)
	}
}

// mendCopies brings the copies up to date that are out of the pair and old:
// after a read, which compares their versions with what it reads, and by the
// sweep. One round runs at a time, and a second lies between two: under steady
// writes a copy out of the pair is always a little old, and a whole one goes out
// each time.
func (controller *Controller) mendCopies(view *replication.View) {
	now := controller.runtime.Now()
	controller.mutex.Lock()
	rests := controller.mending || now.Sub(controller.mendedAt) < mendPause
	if !rests {
		controller.mending, controller.mendedAt = true, now
	}
	controller.mutex.Unlock()
	if rests {
		return
	}
	defer func() {
		controller.mutex.Lock()
		defer controller.mutex.Unlock()
		controller.mending = false
	}()
	epoch := controller.coordinator.Membership().Epoch
	for _, replica := range controller.coordinator.OldCopies(view.Version) {
		question := installQuestion{To: replica.Identity, Snapshot: replication.Snapshot{Epoch: epoch, Version: view.Version, Sections: view.Sections}}
		err := Call(controller.line, controller.coordinator.Address(replica), RefreshPath, question, nil, installPatience)
		controller.observe("copy_mended", "at", replica.Name, "version", view.Version.String(), "trouble", err)
	}
}
