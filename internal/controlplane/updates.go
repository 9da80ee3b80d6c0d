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

// followedSections are those that nodes follow.
var followedSections = []string{
	replication.ConfigurationSection,
	replication.MembersSection,
	replication.FlagsSection,
	replication.OrdersSection,
}

// serveUpdate serves a poll: it records the node if needed, waits for an update, and grants the
// node a lease on the configuration that the response confirms.
//
// Its invariant: a change is acknowledged only when no node may still act by an older version.
// So the lease is granted before the configuration is read again: a version committed since is
// either seen here, and the response is made anew, or its commit sees the grant and waits for it.
func (c *Controller) serveUpdate(request wire.UpdateRequest) (wire.UpdateResponse, error) {
	current, view, err := c.Leading()
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
	c.recordPoll(arrived, current, request)
	if err := c.register(current, view, request.Member); err != nil {
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
		useDelta(&response, request, current)
		now := c.runtime.Now()
		response.Waited = now.Sub(arrived)
		c.serverList.fill(now, request, &response)
		if router {
			state, err := c.state(current, view)
			if err != nil {
				return wire.UpdateResponse{}, err
			}
			// From here on the router may act for the length of the lease, which it counts
			// from when it sent the request, so that its lease ends before this grant.
			current.Grants.Grant(now, name, request.InForce.Number)
			response.Lease = lease.DefaultTiming().Lease
			response.Roles = current.keys.Renew(now, name, state.Roles.Roles, current.candidates(now, state))
			response.Routers = current.routers(now, state)
		}
		latest := c.store.View()
		if latest == nil || !c.coordinator.HasLease() {
			return c.followerResponse(request), nil
		}
		if latest.VersionOf(replication.ConfigurationSection) == response.Configuration {
			if response.Membership.Epoch <= request.Membership {
				response.Membership = replication.Membership{}
			}
			c.countResponse(response)
			return response, nil
		}
	}
}

// recordPoll records that a node polled, which version it has in force, and which servers failed
// its requests.
func (c *Controller) recordPoll(arrived time.Time, current *Term, request wire.UpdateRequest) {
	name := request.Member.Name
	c.mutex.Lock()
	current.lastPoll[name] = arrived
	c.mutex.Unlock()
	if request.Member.Kind == membership.Router {
		c.serverList.recordFailing(arrived, request)
		current.Grants.Acknowledge(arrived, name, request.InForce.Number)
		c.confirmations.Broadcast()
	}
}

// register commits a node as a member unless it is recorded as it is.
func (c *Controller) register(current *Term, view *replication.View, member membership.Member) error {
	state, err := c.state(current, view)
	if err != nil {
		return err
	}
	if recorded, found := state.Members[member.Name]; found && recorded.Same(member) {
		return nil
	}
	member.Since = c.runtime.Wall()
	_, err = c.submit(replication.RegisterMember(member), registerTimeout)
	return err
}

// useDelta replaces the configuration by its delta, if the node accepts that and has a version
// that is in the term's cache.
func useDelta(response *wire.UpdateResponse, request wire.UpdateRequest, current *Term) {
	section, found := response.Sections[replication.ConfigurationSection]
	if !found {
		return
	}
	delta, made := current.deltas.deltaTo(section, request.Have[replication.ConfigurationSection])
	if !made || !request.AcceptDeltas {
		return
	}
	delete(response.Sections, replication.ConfigurationSection)
	response.Deltas = map[string]wire.Delta{replication.ConfigurationSection: delta}
}

// countResponse adds a response's sections to the counts of UpdateCounts.
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

// newerSections are the followed sections of which the node has an older version or none.
func newerSections(view *replication.View, have map[string]replication.Version) map[string]replication.Section {
	sections := map[string]replication.Section{}
	for _, name := range followedSections {
		section, found := view.Sections[name]
		switch {
		case !found && name == replication.ConfigurationSection:
			// A fleet that was given no configuration has the empty one.
			section = replication.Section{Content: config.Empty().Text}
			if _, told := have[name]; told {
				continue
			}
		case !found:
			if _, told := have[name]; told {
				continue
			}
			section = replication.Section{}
		}
		if version, told := have[name]; !told || version.Before(section.Version) {
			sections[name] = section
		}
	}
	return sections
}

// hasNewerMembership tells whether there is a newer membership than the node knows: all nodes
// are to know the members and their addresses before the old ones are gone. An older release
// does not send the epoch that it knows, and has the membership with its next response.
func (c *Controller) hasNewerMembership(request wire.UpdateRequest) bool {
	return request.Membership != 0 && c.coordinator.Membership().Epoch > request.Membership
}

// awaitUpdate returns the view as soon as there is an update for the node, or when the poll's
// wait is over; nil when this controller is not primary any more.
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

// provisionalSections are those that a router takes from a copy. Orders and roles are not among
// them: they need a primary.
var provisionalSections = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection}

// copyState is the state of the own copy, with its sections if it has the wanted version.
func (c *Controller) copyState(wanted replication.Version) *wire.CopyState {
	copied := c.store.LocalReplica()
	update := &wire.CopyState{Identity: c.witness.Replica().Identity, Damaged: copied.Damage() != ""}
	sections := copied.Sections()
	update.Configuration = sections[replication.ConfigurationSection].Version
	if update.Damaged || wanted == (replication.Version{}) || update.Configuration != wanted {
		return update
	}
	update.Sections = map[string]replication.Section{}
	for _, name := range provisionalSections {
		if section, found := sections[name]; found {
			update.Sections[name] = section
		}
	}
	return update
}

// followerResponse is the response of a controller that is not primary. The membership is read
// before the copy: a copy that the membership names is then no older than the membership.
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

// deltaCache has the configurations that a primary sent lately, so that a node which has one of
// them is sent only the delta to the newest.
type deltaCache struct {
	mutex  sync.Mutex
	recent []replication.Section
	// deltas are those to the newest version, by their base.
	deltas map[replication.Version]wire.Delta
}

// maxRevisions bounds the memory, and maxRevisionBytes their size together.
const (
	maxRevisions     = 24
	maxRevisionBytes = 48 << 20
)

// deltaTo gives the delta from the version that a node has to the newest.
func (r *deltaCache) deltaTo(newest replication.Section, have replication.Version) (wire.Delta, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(newest.Content) < wire.MinDeltaContent {
		return wire.Delta{}, false
	}
	if count := len(r.recent); count == 0 || r.recent[count-1].Version != newest.Version {
		r.recent = append(r.recent, newest)
		r.deltas = map[replication.Version]wire.Delta{}
		size := 0
		for _, section := range r.recent {
			size += len(section.Content)
		}
		for len(r.recent) > 1 && (len(r.recent) > maxRevisions || size > maxRevisionBytes) {
			size -= len(r.recent[0].Content)
			r.recent = r.recent[1:]
		}
	}
	if delta, found := r.deltas[have]; found {
		return delta, true
	}
	for _, section := range r.recent {
		if section.Version == have && have != newest.Version {
			delta := wire.NewDelta(section, newest)
			r.deltas[have] = delta
			return delta, len(delta.Middle) < len(newest.Content)/2
		}
	}
	return wire.Delta{}, false
}
