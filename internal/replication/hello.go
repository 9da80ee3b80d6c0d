package replication

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Hello is what controllers tell each other of themselves.
type Hello struct {
	Replica    Replica             `msgpack:"seat"`
	Kind       membership.NodeKind `msgpack:"kind"`
	Blank      bool                `msgpack:"blank"`
	Restricted bool                `msgpack:"restricted"`
	Membership Membership          `msgpack:"charter"`
	Leads      bool                `msgpack:"leads"`
	LeaseLeft  time.Duration       `msgpack:"hold_left"`
	// LeaseHolder is whom the keeper holds still for.
	LeaseHolder Identity `msgpack:"holder,omitempty"`
	Version     Version  `msgpack:"version"`
	Damage      string   `msgpack:"damage,omitempty"`
	// Leaving tells that the process is about to end and hands over what it has.
	Leaving bool `msgpack:"leaving,omitempty"`
}
