package replication

import "time"

// Timing holds the waits of a core. All are derived from one bound: how long a machine
// counts as lost after its return, or after its successor's start. Within that time the
// core must be whole again, since the next loss may come then.
type Timing struct {
	// CatchUp is the bound that the others are derived from.
	CatchUp time.Duration
	// Lease is how long a witness holds still for the primary that it confirmed.
	Lease time.Duration
	// Round is the time between two rounds of hellos and of lease renewals of a core that
	// is whole. A lease lasts five of them.
	Round time.Duration
	// Beat is the longest time between two hellos of a machine that is there.
	Beat time.Duration
	// BackupSilence is how long a backup's writes may fail before another takes its place.
	BackupSilence time.Duration
	// WitnessSilence is how long a witness may not answer before a newcomer is admitted
	// in its place. It also bounds how long a new primary waits to hear from all.
	WitnessSilence time.Duration
	// FewerCopies is how long a primary looks for a copy in the place of one that is gone
	// before it goes on with fewer, where several backups are wanted.
	FewerCopies time.Duration
}

const (
	// DefaultCatchUp is the bound of a core that was told none.
	DefaultCatchUp = 4 * time.Second
	// ElectionTime is what a takeover costs after the lease ran out: the candidate's next
	// look, its hellos, two messages to a majority and the snapshot of the new pair.
	ElectionTime = 400 * time.Millisecond
	// ExchangeTime is what it costs to admit a witness: two grants, a round apart.
	ExchangeTime = 400 * time.Millisecond

	shortestLease          = 600 * time.Millisecond
	shortestWitnessSilence = 400 * time.Millisecond
	longestWitnessSilence  = time.Second
	longestRound           = 290 * time.Millisecond
	longestBeat            = 800 * time.Millisecond
	longestBackupSilence   = 700 * time.Millisecond
	longestFewerCopies     = 2 * time.Second
)

// TimingFor derives the waits from a bound; zero or less means the default one. A longer
// bound than the default changes nothing but the margin.
func TimingFor(catchUp time.Duration) Timing {
	if catchUp <= 0 {
		catchUp = DefaultCatchUp
	}
	lease := min(max(catchUp*3/8, shortestLease), PrimaryLease)
	return Timing{
		CatchUp:        catchUp,
		Lease:          lease,
		Round:          min(lease/5, longestRound),
		Beat:           min(lease*8/15, longestBeat),
		BackupSilence:  min(lease*7/15, longestBackupSilence),
		WitnessSilence: min(max(catchUp/5, shortestWitnessSilence), longestWitnessSilence),
		FewerCopies:    min(catchUp/2, longestFewerCopies),
	}
}

// Repair is the longest time from the loss of a machine, the primary too, until the core
// is whole again, when another can be had and disks and links are sound: the lease, a
// takeover, the new primary's wait to hear from all, the exchange of a witness.
func (t Timing) Repair() time.Duration {
	return t.Lease + ElectionTime + t.WitnessSilence + ExchangeTime
}

// Margin is how much earlier than the bound the core is whole again. Below zero a second
// loss may come too soon.
func (t Timing) Margin() time.Duration { return t.CatchUp - t.Repair() }
