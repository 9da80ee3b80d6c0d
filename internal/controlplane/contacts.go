package controlplane

import (
	"maps"
	"slices"

	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// applyUpdate applies the enabled flags, the recorded members and the list of servers from a
// primary's response. The list is stored so that a new primary can send it in its first response.
func (c *Controller) applyUpdate(update follower.Update) {
	if update.Servers != nil && !c.serverList.leading() {
		c.serverList.update(update.Servers.ReadAt, update.Servers.Servers)
	}
	c.applyMembers(update)
	section, found := update.Changed[replication.FlagsSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.FlagsSection: section})
	if err != nil {
		c.observe("flags_unreadable", "cause", err)
		return
	}
	lacking := c.options.Supported.Missing(state.Flags.Enabled)
	c.coordinator.SetRestricted(len(lacking) > 0)
	c.coordinator.SetBackupList(state.Flags.Enabled.Has(features.BackupList))
	c.observe("flags_read", "enabled", state.Flags.Enabled, "lacking", lacking)
}

// applyMembers stores the recorded members from an update, or from the local copy.
func (c *Controller) applyMembers(update follower.Update) {
	section, found := update.Changed[replication.MembersSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.MembersSection: section})
	if err != nil {
		c.observe("members_unreadable", "cause", err)
		return
	}
	c.setMembers(state.Members)
}

// setNodes stores the addresses of the other controllers on the platform's list of nodes.
func (c *Controller) setNodes(nodes []membership.Node) {
	var addresses []string
	for _, node := range nodes {
		if node.Kind == membership.Controller && node.Address != c.options.Address {
			addresses = append(addresses, node.Address)
		}
	}
	c.mutex.Lock()
	c.nodes = addresses
	c.mutex.Unlock()
	c.setContacts()
}

// setMembers stores the recorded members.
func (c *Controller) setMembers(members map[string]membership.Member) {
	c.mutex.Lock()
	c.members = members
	c.mutex.Unlock()
	c.setContacts()
}

// setContacts passes the known addresses to the coordinator and the follower: the other controllers
// that the platform lists or that are recorded as members, the configured neighbours, and the
// recorded routers in the order of rendezvous hashing. Even if all seeds and members that this
// controller knew have been replaced, one of these processes knows the present membership.
func (c *Controller) setContacts() {
	c.mutex.Lock()
	contacts := slices.Clone(c.nodes)
	var recorded []string
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if member := c.members[name]; member.Kind == membership.Controller && name != c.options.Name {
			recorded = append(recorded, member.Address)
		}
	}
	routers := slices.Clone(c.options.Neighbours)
	for _, name := range membership.RankByWeight(c.options.Name, membership.RouterNames(c.members)) {
		routers = append(routers, c.members[name].Address)
	}
	c.mutex.Unlock()
	c.coordinator.SetDiscovered(contacts)
	c.coordinator.SetMemberAddresses(append(slices.Clone(recorded), routers...))
	for _, address := range recorded {
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	c.follower.SetContacts(contacts, routers)
}

// readNodes reads the platform's list of nodes at an interval. It returns if the platform has no
// such list.
func (c *Controller) readNodes() {
	for c.runtime.Alive() {
		nodes, err := c.options.Directory.Nodes()
		if failure.CodeOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			c.setNodes(nodes)
		}
		runtime.Sleep(c.runtime, discovery.NodesInterval)
	}
}
