package replication

import "time"

// Timing holds the time-outs and intervals of a core. All are derived from CatchUpLimit: how long a
// machine still counts as lost after it has returned, or after its replacement has started. The core
// must have all its replicas and witnesses again by the end of CatchUpLimit, because the next loss
// may follow right then.
type Timing struct {
	// CatchUpLimit is the time limit from which the other values are derived.
	CatchUpLimit time.Duration
	// Lease is the length of the primary's lease at a witness.
	Lease time.Duration
	// HeartbeatInterval is the time between two rounds of hellos and of lease renewals while the
	// core is complete. A lease lasts for at least five intervals.
	HeartbeatInterval time.Duration
	// MaxHeartbeatGap is the longest time between two hellos of a machine that is up.
	MaxHeartbeatGap time.Duration
	// BackupTimeout is how long writes to a backup may fail, or how long a backup may not respond
	// while a write is pending, before the backup is replaced.
	BackupTimeout time.Duration
	// WitnessTimeout is how long a witness may not respond before another controller replaces it.
	// WitnessTimeout also limits how long a new primary waits to hear from all controllers.
	WitnessTimeout time.Duration
	// ReplacementTimeout is how long a primary that wants several backups looks for a replacement of
	// a lost backup before it continues with fewer backups.
	ReplacementTimeout time.Duration
}

const (
	// DefaultCatchUp is the CatchUpLimit of a core that has none configured.
	DefaultCatchUp = 4 * time.Second
	// ElectionTime is the time that a takeover needs after the lease has expired: the wait for the
	// candidate's next tick, its hellos, two round trips to a majority, and the installation of the
	// snapshot on the new backup.
	ElectionTime = 400 * time.Millisecond
	// WitnessReplacementTime is the time that the replacement of a witness needs. The witnesses grant
	// two memberships, one tick apart: first one with both sets of witnesses, then one with only the
	// new set.
	WitnessReplacementTime = 400 * time.Millisecond

	minLease              = 600 * time.Millisecond
	minWitnessTimeout     = 400 * time.Millisecond
	maxWitnessTimeout     = time.Second
	maxHeartbeatInterval  = 290 * time.Millisecond
	maxHeartbeatGap       = 800 * time.Millisecond
	maxBackupTimeout      = 700 * time.Millisecond
	maxReplacementTimeout = 2 * time.Second
)

// TimingFor derives the timing from CatchUpLimit; zero or less selects DefaultCatchUp. A limit above
// the default changes only WitnessTimeout and the margin.
func TimingFor(catchUp time.Duration) Timing {
	if catchUp <= 0 {
		catchUp = DefaultCatchUp
	}
	lease := min(max(catchUp*3/8, minLease), PrimaryLease)
	return Timing{
		CatchUpLimit:       catchUp,
		Lease:              lease,
		HeartbeatInterval:  min(lease/5, maxHeartbeatInterval),
		MaxHeartbeatGap:    min(lease*8/15, maxHeartbeatGap),
		BackupTimeout:      min(lease*7/15, maxBackupTimeout),
		WitnessTimeout:     min(max(catchUp/5, minWitnessTimeout), maxWitnessTimeout),
		ReplacementTimeout: min(catchUp/2, maxReplacementTimeout),
	}
}

// RepairTime returns the longest time from the loss of a machine, which may be the primary, until
// the core is complete again, provided that a replacement is available and that disks and links
// work. It is the sum of the lease, a takeover, the new primary's wait to hear from all
// controllers, and the replacement of a witness.
func (t Timing) RepairTime() time.Duration {
	return t.Lease + ElectionTime + t.WitnessTimeout + WitnessReplacementTime
}

// Margin returns how long before the end of CatchUpLimit the core is complete again. If it is
// negative, a second loss may come too early.
func (t Timing) Margin() time.Duration { return t.CatchUpLimit - t.RepairTime() }
