package wire

import (
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// UpdateRequest is what a node asks the primary, over and over: what it is,
// which versions it has, and which configuration it has in force.
type UpdateRequest struct {
	Member   membership.Member              `msgpack:"member"`
	Have     map[string]replication.Version `msgpack:"have"`
	InForce  replication.Version            `msgpack:"in_force"`
	Released []lease.Role                   `msgpack:"released,omitempty"`
	MaxWait  time.Duration                  `msgpack:"patience"`
	// AcceptDeltas tells that the node takes what changed instead of the whole.
	AcceptDeltas bool `msgpack:"deltas,omitempty"`
	// Membership is the epoch of the newest membership that the node has heard of: who leads
	// tells it only a newer one.
	Membership uint64 `msgpack:"charter,omitempty"`
	// WantServers tells that the node follows the list of servers, and Loads that it
	// follows their reports; the marks are of those that it has.
	WantServers     bool   `msgpack:"lists,omitempty"`
	ServersRevision uint64 `msgpack:"list_mark,omitempty"`
	WantLoads       bool   `msgpack:"loads,omitempty"`
	LoadsRevision   uint64 `msgpack:"loads_mark,omitempty"`
	// Failing are the servers that failed requests of this node since its last question.
	Failing []string `msgpack:"failing,omitempty"`
	// LeaderOnly asks only who leads: the answer has no content and no hold. An older release
	// answers it in full.
	LeaderOnly bool `msgpack:"brief,omitempty"`
	// WantProvisional tells that the node has no configuration in its life and would take
	// the one of the copies while there is no primary; Wanted is the version that is to
	// be sent.
	WantProvisional bool                `msgpack:"provisional,omitempty"`
	WantedVersion   replication.Version `msgpack:"wanted,omitempty"`
}
