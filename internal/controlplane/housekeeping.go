package controlplane

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// housekeepWhileLeading runs housekeep at its interval while this controller leads.
func (c *Controller) housekeepWhileLeading() {
	for c.runtime.Alive() {
		if !c.serverList.leading() {
			c.termBegan.Wait(time.Minute, c.serverList.leading)
			continue
		}
		next := c.runtime.Now().Add(housekeepingInterval)
		c.housekeep()
		if left := next.Sub(c.runtime.Now()); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// housekeep does a primary's periodic work: it enables flags, grants roles, moves the claims'
// horizon, retires members and forgets servers.
func (c *Controller) housekeep() {
	current, view, err := c.Leading()
	if err != nil {
		return
	}
	state, err := c.state(current, view)
	if err != nil {
		c.observe("state_unreadable", "cause", err)
		return
	}
	now := c.runtime.Now()
	c.mutex.Lock()
	if version := view.VersionOf(replication.MembersSection); version != current.membersVersion {
		current.membersVersion, current.membersStableSince = version, now
	}
	settled := now.Sub(current.membersStableSince) >= c.options.FlagStableTime
	horizonDue := now.Sub(current.horizonMovedAt) >= horizonInterval
	step := 2 * now.Sub(current.horizonMovedAt)
	if current.horizonMovedAt.IsZero() {
		step = 0
	}
	if horizonDue {
		current.horizonMovedAt = now
	}
	c.mutex.Unlock()
	supported := c.options.Supported
	restricted := len(supported.Lacks(state.Flags.Enabled)) > 0
	if settled && !restricted && len(state.Members) > 0 {
		for _, flag := range supported {
			if !state.Flags.Enabled.Has(flag) && len(state.Lacking(flag)) == 0 {
				c.queue(replication.EnableFlags(supported), func(version replication.Version, err error) {
					c.observe("flags_enabled", "version", version.String(), "error", err)
				})
				break
			}
		}
	}
	if horizonDue && !restricted {
		c.queue(replication.AdvanceHorizon(c.runtime.Wall(), step), func(replication.Version, error) {})
	}
	c.grantRoles(now, current, state)
	c.retireSilent(now, current, state)
	c.forgetServers(now, current, state)
}

// maxListAge is how old the list may be by which servers count as gone.
const maxListAge = 5 * time.Second

// forgetServers removes the records of servers that are gone for good.
func (c *Controller) forgetServers(now time.Time, current *Term, state *replication.State) {
	if age, read := c.serverList.age(now); !read || age > maxListAge {
		return
	}
	listed := c.serverList.servers(now)
	c.mutex.Lock()
	gone := current.goneServers(now, state, listed)
	c.mutex.Unlock()
	if len(gone) == 0 {
		return
	}
	c.queue(replication.RemoveServers(gone, state.Roles.Roles), func(version replication.Version, err error) {
		c.observe("servers_forgotten", "servers", gone, "version", version.String(), "error", err)
	})
}

// retireSilent takes members out of the record that have been silent for the chosen
// time. One that comes back is recorded anew, with the flags that it then supports; if
// it lacks an enabled one it is restricted, as any node that comes late.
func (c *Controller) retireSilent(now time.Time, current *Term, state *replication.State) {
	if c.options.RetireAfter <= 0 {
		return
	}
	membership := c.coordinator.Membership()
	c.mutex.Lock()
	silent := current.silent(now, state, c.options.RetireAfter)
	c.mutex.Unlock()
	for _, name := range silent {
		// Who has a seat is not forgotten before another has it.
		if slices.ContainsFunc(membership.Voters(), func(replica replication.Replica) bool { return replica.Name == name }) || membership.Primary.Name == name {
			continue
		}
		c.queue(replication.RemoveMember(name), func(version replication.Version, err error) {
			c.observe("member_retired", "member", name, "version", version.String(), "error", err)
		})
	}
}

// MembersUnstable tells whether the members changed too short a time ago for a flag to
// be enabled.
func (c *Controller) MembersUnstable(current *Term) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runtime.Now().Sub(current.membersStableSince) < c.options.FlagStableTime
}

// grantRoles grants the roles that nobody has, in few batches: while servers are replaced one after
// another, an edit would wait behind each.
func (c *Controller) grantRoles(now time.Time, current *Term, state *replication.State) {
	if !current.roleGrantDue(now) {
		return
	}
	wanted := []string{lease.PartsKey}
	for _, server := range c.Servers() {
		wanted = append(wanted, lease.ServerKey(server.Name))
	}
	grants := current.keys.Assignments(now, wanted, state.Roles.Roles, current.candidates(now, state))
	if len(grants) == 0 {
		return
	}
	current.beginRoleGrant(now)
	c.queue(replication.GrantRoles(grants, state.Roles.Roles), func(version replication.Version, err error) {
		current.endRoleGrant()
		c.observe("roles_granted", "version", version.String(), "grants", grants, "error", err)
	})
}

// sweep reads the own files again and repairs damaged ones, and repairs the other copies that are
// behind.
func (c *Controller) sweep() {
	if mended, err := c.store.LocalReplica().Sweep(); mended > 0 || err != nil {
		c.observe("replica_swept", "repaired", mended, "error", err)
	}
	if mended, err := c.witness.Sweep(); mended || err != nil {
		c.observe("witness_swept", "repaired", mended, "error", err)
	}
	if _, view, err := c.Leading(); err == nil {
		c.repairCopies(view)
	}
}

// repairDelay is the time between two rounds of repairs that send so many bytes to each copy.
func repairDelay(bytes int) time.Duration {
	return max(repairInterval, time.Duration(bytes)*time.Second/repairBytesPerSecond)
}

// repairCopies brings the copies up to date that are out of the pair and old:
// after a read, which compares their versions with what it reads, and by the
// sweep. One round runs at a time, and a second or more lies between two, the more
// the larger the state is: under steady writes a copy out of the pair is always a
// little old, and a whole one goes out each time.
func (c *Controller) repairCopies(view *replication.View) {
	now := c.runtime.Now()
	c.mutex.Lock()
	rests := c.repairing || now.Sub(c.repairedAt) < repairDelay(view.Size())
	if !rests {
		c.repairing, c.repairedAt = true, now
	}
	c.mutex.Unlock()
	if rests {
		return
	}
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.repairing = false
	}()
	epoch := c.coordinator.Membership().Epoch
	for _, replica := range c.coordinator.StaleReplicas(view.Version) {
		request := wire.InstallRequest{To: replica.Identity, Snapshot: replication.Snapshot{Epoch: epoch, Version: view.Version, Sections: view.Sections}}
		err := wire.Call(c.client, c.coordinator.Address(replica), wire.RefreshPath, request, nil, installTimeout)
		c.observe("replica_repaired", "at", replica.Name, "version", view.Version.String(), "error", err)
	}
}
