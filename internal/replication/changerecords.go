package replication

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// ChangeRecord records an accepted configuration change under its id, so that an operator who did
// not learn the outcome of a change can look it up.
type ChangeRecord struct {
	ID      string  `msgpack:"id" json:"id"`
	Version Version `msgpack:"version" json:"version"`
	// Digest distinguishes a repetition of the same change from another change with the same id.
	Digest string `msgpack:"digest" json:"digest"`
	// At is the time of the change, derived from the horizon of claims, which follows the wall
	// clock at no more than twice the speed of the monotonic clock. Until the horizon next moves, At is
	// zero for a change that was recorded before there was a horizon, or by an older release.
	At time.Time `msgpack:"at,omitempty" json:"at,omitempty"`
}

const (
	// ChangeRetention is the shortest time for which an accepted change is remembered. During that
	// time it may be sent again, regardless of the changes accepted since.
	ChangeRetention = ClaimRetention
	// MaxChangeRecords is the maximum number of records. It suffices for 50 changes per second during
	// ChangeRetention. Further changes are refused with Busy until older records expire, because no
	// record is dropped earlier.
	MaxChangeRecords = 32768
	// maxSingleSectionRecords is the limit while all records are in one section: each change writes
	// and sends that whole section again.
	maxSingleSectionRecords = 8192
	// changeSectionRecords is the number of records in one full section. Larger sections cost more per
	// change, which writes the newest section again (half full on average); smaller ones make each
	// file of a replica longer, because the file names the location of every other section.
	changeSectionRecords = 64
)

// ChangeRecords holds the changes that were accepted within the last ChangeRetention. Each change
// writes and sends only one section, however many sections there are.
type ChangeRecords struct {
	// single holds the records of the one section that is written without the flag
	// features.ChangeSections. It is read until its records expire.
	single []ChangeRecord
	// sections holds the records by the names of their sections; newest is the number of the last
	// section.
	sections map[string][]ChangeRecord
	newest   uint64
}

func newChangeRecords() ChangeRecords {
	return ChangeRecords{sections: map[string][]ChangeRecord{}}
}

// changeSectionName returns the name of a section of change records. The names sort by number.
func changeSectionName(number uint64) string {
	return fmt.Sprintf("%s%020d", ChangesPrefix, number)
}

// load adds the records of a section that was read from a replica.
func (c *ChangeRecords) load(name string, records []ChangeRecord) {
	if name == ChangesSection {
		c.single = records
		return
	}
	var number uint64
	_, _ = fmt.Sscanf(strings.TrimPrefix(name, ChangesPrefix), "%d", &number)
	c.sections[name] = records
	c.newest = max(c.newest, number)
}

// Find returns the record of the change that was accepted under the id.
func (c *ChangeRecords) Find(id string) (ChangeRecord, bool) {
	if id == "" {
		return ChangeRecord{}, false
	}
	for _, records := range c.sections {
		for _, record := range records {
			if record.ID == id {
				return record, true
			}
		}
	}
	for _, record := range c.single {
		if record.ID == id {
			return record, true
		}
	}
	return ChangeRecord{}, false
}

// Count returns the number of remembered changes.
func (c *ChangeRecords) Count() int {
	count := len(c.single)
	for _, records := range c.sections {
		count += len(records)
	}
	return count
}

// full reports whether no change may be accepted until older records expire.
func (c *ChangeRecords) full(inSections bool) bool {
	if inSections {
		return c.Count() >= MaxChangeRecords
	}
	return c.Count() >= maxSingleSectionRecords
}

// add records an accepted change and returns the name of its section. It copies the slices, because
// a view may share them.
func (c *ChangeRecords) add(record ChangeRecord, inSections bool) string {
	if !inSections {
		c.single = append(append([]ChangeRecord(nil), c.single...), record)
		return ChangesSection
	}
	if len(c.sections[changeSectionName(c.newest)]) >= changeSectionRecords {
		c.newest++
	}
	name := changeSectionName(c.newest)
	c.sections[name] = append(append([]ChangeRecord(nil), c.sections[name]...), record)
	return name
}

// expire sets the time of records that have none, and drops records that are older than the cutoff.
// A numbered section is dropped only as a whole, once all of its records are older, so that a full
// section is not written again. expire returns the names of the changed sections, in order.
func (c *ChangeRecords) expire(now, cutoff time.Time) []string {
	var changed []string
	if undated, expired := countUndatedAndExpired(c.single, now, cutoff); undated || expired > 0 {
		c.single = recordsFrom(c.single, now, cutoff)
		changed = append(changed, ChangesSection)
	}
	for name, records := range c.sections {
		undated, expired := countUndatedAndExpired(records, now, cutoff)
		switch {
		case expired == len(records):
			delete(c.sections, name)
		case undated:
			c.sections[name] = recordsFrom(records, now, time.Time{})
		default:
			continue
		}
		changed = append(changed, name)
	}
	sort.Strings(changed)
	return changed
}

// countUndatedAndExpired reports whether any record has no time yet, and counts the records before
// the cutoff.
func countUndatedAndExpired(records []ChangeRecord, now, cutoff time.Time) (undated bool, expired int) {
	for _, record := range records {
		if record.At.IsZero() {
			undated = true
		} else if record.At.Before(cutoff) {
			expired++
		}
	}
	return undated, expired
}

// recordsFrom returns a copy of the records from the cutoff on; records without a time get the time
// now.
func recordsFrom(records []ChangeRecord, now, cutoff time.Time) []ChangeRecord {
	retained := make([]ChangeRecord, 0, len(records))
	for _, record := range records {
		if record.At.IsZero() {
			record.At = now
		}
		if !record.At.Before(cutoff) {
			retained = append(retained, record)
		}
	}
	return retained
}

// changeTime returns the time that is recorded for a change accepted now: the horizon plus
// ClaimRetention, by which the horizon trails the clock.
func (s *State) changeTime() time.Time {
	if s.Horizon.IsZero() {
		return time.Time{}
	}
	return s.Horizon.Add(ClaimRetention)
}

// dropExpiredChanges drops the records that are older than ChangeRetention, after the horizon has
// moved. Their age is measured by the horizon and not by the wall clock, so that a wall clock that
// jumps forward drops none early.
func (s *State) dropExpiredChanges() {
	now := s.changeTime()
	for _, section := range s.Changes.expire(now, now.Add(-ChangeRetention)) {
		s.MarkDirty(section)
	}
}
