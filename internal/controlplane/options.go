package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/replication"
)

// Options say which controller a core is.
type Options struct {
	Name      string
	Address   string
	Zone      string
	Seeds     []string
	Supported features.List
	// FlagStableTime is how long the members must not change before a flag is
	// enabled.
	FlagStableTime time.Duration
	// JoinsOnly keeps a blank disk from forming a first core.
	JoinsOnly bool
	// ToleratedLosses is how many disks may be lost at once; one when it is zero.
	ToleratedLosses int
	// RetireAfter is how long a recorded member may not be heard from before it is
	// taken out of the record; zero: for ever.
	RetireAfter time.Duration
	// AcknowledgeWait is how long a committed change waits for routers that are not
	// heard from; zero: for as long as their holds run.
	AcknowledgeWait time.Duration
	// CatchUp is how long a machine counts as lost after its return or after its
	// successor's start; the core's waits are derived from it. Zero: the default.
	CatchUp time.Duration
	// Fresh is the identity that a blank disk takes.
	Fresh replication.Identity
	// Directory reads the platform's lists, and Reports the servers' loads, for the
	// whole fleet while this controller is primary.
	Directory  discovery.Directory
	LoadReader LoadReader
}
