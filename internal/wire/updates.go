package wire

import (
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/scheduler"
)

// UpdateRequest is a node's long poll of the primary: who it is, which versions of the
// replicated sections it has, and which configuration it has in force. The version in force
// is an acknowledgement: the primary counts the node as not lagging behind that version.
type UpdateRequest struct {
	Member   membership.Member              `msgpack:"member"`
	Have     map[string]replication.Version `msgpack:"have"`
	InForce  replication.Version            `msgpack:"in_force"`
	Released []lease.Role                   `msgpack:"released,omitempty"`
	// MaxWait is how long the primary may hold the request back while it has no update.
	MaxWait time.Duration `msgpack:"patience"`
	// AcceptDeltas: the node accepts a Delta instead of the complete section.
	AcceptDeltas bool `msgpack:"deltas,omitempty"`
	// Membership is the epoch of the newest membership that the node knows: the primary
	// sends only a newer one. Zero: an older release, which always gets it.
	Membership uint64 `msgpack:"charter,omitempty"`
	// WantServers and WantLoads subscribe the node to the list of servers and to their load
	// reports; ServersRevision and LoadsRevision are those that it has.
	WantServers     bool   `msgpack:"lists,omitempty"`
	ServersRevision uint64 `msgpack:"list_mark,omitempty"`
	WantLoads       bool   `msgpack:"loads,omitempty"`
	LoadsRevision   uint64 `msgpack:"loads_mark,omitempty"`
	// AcceptChanges: the node accepts ServerChanges and LoadChanges from the revisions that it
	// has, instead of the complete list and reports.
	AcceptChanges bool `msgpack:"changes,omitempty"`
	// Failing are the servers that failed requests of this node since its last request.
	Failing []string `msgpack:"failing,omitempty"`
	// LeaderOnly asks only who leads: the response has no sections and no lease. An older
	// release ignores it and responds in full.
	LeaderOnly bool `msgpack:"brief,omitempty"`
	// WantProvisional: the node has had no configuration since its start and would serve by
	// a copy's while there is no primary; WantedVersion is the version to send, if any.
	WantProvisional bool                `msgpack:"provisional,omitempty"`
	WantedVersion   replication.Version `msgpack:"wanted,omitempty"`
}

// UpdateResponse is the primary's response: the sections that are newer than the node's, and
// a lease on the version Configuration, counted from when the node sent its request. A
// controller that is not primary responds with the membership, and with the state of its
// copy if that was wanted.
type UpdateResponse struct {
	Leads         bool                           `msgpack:"leads"`
	Membership    replication.Membership         `msgpack:"charter"`
	Sections      map[string]replication.Section `msgpack:"drawers,omitempty"`
	Deltas        map[string]Delta               `msgpack:"deltas,omitempty"`
	Configuration replication.Version            `msgpack:"menu"`
	Lease         time.Duration                  `msgpack:"hold"`
	Roles         []lease.Role                   `msgpack:"duties,omitempty"`
	// Waited is how long the request was held back, so that the receiver can count the
	// ages from the moment at which the response was made.
	Waited time.Duration `msgpack:"held,omitempty"`
	// Routers is how many routers share the servers.
	Routers int            `msgpack:"couriers,omitempty"`
	Servers *ServersUpdate `msgpack:"servers,omitempty"`
	Loads   *LoadsUpdate   `msgpack:"loads,omitempty"`
	// Copy is the state of the copy of a controller that is not primary.
	Copy *CopyState `msgpack:"copy,omitempty"`
}

// CopyState is the state of the copy on the disk of a controller that is not primary, for
// routers that have had no configuration since their start.
type CopyState struct {
	Identity replication.Identity `msgpack:"identity"`
	Damaged  bool                 `msgpack:"damaged,omitempty"`
	// Configuration is the version of the copy's configuration.
	Configuration replication.Version `msgpack:"menu"`
	// Sections are those that a router needs to serve, if it wanted this version.
	Sections map[string]replication.Section `msgpack:"drawers,omitempty"`
}

// ServersUpdate is the platform's list of servers as the primary knows it: its age, and for a
// node that has another revision the changes from that one, or the list itself (Sent).
type ServersUpdate struct {
	Revision uint64              `msgpack:"mark"`
	Age      time.Duration       `msgpack:"age"`
	Sent     bool                `msgpack:"sent,omitempty"`
	Servers  []membership.Server `msgpack:"servers,omitempty"`
	Changes  *ServerChanges      `msgpack:"changes,omitempty"`
}

// LoadsUpdate has the servers' load reports as the primary read them last: all of them, or the
// changes from a round that the node has. Each round of reading is a revision.
type LoadsUpdate struct {
	Revision uint64       `msgpack:"mark"`
	Reports  []LoadReport `msgpack:"lines"`
	Changes  *LoadChanges `msgpack:"changes,omitempty"`
	// Age is the time in milliseconds from the end of the round to the response. The ages of
	// Reports include it, those of Changes do not.
	Age int `msgpack:"age,omitempty"`
	// Outliers are the servers to avoid, by the failures that all nodes reported there.
	Outliers outlier.Advice `msgpack:"outliers,omitempty"`
}

// LoadReport is one server's load. It is encoded as an array, without names, since many of
// them go to every router.
type LoadReport struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server      string
	Part        string
	Changing    bool
	Orders      uint
	Waiting     int
	Running     int
	MemoryUsed  int
	MemoryTotal int
	Handles     int
	// Age is in milliseconds.
	Age int
}

// NewLoadReport encodes a load that was read some time ago.
func NewLoadReport(load scheduler.Load, age time.Duration) LoadReport {
	return LoadReport{
		Server:      load.Server,
		Part:        load.Role,
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

// Load is the scheduler's view of the report, which took some time to arrive.
func (l LoadReport) Load(age time.Duration) scheduler.Load {
	return scheduler.Load{
		Server:       l.Server,
		Role:         l.Part,
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
