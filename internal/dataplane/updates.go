package dataplane

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// UpdateKind is a kind of update for which Options.ObserveAge receives the age.
type UpdateKind string

const (
	// ServersUpdated is a new or confirmed list of servers; its age is the time since the list was
	// requested from the platform.
	ServersUpdated UpdateKind = "servers"
	// LoadsUpdated is a set of load reports; its age is the time since the end of the poll cycle in
	// which they were read.
	LoadsUpdated UpdateKind = "loads"
	// ConfigurationUpdated is a configuration; its age is the time since the router sent the request,
	// without the time for which the primary held the request back.
	ConfigurationUpdated UpdateKind = "configuration"
)

// UpdateKinds lists all kinds of updates for which ages are observed.
var UpdateKinds = []UpdateKind{ServersUpdated, LoadsUpdated, ConfigurationUpdated}

// observeAge reports the age of an update that is applied now.
func (r *Router) observeAge(kind UpdateKind, since time.Time) {
	if r.options.ObserveAge != nil {
		r.options.ObserveAge(kind, r.runtime.Now().Sub(since))
	}
}

// applyUpdate applies an update from the follower. It puts the configuration in force before
// it renews the lease that confirms the configuration, so that no request is admitted under
// that lease according to an older configuration.
func (r *Router) applyUpdate(update follower.Update) {
	if update.Provisional {
		r.applyProvisional(update)
		return
	}
	if section, found := update.Changed[replication.ConfigurationSection]; found {
		r.Apply(auction.Event{
			Kind:          auction.ConfigurationReceived,
			Configuration: section.Content,
			Epoch:         section.Version.Epoch,
			Number:        section.Version.Number,
		})
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
		r.Apply(auction.Event{
			Kind:      auction.LeaseRenewed,
			LeaseEnds: update.RequestedAt.Add(update.Response.Lease),
			Epoch:     update.Response.Configuration.Epoch,
			Number:    update.Response.Configuration.Number,
			Roles:     update.Response.Roles,
		})
		r.updateServing()
		r.wakeTicker()
	}
}

// observeConfiguration logs whether a received configuration is in force, or was rejected because this
// build could not read it or because it is not newer than the configuration in force.
func (r *Router) observeConfiguration(version replication.Version) {
	if inForce := r.InForce(); inForce != version {
		r.observe("configuration_rejected", "version", version.String(), "in_force", inForce.String())
		return
	}
	r.observe("configuration_in_force", "version", version.String())
}

// applyProvisional puts a replica's configuration in force before a primary has confirmed one.
// It applies the feature flags first, because the configuration is parsed according to them.
// It grants no lease and no roles.
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
	r.Apply(auction.Event{
		Kind:          auction.ConfigurationProvisional,
		Configuration: section.Content,
		Epoch:         section.Version.Epoch,
		Number:        section.Version.Number,
	})
	r.updateServing()
	r.wakeTicker()
	r.observe("configuration_provisional", "version", section.Version.String())
}

// applyMembers applies the recorded members, if they changed.
func (r *Router) applyMembers(update follower.Update, state *replication.State) {
	if _, found := update.Changed[replication.MembersSection]; !found {
		return
	}
	r.mutex.Lock()
	r.members = state.Members
	r.mutex.Unlock()
	if r.backlogCounts != nil {
		r.backlogCounts.SetMembers(state.Members)
	}
	names := membership.RouterNames(state.Members)
	r.core.Calls().SetRouters(names)
	if update.Response.Routers == 0 {
		// The response has no count of routers: it is from a primary of an older release, or
		// from a replica.
		r.Apply(auction.Event{Kind: auction.RoutersCounted, Number: uint64(len(names))})
	}
	r.setContacts()
}

// applyLists applies the number of routers, the list of servers and the servers' loads, if the
// update contains them.
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

// setNodes replaces the platform's list of nodes.
func (r *Router) setNodes(nodes []membership.Node) {
	r.mutex.Lock()
	r.nodes = nodes
	r.mutex.Unlock()
	r.setContacts()
}

// setContacts passes the follower its contacts: the controllers that the platform lists or that are
// recorded, the configured neighbours, and the other routers in the order of rankedPeers.
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
	for _, member := range r.rankedPeers(len(names)) {
		peers = append(peers, member.Address)
	}
	r.follower.SetContacts(contacts, peers)
}

// rankedPeers returns at most limit other recorded routers: the first ones in the order of rendezvous hashing.
func (r *Router) rankedPeers(limit int) []membership.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := membership.RouterNames(r.members)
	var members []membership.Member
	for _, name := range membership.NearestPeers(r.options.Router, names, limit) {
		members = append(members, r.members[name])
	}
	return members
}
