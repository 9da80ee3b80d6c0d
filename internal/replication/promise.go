package replication

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Vote is a keeper's answer.
type Vote struct {
	Witness    Identity     `msgpack:"keeper"`
	Granted    bool         `msgpack:"granted"`
	Refusal    failure.Code `msgpack:"refusal,omitempty"`
	Promised   uint64       `msgpack:"promised"`
	Membership Membership   `msgpack:"charter"`
	// Lease is how long the keeper holds still for the primary that it confirmed. An
	// older release does not tell; its lease is PrimaryHold.
	Lease time.Duration `msgpack:"lease,omitempty"`
}
