package controlplane

import (
	"sync"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// followedSections are those that nodes follow.
var followedSections = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.OrdersSection}

// serveUpdate registers the node if needed, waits for news, and grants a hold
// for the configuration that the answer confirms.
func (c *Controller) serveUpdate(request wire.UpdateRequest) (wire.UpdateResponse, error) {
	elsewhere := func() (wire.UpdateResponse, error) { return c.followerResponse(request), nil }
	current, view, err := c.Leading()
	if err != nil {
		return elsewhere()
	}
	if request.LeaderOnly {
		return wire.UpdateResponse{Leads: true, Membership: c.coordinator.Membership(), Configuration: view.VersionOf(replication.ConfigurationSection)}, nil
	}
	name := request.Member.Name
	router := request.Member.Kind == membership.Router
	arrived := c.runtime.Now()
	c.mutex.Lock()
	current.lastPoll[name] = arrived
	c.mutex.Unlock()
	if router {
		c.serverList.recordFailing(arrived, request)
		current.Grants.Acknowledge(arrived, name, request.InForce.Number)
		c.confirmations.Broadcast()
	}
	state, err := c.state(current, view)
	if err != nil {
		return wire.UpdateResponse{}, err
	}
	if recorded, found := state.Members[name]; !found || !recorded.Same(request.Member) {
		member := request.Member
		member.Since = c.runtime.Wall()
		if _, err := c.submit(replication.RegisterMember(member), registerTimeout); err != nil {
			return wire.UpdateResponse{}, err
		}
	}
	for {
		if view = c.awaitUpdate(request); view == nil {
			return elsewhere()
		}
		response := wire.UpdateResponse{Leads: true, Membership: c.coordinator.Membership(), Configuration: view.VersionOf(replication.ConfigurationSection), Sections: newerSections(view, request.Have)}
		useDelta(&response, request, current)
		now := c.runtime.Now()
		response.Waited = now.Sub(arrived)
		c.serverList.fill(now, request, &response)
		if router {
			state, err := c.state(current, view)
			if err != nil {
				return wire.UpdateResponse{}, err
			}
			// From here the router may act for as long as the hold says,
			// counted from when it asked, which was earlier.
			current.Grants.Grant(now, name, request.InForce.Number)
			response.Lease = lease.DefaultTiming().Lease
			response.Roles = current.keys.Renew(now, name, state.Roles.Roles, current.candidates(now, state))
			response.Routers = current.routers(now, state)
		}
		// The grant is noted before this look: a configuration committed since
		// is either seen here, or its change sees the grant and waits for it.
		latest := c.store.View()
		if latest == nil || !c.coordinator.HasLease() {
			return elsewhere()
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

// shorten sends what changed of the configuration instead of all of it, if the
// node takes that and has a version that was shown here.
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

// count adds an answer's sections to what news has cost.
func (c *Controller) countResponse(response wire.UpdateResponse) {
	c.updateAnswers.Add(1)
	for name, section := range response.Sections {
		c.updateBytes.Add(uint64(len(section.Content)))
		if name == replication.ConfigurationSection {
			c.configurationsSent.Add(1)
		}
	}
	for _, delta := range response.Deltas {
		c.updateBytes.Add(uint64(len(delta.Middle)))
		c.configurationsSent.Add(1)
	}
}

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

// hasNewerMembership tells whether the membership has changed since the asker heard of it: who
// belongs to the core, and where, is to reach every node while it can. An older release
// does not tell what it has heard of, and is told with its next answer.
func (c *Controller) hasNewerMembership(request wire.UpdateRequest) bool {
	return request.Membership != 0 && c.coordinator.Membership().Epoch > request.Membership
}

// awaitUpdate returns the view as soon as it has news for the question, or when
// its patience ends; nil when this controller is not primary any more.
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

// provisionalSections are those that a router has from a copy. Orders and duties are
// not among them: they need a primary.
var provisionalSections = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection}

// copyState tells of the own copy, with its sections if their version is the wanted one.
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

// elsewhere is the answer of a controller that is not primary. The membership is read
// before the copy: a copy that the membership names is then no older than its grant.
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

// revisions are the configurations that a primary has shown lately, so that a
// node which has one of them is sent only what changed.
type deltaCache struct {
	mutex  sync.Mutex
	recent []replication.Section
	// made are the deltas towards the newest one, by the version they start from.
	deltas map[replication.Version]wire.Delta
}

// maxRevisions bounds the memory, and maxRevisionBytes their size together.
const (
	maxRevisions     = 24
	maxRevisionBytes = 48 << 20
)

// towards gives the delta from the version that a node has to the newest.
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
