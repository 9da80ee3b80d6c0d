package replication

import "time"

// ChangeRecord remembers a configuration change by its id, so that an operator
// whose change had an unknown outcome can find out.
type ChangeRecord struct {
	ID      string  `msgpack:"id" json:"id"`
	Version Version `msgpack:"version" json:"version"`
	// Digest tells the same change sent again from another under its id.
	Digest string `msgpack:"digest" json:"digest"`
	// At is the time of the change by the claims' horizon, which follows the wall clock
	// no faster than twice the monotonic one. It is zero for a change that was noted
	// before there was a horizon, or by an older release, until the horizon moves.
	At time.Time `msgpack:"at,omitempty" json:"at,omitempty"`
}

const (
	// ChangeRetention is how long an accepted change is remembered at least: it may be
	// sent again for as long, whatever else was accepted since.
	ChangeRetention = ClaimRetention
	// MaxChangeRecords bounds the memory. Changes beyond it wait until older ones may be
	// forgotten; none is forgotten for its number.
	MaxChangeRecords = 8192
)

// changeTime is when a change that is accepted now counts as made.
func (s *State) changeTime() time.Time {
	if s.Horizon.IsZero() {
		return time.Time{}
	}
	return s.Horizon.Add(ClaimRetention)
}

// dropExpiredChanges lets go of the notes that are older than their retention, after the
// horizon has moved.
func (s *State) dropExpiredChanges() {
	retained := make([]ChangeRecord, 0, len(s.Changes))
	changed := false
	for _, record := range s.Changes {
		switch {
		case record.At.IsZero():
			record.At = s.changeTime()
			changed = true
		case record.At.Before(s.changeTime().Add(-ChangeRetention)):
			changed = true
			continue
		}
		retained = append(retained, record)
	}
	if changed {
		s.Changes = retained
		s.MarkDirty(ChangesSection)
	}
}
