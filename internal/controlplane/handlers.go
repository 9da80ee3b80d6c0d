package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

const (
	registerTimeout = 1200 * time.Millisecond
	claimTimeout    = 1200 * time.Millisecond
	// maxUpdateWait bounds how long a question is held back.
	maxUpdateWait = 2 * time.Second
)

// Handlers is what the controller answers on the hotline.
func (c *Controller) Handlers() wire.Handlers { return c.handlerTable }

func (c *Controller) handlers() wire.Handlers {
	return wire.Handlers{
		wire.HelloPath: wire.HandlerFor(func(hello replication.Hello) (replication.Hello, error) {
			return c.coordinator.HandleHello(hello), nil
		}),
		wire.PreparePath: wire.HandlerFor(func(question wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Prepare(c.runtime.Now(), question.Epoch, question.From)
		}),
		wire.AcceptPath: wire.HandlerFor(func(request wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Accept(c.runtime.Now(), request.Membership)
		}),
		wire.ConfirmPath: wire.HandlerFor(func(req wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(req.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.RenewLease(c.runtime.Now(), req.Epoch, req.From), nil
		}),
		wire.ReplicatePath: wire.HandlerFor(func(question wire.ReplicateRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Replicate(question.Epoch, question.Batch)
		}),
		wire.InstallPath: wire.HandlerFor(func(question wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Install(question.Snapshot)
		}),
		wire.RefreshPath: wire.HandlerFor(func(question wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.CatchUp(question.Snapshot)
		}),
		wire.UpdatesPath: wire.HandlerFor(c.serveUpdate),
		wire.ClaimPath: wire.HandlerFor(func(question wire.ClaimRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.ClaimRequest(question.Made, question.Entry))
		}),
		wire.OrdersPath: wire.HandlerFor(func(question wire.OrdersRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.IssueOrders(question.Role, question.Orders, question.Supported))
		}),
	}
}

// mine guards against messages for another disk at the same address.
func (c *Controller) checkIdentity(identity replication.Identity) error {
	if own := c.witness.Replica().Identity; identity != own {
		return failure.New(failure.NotAdmitted, "another disk is at this address now")
	}
	return nil
}

// led carries out a node's change if this controller is primary.
func (c *Controller) submitAsLeader(change replication.Change) (wire.LeaderResponse, error) {
	if _, _, err := c.Leading(); err != nil {
		return wire.LeaderResponse{Membership: c.coordinator.Membership()}, nil
	}
	_, err := c.submit(change, claimTimeout)
	if failure.CodeOf(err) == failure.NotPrimary {
		return wire.LeaderResponse{Membership: c.coordinator.Membership()}, nil
	}
	return wire.LeaderResponse{Leads: true}, err
}

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
