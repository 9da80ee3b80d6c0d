package controlplane

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// followedSections are the sections of the replicated state that nodes follow.
var followedSections = []string{
	replication.ConfigurationSection,
	replication.MembersSection,
	replication.FlagsSection,
	replication.OrdersSection,
}

// serveUpdate serves a poll: it records the node as a member if needed, waits for an update, and grants
// a router a lease on the configuration that the response confirms.
//
// Invariant: a change is acknowledged only when no node may still act under an older version.
// Therefore the configuration is read again after the lease is granted. If a version was committed in
// the meantime, either this read finds the version and the response is made again, or the commit
// finds the lease and waits for the router.
func (c *Controller) serveUpdate(request wire.UpdateRequest) (wire.UpdateResponse, error) {
	term, view, err := c.Leading()
	if err != nil {
		return c.followerResponse(request), nil
	}
	if request.LeaderOnly {
		return wire.UpdateResponse{
			Leads:         true,
			Membership:    c.coordinator.Membership(),
			Configuration: view.VersionOf(replication.ConfigurationSection),
		}, nil
	}
	name := request.Member.Name
	router := request.Member.Kind == membership.Router
	arrived := c.runtime.Now()
	c.recordPoll(arrived, term, request)
	if err := c.register(term, view, request.Member); err != nil {
		return wire.UpdateResponse{}, err
	}
	for {
		if view = c.awaitUpdate(request); view == nil {
			return c.followerResponse(request), nil
		}
		response := wire.UpdateResponse{
			Leads:         true,
			Membership:    c.coordinator.Membership(),
			Configuration: view.VersionOf(replication.ConfigurationSection),
			Sections:      newerSections(view, request.Have),
		}
		useDelta(&response, request, term)
		now := c.runtime.Now()
		response.Waited = now.Sub(arrived)
		c.serverList.fill(now, request, &response)
		if router {
			state, err := c.state(term, view)
			if err != nil {
				return wire.UpdateResponse{}, err
			}
			// From here on the router may act under the lease. The router counts the lease from
			// when it sent the request, so at the router the lease ends earlier than in
			// RouterLeases.
			term.RouterLeases.Grant(now, name, request.InForce.Number)
			response.Lease = lease.DefaultTiming().Lease
			response.Roles = term.roleLeases.Renew(now, name, state.Roles.Roles, term.candidates(now, state))
			response.Routers = term.routers(now, state)
		}
		latest := c.store.View()
		if latest == nil || !c.coordinator.HasLease() {
			return c.followerResponse(request), nil
		}
		if latest.VersionOf(replication.ConfigurationSection) == response.Configuration {
			if response.Membership.Epoch <= request.MembershipEpoch {
				response.Membership = replication.Membership{}
			}
			c.countResponse(response)
			return response, nil
		}
	}
}

// recordPoll records that a node polled and, for a router, which version it has in force and which
// servers failed its requests.
func (c *Controller) recordPoll(arrived time.Time, term *Term, request wire.UpdateRequest) {
	name := request.Member.Name
	c.mutex.Lock()
	term.lastPoll[name] = arrived
	c.mutex.Unlock()
	if request.Member.Kind == membership.Router {
		c.serverList.recordFailing(arrived, request)
		term.RouterLeases.Acknowledge(arrived, name, request.InForce.Number)
		c.confirmations.Broadcast()
	}
}

// register records a node as a member, unless it is already recorded with the same properties.
func (c *Controller) register(term *Term, view *replication.View, member membership.Member) error {
	state, err := c.state(term, view)
	if err != nil {
		return err
	}
	if recorded, found := state.Members[member.Name]; found && recorded.EqualExceptSince(member) {
		return nil
	}
	member.Since = c.runtime.Wall()
	_, err = c.submit(replication.RegisterMember(member), registerTimeout)
	return err
}

// useDelta replaces the configuration in the response by a delta, if the node accepts deltas and has a
// version that is in the term's cache.
func useDelta(response *wire.UpdateResponse, request wire.UpdateRequest, term *Term) {
	section, found := response.Sections[replication.ConfigurationSection]
	if !found {
		return
	}
	delta, made := term.deltas.deltaTo(section, request.Have[replication.ConfigurationSection])
	if !made || !request.AcceptDeltas {
		return
	}
	delete(response.Sections, replication.ConfigurationSection)
	response.Deltas = map[string]wire.Delta{replication.ConfigurationSection: delta}
}

// countResponse adds a response to the counts of UpdateCounts and UpdateBytes.
func (c *Controller) countResponse(response wire.UpdateResponse) {
	c.updateAnswers.Add(1)
	for name, section := range response.Sections {
		c.updateBytes.Add(uint64(len(section.Content)))
		if name == replication.ConfigurationSection {
			c.configurationBytes.Add(uint64(len(section.Content)))
			c.configurationsSent.Add(1)
		}
	}
	for _, delta := range response.Deltas {
		c.updateBytes.Add(uint64(len(delta.Middle)))
		c.configurationBytes.Add(uint64(len(delta.Middle)))
		c.configurationsSent.Add(1)
	}
}

