package dataplane

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// UpdateKind is what an update brings, among those whose ages are observed apart.
type UpdateKind string

const (
	// ServersUpdated is the list of servers, new or confirmed; its age counts from when the
	// platform was asked for it.
	ServersUpdated UpdateKind = "servers"
	// LoadsUpdated is a round of load reports; its age counts from the end of the round.
	LoadsUpdated UpdateKind = "loads"
	// ConfigurationUpdated is a configuration; its age counts from the primary's response.
	ConfigurationUpdated UpdateKind = "configuration"
)

// UpdateKinds are all kinds of updates whose ages are observed.
var UpdateKinds = []UpdateKind{ServersUpdated, LoadsUpdated, ConfigurationUpdated}

// observeAge observes how old something is that is applied now.
func (r *Router) observeAge(kind UpdateKind, since time.Time) {
	if r.options.ObserveAge != nil {
		r.options.ObserveAge(kind, r.runtime.Now().Sub(since))
	}
}

// applyUpdate applies an update of the follower. The configuration is put in force before the
// lease that confirms it is used: under a lease nothing is admitted by an older version.
func (r *Router) applyUpdate(update follower.Update) {
	if update.Provisional {
		r.applyProvisional(update)
		return
	}
	if section, found := update.Changed[replication.ConfigurationSection]; found {
		r.Apply(auction.Event{Kind: auction.ConfigurationReceived, Configuration: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
		r.observeConfiguration(section.Version)
		r.observeAge(ConfigurationUpdated, update.RequestedAt.Add(update.Response.Waited))
	}
	state, err := replication.ReadState(update.Changed)
	if err != nil {
		r.observe("updates_unreadable", "cause", err)
		return
	}
	if _, found := update.Changed[replication.FlagsSection]; found {
		r.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
		r.observe("flags_read", "enabled", state.Flags.Enabled, "restricted", r.core.Restricted())
	}
	if _, found := update.Changed[replication.OrdersSection]; found {
		r.Apply(auction.Event{Kind: auction.OrdersRead, Orders: r.core.ReadOrders(state.Orders.Records)})
	}
	r.applyMembers(update, state)
	r.applyLists(update)
	if update.Response.Lease > 0 {
		r.Apply(auction.Event{Kind: auction.LeaseRenewed, LeaseEnds: update.RequestedAt.Add(update.Response.Lease), Epoch: update.Response.Configuration.Epoch,
			Number: update.Response.Configuration.Number, Roles: update.Response.Roles})
		r.updateServing()
		r.wakeTicker()
	}
}

// observeConfiguration logs whether a configuration that came is in force, or this build could not read it.
func (r *Router) observeConfiguration(version replication.Version) {
	if inForce := r.InForce(); inForce != version {
		r.observe("configuration_rejected", "version", version.String(), "in_force", inForce.String())
		return
	}
	r.observe("configuration_in_force", "version", version.String())
}

// applyProvisional serves by a copy's configuration, before there is a primary. The flags by
// which the configuration is read come first. It gives no lease and allows no role.
func (r *Router) applyProvisional(update follower.Update) {
	state, err := replication.ReadState(update.Changed)
	if err != nil {
		r.observe("updates_unreadable", "cause", err)
		return
	}
	r.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
	r.applyMembers(update, state)
	r.applyLists(update)
	section := update.Changed[replication.ConfigurationSection]
	r.Apply(auction.Event{Kind: auction.ConfigurationProvisional, Configuration: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
	r.updateServing()
	r.wakeTicker()
	r.observe("configuration_provisional", "version", section.Version.String())
}

// applyMembers takes the recorded members, if they changed.
func (r *Router) applyMembers(update follower.Update, state *replication.State) {
	if _, found := update.Changed[replication.MembersSection]; !found {
		return
	}
	r.mutex.Lock()
	r.members = state.Members
	r.mutex.Unlock()
	if r.countOwners != nil {
		r.countOwners.SetMembers(state.Members)
	}
	names := membership.RouterNames(state.Members)
	r.core.Calls().SetRouters(names)
	if update.Response.Routers == 0 {
		// There is no count in the response: it is an older release's primary's, or a copy's.
		r.Apply(auction.Event{Kind: auction.RoutersCounted, Number: uint64(len(names))})
	}
	r.setContacts()
}

// applyLists takes the list of servers, their loads, and the number of routers that share them.
func (r *Router) applyLists(update follower.Update) {
	if count := update.Response.Routers; count > 0 {
		r.routers.Store(int64(count))
		r.Apply(auction.Event{Kind: auction.RoutersCounted, Number: uint64(count)})
	}
	if update.Servers != nil {
		r.applyServers(update.Servers.ReadAt, update.Servers.Servers)
		r.observeAge(ServersUpdated, update.Servers.ReadAt)
	}
	if len(update.Loads) > 0 {
		r.observeAge(LoadsUpdated, update.LoadsReadAt)
		r.core.Calls().SetOutliers(r.runtime.Now(), update.Outliers)
		r.Apply(auction.Event{Kind: auction.LoadsReported, Loads: update.Loads})
	}
}

// setNodes takes the platform's list of nodes.
func (r *Router) setNodes(nodes []membership.Node) {
	r.mutex.Lock()
	r.nodes = nodes
	r.mutex.Unlock()
	r.setContacts()
}

// setContacts gives the follower the controllers that the platform lists or that are recorded,
// and the neighbours and the other routers, the nearest first by rendezvous hashing.
func (r *Router) setContacts() {
	r.mutex.Lock()
	var contacts []string
	for _, node := range r.nodes {
		if node.Kind == membership.Controller {
			contacts = append(contacts, node.Address)
		}
	}
	var names []string
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		member := r.members[name]
		if member.Kind == membership.Controller && !slices.Contains(contacts, member.Address) {
			contacts = append(contacts, member.Address)
		}
	}
	r.mutex.Unlock()
	peers := slices.Clone(r.options.Neighbours)
	for _, member := range r.nearest(len(names)) {
		peers = append(peers, member.Address)
	}
	r.follower.SetContacts(contacts, peers)
}

// nearest are the other recorded routers, by rendezvous hashing, at most limit of them.
func (r *Router) nearest(limit int) []membership.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := membership.RouterNames(r.members)
	var members []membership.Member
	for _, name := range membership.Neighbours(r.options.Router, names, limit) {
		members = append(members, r.members[name])
	}
	return members
}
