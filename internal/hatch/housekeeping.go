package hatch

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// keepHouse does so for as long as this expediter leads, and rests while it does not.
func (expediter *Expediter) keepHouse() {
	for expediter.turns.Alive() {
		if !expediter.lists.leading() {
			expediter.reigns.Wait(time.Minute, expediter.lists.leading)
			continue
		}
		next := expediter.turns.Now().Add(housekeepingPause)
		expediter.housekeep()
		if left := next.Sub(expediter.turns.Now()); left > 0 {
			runtime.Sleep(expediter.turns, left)
		}
	}
}

// housekeep does what a primary does without being asked: enable flags, give
// duties, forget old claims.
func (expediter *Expediter) housekeep() {
	current, view, err := expediter.Ruling()
	if err != nil {
		return
	}
	state, err := expediter.state(current, view)
	if err != nil {
		expediter.observe("state_unreadable", "cause", err)
		return
	}
	now := expediter.turns.Now()
	expediter.mutex.Lock()
	if version := view.VersionOf(replication.MembersSection); version != current.membersAt {
		current.membersAt, current.settledFrom = version, now
	}
	settled := now.Sub(current.settledFrom) >= expediter.options.FlagSettle
	horizonDue := now.Sub(current.horizonAt) >= horizonPause
	step := 2 * now.Sub(current.horizonAt)
	if current.horizonAt.IsZero() {
		step = 0
	}
	if horizonDue {
		current.horizonAt = now
	}
	expediter.mutex.Unlock()
	supported := expediter.options.Supported
	restricted := len(supported.Lacks(state.Flags.Enabled)) > 0
	if settled && !restricted && len(state.Members) > 0 {
		for _, flag := range supported {
			if !state.Flags.Enabled.Has(flag) && len(state.Lacking(flag)) == 0 {
				expediter.queue(replication.EnableFlags(supported), func(version replication.Version, err error) {
					expediter.observe("flags_enabled", "version", version.String(), "trouble", err)
				})
				break
			}
		}
	}
	if horizonDue && !restricted {
		expediter.queue(replication.MoveHorizon(expediter.turns.Wall(), step), func(replication.Version, error) {})
	}
	expediter.grantDuties(now, current, state)
	expediter.retireSilent(now, current, state)
	expediter.forgetServers(now, current, state)
}

// listYoung is how old the list may be by which servers are held to be gone.
const listYoung = 5 * time.Second

// forgetServers takes the records of servers away that are gone for good.
func (expediter *Expediter) forgetServers(now time.Time, current *Reign, state *replication.State) {
	if age, read := expediter.lists.age(now); !read || age > listYoung {
		return
	}
	listed := expediter.lists.servers(now)
	expediter.mutex.Lock()
	gone := current.gone(now, state, listed)
	expediter.mutex.Unlock()
	if len(gone) == 0 {
		return
	}
	expediter.queue(replication.ForgetServers(gone, state.Rota.Duties), func(version replication.Version, err error) {
		expediter.observe("servers_forgotten", "servers", gone, "version", version.String(), "trouble", err)
	})
}

// retireSilent takes members out of the record that have been silent for the chosen
// time. One that comes back is recorded anew, with the flags that it then supports; if
// it lacks an enabled one it is restricted, as any node that comes late.
func (expediter *Expediter) retireSilent(now time.Time, current *Reign, state *replication.State) {
	if expediter.options.RetireAfter <= 0 {
		return
	}
	charter := expediter.coordinator.Charter()
	expediter.mutex.Lock()
	silent := current.silent(now, state, expediter.options.RetireAfter)
	expediter.mutex.Unlock()
	for _, name := range silent {
		// Who has a seat is not forgotten before another has it.
		if slices.ContainsFunc(charter.Electors(), func(replica replication.Replica) bool { return replica.Name == name }) || charter.Primary.Name == name {
			continue
		}
		expediter.queue(replication.Retire(name), func(version replication.Version, err error) {
			expediter.observe("member_retired", "member", name, "version", version.String(), "trouble", err)
		})
	}
}

// Settling tells whether the members changed too short a time ago for a flag to
// be enabled.
func (expediter *Expediter) Settling(current *Reign) bool {
	expediter.mutex.Lock()
	defer expediter.mutex.Unlock()
	return expediter.turns.Now().Sub(current.settledFrom) < expediter.options.FlagSettle
}

func (expediter *Expediter) grantDuties(now time.Time, current *Reign, state *replication.State) {
	wanted := []string{lease.PartsKey}
	for _, server := range expediter.Servers() {
		wanted = append(wanted, lease.ServerKey(server.Name))
	}
	grants := current.keys.Vacant(now, wanted, state.Rota.Duties, current.candidates(now, state))
	if len(grants) == 0 {
		return
	}
	expediter.queue(replication.GrantDuties(grants, state.Rota.Duties), func(version replication.Version, err error) {
		expediter.observe("duties_granted", "version", version.String(), "grants", grants, "trouble", err)
	})
}

// sweep reads the own files again, and finds the copies that no read has
// mended.
func (expediter *Expediter) sweep() {
	if mended, err := expediter.store.Copy().Sweep(); mended > 0 || err != nil {
		expediter.observe("copy_swept", "mended", mended, "trouble", err)
	}
	if mended, err := expediter.witness.Sweep(); mended || err != nil {
		expediter.observe("keeper_swept", "mended", mended, "trouble", err)
	}
	if _, view, err := expediter.Ruling(); err == nil {
		expediter.mendCopies(view)
	}
}

// mendCopies brings the copies up to date that are out of the pair and old:
// after a read, which compares their versions with what it reads, and by the
// sweep. One round runs at a time, and a second lies between two: under steady
// writes a copy out of the pair is always a little old, and a whole one goes out
// each time.
func (expediter *Expediter) mendCopies(view *replication.View) {
	now := expediter.turns.Now()
	expediter.mutex.Lock()
	rests := expediter.mending || now.Sub(expediter.mendedAt) < mendPause
	if !rests {
		expediter.mending, expediter.mendedAt = true, now
	}
	expediter.mutex.Unlock()
	if rests {
		return
	}
	defer func() {
		expediter.mutex.Lock()
		defer expediter.mutex.Unlock()
		expediter.mending = false
	}()
	epoch := expediter.coordinator.Charter().Epoch
	for _, replica := range expediter.coordinator.OldCopies(view.Version) {
		question := installQuestion{To: replica.Identity, Snapshot: replication.Snapshot{Epoch: epoch, Version: view.Version, Drawers: view.Drawers}}
		err := Call(expediter.line, expediter.coordinator.Address(replica), RefreshPath, question, nil, installPatience)
		expediter.observe("copy_mended", "at", replica.Name, "version", view.Version.String(), "trouble", err)
	}
}
