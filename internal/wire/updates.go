package wire

import (
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/scheduler"
)

// UpdateRequest is a node's long poll of the primary. It identifies the node and contains the versions
// of the replicated sections that the node has, and the version of the configuration that is in force at
// the node. InForce is an acknowledgement: the primary no longer counts the node as lagging behind that
// version.
type UpdateRequest struct {
	Member   membership.Member              `msgpack:"member"`
	Have     map[string]replication.Version `msgpack:"have"`
	InForce  replication.Version            `msgpack:"in_force"`
	Released []lease.Role                   `msgpack:"released,omitempty"`
	// MaxWait is how long the primary may delay the response while there is no update.
	MaxWait time.Duration `msgpack:"patience"`
	// AcceptDeltas is set if the node accepts a Delta instead of a complete section.
	AcceptDeltas bool `msgpack:"deltas,omitempty"`
	// MembershipEpoch is the epoch of the newest membership that the node knows. The primary sends only a
	// newer one. A node of an older release sends zero and always gets the membership.
	MembershipEpoch uint64 `msgpack:"charter,omitempty"`
	// WantServers and WantLoads are set if the node wants the list of servers and their load reports.
	// ServersRevision and LoadsRevision are the revisions that the node has.
	WantServers     bool   `msgpack:"lists,omitempty"`
	ServersRevision uint64 `msgpack:"list_mark,omitempty"`
	WantLoads       bool   `msgpack:"loads,omitempty"`
	LoadsRevision   uint64 `msgpack:"loads_mark,omitempty"`
	// AcceptChanges is set if the node accepts ServerChanges and LoadChanges from the revisions that it
	// has, instead of the complete list and all reports.
	AcceptChanges bool `msgpack:"changes,omitempty"`
	// Failing are the servers that failed requests of this node since its last poll.
	Failing []string `msgpack:"failing,omitempty"`
	// LeaderOnly is set if the node needs to know only the membership and whether the receiver is primary. A
	// primary then responds at once, without sections and without a lease. A primary of an older release
	// ignores LeaderOnly and responds in full.
	LeaderOnly bool `msgpack:"brief,omitempty"`
	// WantProvisional is set if the node has had no configuration since its start and may use the
	// configuration of a copy while there is no primary. WantedVersion is the version that the copy must
	// send, or zero to get only the state of the copy.
	WantProvisional bool                `msgpack:"provisional,omitempty"`
	WantedVersion   replication.Version `msgpack:"wanted,omitempty"`
}

// UpdateResponse is the response to an UpdateRequest. A primary sends the sections that are newer than the
// node's. To a router it also sends a lease on the version Configuration; the duration of the lease counts
// from when the router sent its request. A controller that is not primary responds with the membership
// and, if the node wants it, with the state of its copy.
type UpdateResponse struct {
	Leads         bool                           `msgpack:"leads"`
	Membership    replication.Membership         `msgpack:"charter"`
	Sections      map[string]replication.Section `msgpack:"drawers,omitempty"`
	Deltas        map[string]Delta               `msgpack:"deltas,omitempty"`
	Configuration replication.Version            `msgpack:"menu"`
	Lease         time.Duration                  `msgpack:"hold"`
	Roles         []lease.Role                   `msgpack:"duties,omitempty"`
	// Waited is how long the primary delayed the response. The response was made no earlier than Waited after the
	// node had sent the request. The node takes this earliest time as the time of the response, to which the
	// ages in the response refer.
	Waited time.Duration `msgpack:"held,omitempty"`
	// Routers is the number of routers that share the servers.
	Routers int            `msgpack:"couriers,omitempty"`
	Servers *ServersUpdate `msgpack:"servers,omitempty"`
	Loads   *LoadsUpdate   `msgpack:"loads,omitempty"`
	// Copy is the state of the copy, from a controller that is not primary.
	Copy *CopyState `msgpack:"copy,omitempty"`
}

// CopyState is the state of the copy on the disk of a controller that is not primary, for
// routers that have had no configuration since their start.
type CopyState struct {
	Identity replication.Identity `msgpack:"identity"`
	Damaged  bool                 `msgpack:"damaged,omitempty"`
	// Configuration is the version of the copy's configuration.
	Configuration replication.Version `msgpack:"menu"`
	// Sections are the sections that a router needs to serve requests. They are set if the copy has the
	// version that the router wants.
	Sections map[string]replication.Section `msgpack:"drawers,omitempty"`
}

// ServersUpdate is an update of the platform's list of servers. A node that has the list of this Revision gets
// only its Age. A node that has another revision also gets either the changes from that revision (Changes) or
// the complete list (Servers, with Sent set).
type ServersUpdate struct {
	Revision uint64              `msgpack:"mark"`
	Age      time.Duration       `msgpack:"age"`
	Sent     bool                `msgpack:"sent,omitempty"`
	Servers  []membership.Server `msgpack:"servers,omitempty"`
	Changes  *ServerChanges      `msgpack:"changes,omitempty"`
}

// LoadsUpdate contains the load reports of the primary's last poll cycle: all reports, or the changes from a
// cycle that the node has. Each poll cycle is a revision.
type LoadsUpdate struct {
	Revision uint64       `msgpack:"mark"`
	Reports  []LoadReport `msgpack:"lines"`
	Changes  *LoadChanges `msgpack:"changes,omitempty"`
	// Age is the time in milliseconds from the end of the poll cycle to the response. The ages in Reports
	// include this time, the ages in Changes do not.
	Age int `msgpack:"age,omitempty"`
	// Outliers are the servers to avoid, determined from the failures reported by nodes of the whole fleet.
	Outliers outlier.Advice `msgpack:"outliers,omitempty"`
}

// LoadReport is the load of one server. It is encoded as an array without field names, since many reports
// are sent to every router.
type LoadReport struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server      string
	Role        string
	Changing    bool
	Orders      uint
	Waiting     int
	Running     int
	MemoryUsed  int
	MemoryTotal int
	Handles     int
	// Age is the age of the report in milliseconds.
	Age int
}

// NewLoadReport returns the report for a load that was read from its server the given time ago, and adds
// that time to the load's age.
func NewLoadReport(load scheduler.Load, age time.Duration) LoadReport {
	return LoadReport{
		Server:      load.Server,
		Role:        load.Role,
		Changing:    load.ChangingRole,
		Orders:      uint(load.Orders),
		Waiting:     load.Waiting,
		Running:     load.Running,
		MemoryUsed:  load.MemoryUsed,
		MemoryTotal: load.MemoryTotal,
		Handles:     load.Handles,
		Age:         int((load.Age + age).Milliseconds()),
	}
}

// Load returns the scheduler's form of the report, with the given time added to its age.
func (l LoadReport) Load(age time.Duration) scheduler.Load {
	return scheduler.Load{
		Server:       l.Server,
		Role:         l.Role,
		ChangingRole: l.Changing,
		Orders:       uint64(l.Orders),
		Waiting:      l.Waiting,
		Running:      l.Running,
		MemoryUsed:   l.MemoryUsed,
		MemoryTotal:  l.MemoryTotal,
		Handles:      l.Handles,
		Age:          time.Duration(l.Age)*time.Millisecond + age,
	}
}