// newerSections returns the followed sections that the node lacks or has in an older version.
func newerSections(view *replication.View, have map[string]replication.Version) map[string]replication.Section {
	sections := map[string]replication.Section{}
	for _, name := range followedSections {
		section, found := view.Sections[name]
		switch {
		case !found && name == replication.ConfigurationSection:
			// A fleet without a committed configuration uses the empty one.
			section = replication.Section{Content: config.Empty().Text}
			if _, known := have[name]; known {
				continue
			}
		case !found:
			if _, known := have[name]; known {
				continue
			}
			section = replication.Section{}
		}
		if version, known := have[name]; !known || version.Before(section.Version) {
			sections[name] = section
		}
	}
	return sections
}

// hasNewerMembership reports whether there is a newer membership than the node knows. All nodes must
// learn the new members and their addresses before the old members are gone. A node of an older
// release does not send the epoch that it knows; it gets the membership with its next response.
func (c *Controller) hasNewerMembership(request wire.UpdateRequest) bool {
	return request.MembershipEpoch != 0 && c.coordinator.Membership().Epoch > request.MembershipEpoch
}

// awaitUpdate returns the view as soon as there is an update for the node, or when the poll's maximum
// wait has passed. It returns nil if this controller is no longer primary.
func (c *Controller) awaitUpdate(request wire.UpdateRequest) *replication.View {
	var seen *replication.View
	c.updated.Wait(min(max(request.MaxWait, 0), maxUpdateWait), func() bool {
		_, view, err := c.Leading()
		if err != nil {
			seen = nil
			return true
		}
		seen = view
		return len(newerSections(view, request.Have)) > 0 || c.serverList.hasNewer(request) || c.hasNewerMembership(request)
	})
	if !c.runtime.Alive() {
		return nil
	}
	return seen
}

// provisionalSections are the sections that a router may use from a copy. Orders and roles are not
// included, since they need a primary.
var provisionalSections = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection}

// copyState returns the state of the local copy. If the copy is undamaged and has the wanted version of
// the configuration, the state includes the provisionalSections.
func (c *Controller) copyState(wanted replication.Version) *wire.CopyState {
	copied := c.store.LocalReplica()
	state := &wire.CopyState{Identity: c.witness.Replica().Identity, Damaged: copied.Damage() != ""}
	sections := copied.Sections()
	state.Configuration = sections[replication.ConfigurationSection].Version
	if state.Damaged || wanted == (replication.Version{}) || state.Configuration != wanted {
		return state
	}
	state.Sections = map[string]replication.Section{}
	for _, name := range provisionalSections {
		if section, found := sections[name]; found {
			state.Sections[name] = section
		}
	}
	return state
}

// followerResponse returns the response of a controller that is not primary. The membership is read
// before the copy, so that a copy that the membership names is at least as new as the membership.
func (c *Controller) followerResponse(request wire.UpdateRequest) wire.UpdateResponse {
	response := wire.UpdateResponse{Membership: c.coordinator.Membership()}
	if !request.WantProvisional {
		return response
	}
	if request.WantServers {
		response.Servers = c.provisionalServers(request.WantedVersion != (replication.Version{}))
	}
	response.Copy = c.copyState(request.WantedVersion)
	return response
}

// deltaCache holds the configurations that a primary sent recently, so that a node that has one of
// them is sent only the delta to the newest.
type deltaCache struct {
	mutex  sync.Mutex
	recent []replication.Section
	// deltas are the deltas to the newest version, by their base version.
	deltas map[replication.Version]wire.Delta
}

// maxRevisions limits the number of configurations in a deltaCache, and maxRevisionBytes their total
// size.
const (
	maxRevisions     = 24
	maxRevisionBytes = 48 << 20
)

// deltaTo returns the delta from the version that a node has to the newest version. It returns false if the
// newest configuration is smaller than wire.MinDeltaContent, if the node's version is not in the cache, or
// if a newly computed delta is not smaller than half of the configuration.
func (d *deltaCache) deltaTo(newest replication.Section, have replication.Version) (wire.Delta, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(newest.Content) < wire.MinDeltaContent {
		return wire.Delta{}, false
	}
	if count := len(d.recent); count == 0 || d.recent[count-1].Version != newest.Version {
		d.recent = append(d.recent, newest)
		d.deltas = map[replication.Version]wire.Delta{}
		size := 0
		for _, section := range d.recent {
			size += len(section.Content)
		}
		for len(d.recent) > 1 && (len(d.recent) > maxRevisions || size > maxRevisionBytes) {
			size -= len(d.recent[0].Content)
			d.recent = d.recent[1:]
		}
	}
	if delta, found := d.deltas[have]; found {
		return delta, true
	}
	for _, section := range d.recent {
		if section.Version == have && have != newest.Version {
			delta := wire.NewDelta(section, newest)
			d.deltas[have] = delta
			return delta, len(delta.Middle) < len(newest.Content)/2
		}
	}
	return wire.Delta{}, false
}
