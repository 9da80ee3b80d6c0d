package replication

import (
	"bytes"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
)

// PreparedConfiguration is what an edit made of one version of the configuration, checked.
// The zero value means that nothing was prepared.
type PreparedConfiguration struct {
	prepared bool
	base     Version
	text     []byte
	err      error
}

// LargeConfiguration is the size in bytes from which a configuration is not edited and
// checked between the other changes: claims would wait for it.
const LargeConfiguration = 64 << 10

// PrepareConfiguration edits and checks one version of the configuration. A sound edit
// makes a sound text of a sound one, and needs no check of the whole.
func PrepareConfiguration(
	base Version,
	text []byte,
	edit func(text []byte) ([]byte, error),
	sound bool,
) PreparedConfiguration {
	edited, err := edit(text)
	if err == nil && !sound {
		_, err = config.Check(edited)
	}
	return PreparedConfiguration{prepared: true, base: base, text: edited, err: err}
}

// ChangeConfiguration replaces the configuration's text by what edit makes of it. An edit
// that was prepared for the version it meets is not made again, so that a large
// configuration is not checked between the other changes.
//
// The codes: VersionConflict when an expected version is given and is not the current one;
// ConfigurationMoved when a large configuration is no longer at the version the edit was prepared for;
// Duplicate when another change was accepted under the id; Busy when there are
// MaxChangeRecords; and those of the edit and of the check.
func ChangeConfiguration(
	id, digest string,
	expected *Version,
	prepared PreparedConfiguration,
	edit func(text []byte) ([]byte, error),
) Change {
	return func(state *State, version, configurationVersion Version) error {
		if accepted, found := state.acceptedChange(id); found {
			if accepted.Digest == digest {
				// The same change again, as a link may bring it twice: it was
				// accepted, and saying anything else would be wrong.
				return nil
			}
			return failure.New(failure.Duplicate,
				"another change with the id "+id+" was accepted as version "+accepted.Version.String())
		}
		if expected != nil && *expected != configurationVersion {
			return failure.New(failure.VersionConflict, configurationVersion.String())
		}
		if !prepared.prepared || prepared.base != configurationVersion {
			if prepared.prepared && len(state.Configuration) >= LargeConfiguration {
				return failure.New(failure.ConfigurationMoved, configurationVersion.String())
			}
			prepared = PrepareConfiguration(configurationVersion, state.Configuration, edit, false)
		}
		if prepared.err != nil {
			return prepared.err
		}
		if id == "" && bytes.Equal(prepared.text, state.Configuration) {
			// The configuration is as wanted already.
			return nil
		}
		if id != "" && len(state.Changes) >= MaxChangeRecords {
			return failure.New(failure.Busy, "too many changes were accepted lately; ask again")
		}
		state.Configuration = prepared.text
		state.MarkDirty(ConfigurationSection)
		if id != "" {
			record := ChangeRecord{ID: id, Version: version, Digest: digest, At: state.changeTime()}
			state.Changes = append(append([]ChangeRecord(nil), state.Changes...), record)
			state.MarkDirty(ChangesSection)
		}
		return nil
	}
}

// ChangeRecord remembers a configuration change by its id, so that an operator
// whose change had an unknown outcome can find out.
type ChangeRecord struct {
	ID      string  `msgpack:"id" json:"id"`
	Version Version `msgpack:"version" json:"version"`
	// Digest tells the same change sent again from another under its id.
	Digest string `msgpack:"digest" json:"digest"`
	// At is the time of the change by the horizon of claims, which follows the wall clock
	// no faster than twice the monotonic one. It is zero for a change that was recorded
	// before there was a horizon, or by an older release, until the horizon moves.
	At time.Time `msgpack:"at,omitempty" json:"at,omitempty"`
}

const (
	// ChangeRetention is how long an accepted change is remembered at least: it may be
	// sent again for as long, whatever else was accepted since.
	ChangeRetention = ClaimRetention
	// MaxChangeRecords bounds the memory. Changes beyond it are refused as Busy until older
	// records expire: none is dropped before its time to make place.
	MaxChangeRecords = 8192
)

// acceptedChange is the record of the change that was accepted under the id.
func (s *State) acceptedChange(id string) (ChangeRecord, bool) {
	if id == "" {
		return ChangeRecord{}, false
	}
	for _, record := range s.Changes {
		if record.ID == id {
			return record, true
		}
	}
	return ChangeRecord{}, false
}

// changeTime is when a change that is accepted now counts as made: the horizon trails the
// clock by ClaimRetention.
func (s *State) changeTime() time.Time {
	if s.Horizon.IsZero() {
		return time.Time{}
	}
	return s.Horizon.Add(ClaimRetention)
}

// dropExpiredChanges drops the records that are older than their retention, after the horizon
// has moved. Their age is measured by the horizon and not by the wall clock, so that a clock
// that jumps forward forgets none early.
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
