package controlplane

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// housekeepWhileLeading runs housekeep at an interval while this controller is primary.
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

// housekeep does the periodic work of a primary: it enables flags, advances the claims' horizon,
// grants roles, retires members and removes the records of gone servers.
func (c *Controller) housekeep() {
	term, view, err := c.Leading()
	if err != nil {
		return
	}
	state, err := c.state(term, view)
	if err != nil {
		c.observe("state_unreadable", "cause", err)
		return
	}
	now := c.runtime.Now()
	c.mutex.Lock()
	if version := view.VersionOf(replication.MembersSection); version != term.membersVersion {
		term.membersVersion, term.membersStableSince = version, now
	}
	membersStable := now.Sub(term.membersStableSince) >= c.options.FlagStableTime
	horizonDue := now.Sub(term.horizonMovedAt) >= horizonInterval
	step := 2 * now.Sub(term.horizonMovedAt)
	if term.horizonMovedAt.IsZero() {
		step = 0
	}
	if horizonDue {
		term.horizonMovedAt = now
	}
	c.mutex.Unlock()
	supported := c.options.Supported
	restricted := len(supported.Missing(state.Flags.Enabled)) > 0
	if membersStable && !restricted && len(state.Members) > 0 {
		for _, flag := range supported {
			if !state.Flags.Enabled.Has(flag) && len(state.MembersWithout(flag)) == 0 {
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
	c.grantRoles(now, term, state)
	c.retireSilent(now, term, state)
	c.forgetServers(now, term, state)
}

// maxListAge is the age up to which the list of servers is used to decide that a server is gone.
const maxListAge = 5 * time.Second

// forgetServers removes the records of servers that have been missing from the platform's list for forgetTimeout.
func (c *Controller) forgetServers(now time.Time, term *Term, state *replication.State) {
	if age, read := c.serverList.age(now); !read || age > maxListAge {
		return
	}
	listed := c.serverList.servers(now)
	c.mutex.Lock()
	gone := term.goneServers(now, state, listed)
	c.mutex.Unlock()
	if len(gone) == 0 {
		return
	}
	c.queue(replication.RemoveServers(gone, state.Roles.Roles), func(version replication.Version, err error) {
		c.observe("servers_forgotten", "servers", gone, "version", version.String(), "error", err)
	})
}

// retireSilent removes recorded members that have not polled for RetireAfter. A member that returns
// is recorded again with the flags that it supports then. If it lacks an enabled flag, it is
// restricted like any other node that joins after the flag was enabled.
func (c *Controller) retireSilent(now time.Time, term *Term, state *replication.State) {
	if c.options.RetireAfter <= 0 {
		return
	}
	membership := c.coordinator.Membership()
	c.mutex.Lock()
	silent := term.silent(now, state, c.options.RetireAfter)
	c.mutex.Unlock()
	for _, name := range silent {
		// A witness or the primary stays recorded until another controller has replaced it.
		if slices.ContainsFunc(membership.Voters(), func(replica replication.Replica) bool { return replica.Name == name }) ||
			membership.Primary.Name == name {
			continue
		}
		c.queue(replication.RemoveMember(name), func(version replication.Version, err error) {
			c.observe("member_retired", "member", name, "version", version.String(), "error", err)
		})
	}
}

// MembersUnstable reports whether the members changed less than FlagStableTime ago, so that no flag
// is enabled yet.
func (c *Controller) MembersUnstable(term *Term) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runtime.Now().Sub(term.membersStableSince) < c.options.FlagStableTime
}

// grantRoles grants the roles that can be assigned, in few batches: when servers are replaced one
// after another, an edit would otherwise wait for a separate batch for each of them.
func (c *Controller) grantRoles(now time.Time, term *Term, state *replication.State) {
	if !term.roleGrantDue(now) {
		return
	}
	wanted := []string{lease.ServerRolesKey}
	for _, server := range c.Servers() {
		wanted = append(wanted, lease.ServerKey(server.Name))
	}
	grants := term.roleLeases.Assignments(now, wanted, state.Roles.Roles, term.candidates(now, state))
	if len(grants) == 0 {
		return
	}
	term.beginRoleGrant(now)
	c.queue(replication.GrantRoles(grants, state.Roles.Roles), func(version replication.Version, err error) {
		term.endRoleGrant()
		c.observe("roles_granted", "version", version.String(), "grants", grants, "error", err)
	})
}

// sweep reads the files on the local disk again and repairs damaged ones. On a primary it also
// repairs other copies that are out of date.
func (c *Controller) sweep() {
	if repaired, err := c.store.LocalReplica().Sweep(); repaired > 0 || err != nil {
		c.observe("replica_swept", "repaired", repaired, "error", err)
	}
	if repaired, err := c.witness.Sweep(); repaired || err != nil {
		c.observe("witness_swept", "repaired", repaired, "error", err)
	}
	if _, view, err := c.Leading(); err == nil {
		c.repairCopies(view)
	}
}

// repairDelay returns the minimum time between two repair runs that send the given number of bytes
// to each copy.
func repairDelay(bytes int) time.Duration {
	return max(repairInterval, time.Duration(bytes)*time.Second/repairBytesPerSecond)
}

// repairCopies sends the complete state to the copies that are not in sync and are older than the
// view. It runs after each Read and at each sweep. Only one run is in progress at a time, and
// repairDelay passes between two runs, depending on the size of the state: under steady writes a
// copy that is not in sync is always slightly out of date and would get a complete state each time.
func (c *Controller) repairCopies(view *replication.View) {
	now := c.runtime.Now()
	c.mutex.Lock()
	skip := c.repairing || now.Sub(c.repairedAt) < repairDelay(view.Size())
	if !skip {
		c.repairing, c.repairedAt = true, now
	}
	c.mutex.Unlock()
	if skip {
		return
	}
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.repairing = false
	}()
	epoch := c.coordinator.Membership().Epoch
	for _, replica := range c.coordinator.StaleReplicas(view.Version) {
		request := wire.InstallRequest{
			To:       replica.Identity,
			Snapshot: replication.Snapshot{Epoch: epoch, Version: view.Version, Sections: view.Sections},
		}
		err := wire.Call(c.client, c.coordinator.Address(replica), wire.RefreshPath, request, nil, installTimeout)
		c.observe("replica_repaired", "at", replica.Name, "version", view.Version.String(), "error", err)
	}
}
