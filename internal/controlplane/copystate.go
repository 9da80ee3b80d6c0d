package controlplane

import (
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

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
