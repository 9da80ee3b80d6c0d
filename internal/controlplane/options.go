package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/replication"
)

// Options are a controller's settings and ports.
type Options struct {
	Name      string
	Address   string
	Zone      string
	Seeds     []string
	Supported features.List
	// Neighbours are the addresses of other processes that may know the core, such as the router on
	// the same machine. They are asked in addition to the seeds, and do not count as seeds.
	Neighbours []string
	// FlagStableTime is how long the members must stay unchanged before a flag is enabled.
	FlagStableTime time.Duration
	// JoinsOnly prevents a controller with a blank disk from forming a new core.
	JoinsOnly bool
	// ToleratedLosses is how many disks may be lost at once. Zero means one.
	ToleratedLosses int
	// RetireAfter is the time without a poll after which a recorded member is removed from the
	// record. Zero means never.
	RetireAfter time.Duration
	// AcknowledgeWait is how long the acknowledgement of a committed change waits for routers
	// that do not poll. Zero means until their leases end.
	AcknowledgeWait time.Duration
	// CatchUp is how long a machine still counts as lost after its return or after the start of
	// its replacement. The timing of the core is derived from it. Zero means the default.
	CatchUp time.Duration
	// NewIdentity is the identity that a blank disk gets.
	NewIdentity replication.Identity
	// Directory reads the platform's lists of servers and nodes, and LoadReader the loads of the
	// servers. The primary uses both for the whole fleet.
	Directory  discovery.Directory
	LoadReader LoadReader
}
