package wire

import (
	"encoding/binary"
	"slices"
	"strings"
)

// LoadChanges are what differs between two rounds of load reports. The reports of a round are in
// the order of their servers' names, with their ages as of the end of the round.
type LoadChanges struct {
	// Base is the revision of the round from which they lead to that of the update.
	Base uint64 `msgpack:"base"`
	// Differences has, for each report of the base in its order, a byte whose bits name the
	// counters that differ, and for each of these the difference as a signed varint.
	Differences []byte `msgpack:"differences,omitempty"`
	// Added are the reports that the base lacks, or that differ in another field.
	Added []LoadReport `msgpack:"added,omitempty"`
}

// reportRemoved is the flag of a report that is not in the round, or is among those added.
const reportRemoved = 1 << 7

// counters are the fields that are sent as differences, in the order of their bits.
func (l *LoadReport) counters() [5]*int {
	return [5]*int{&l.Waiting, &l.Running, &l.MemoryUsed, &l.Handles, &l.Age}
}

// sameButCounters tells whether two reports are alike but for their counters.
func (l LoadReport) sameButCounters(other LoadReport) bool {
	for _, counter := range l.counters() {
		*counter = 0
	}
	for _, counter := range other.counters() {
		*counter = 0
	}
	return l == other
}

// SortReports puts reports into the order of a round.
func SortReports(reports []LoadReport) {
	slices.SortFunc(reports, compareReports)
}

func compareReports(left, right LoadReport) int { return strings.Compare(left.Server, right.Server) }

// NewLoadChanges are the changes that lead from the reports of a base to those of a later round,
// both in the order of SortReports.
func NewLoadChanges(revision uint64, base, target []LoadReport) LoadChanges {
	changes := LoadChanges{Base: revision}
	next := 0
	for _, earlier := range base {
		for next < len(target) && target[next].Server < earlier.Server {
			changes.Added = append(changes.Added, target[next])
			next++
		}
		if next == len(target) || target[next].Server != earlier.Server || !earlier.sameButCounters(target[next]) {
			changes.Differences = append(changes.Differences, reportRemoved)
			continue
		}
		changes.Differences = appendDifferences(changes.Differences, earlier, target[next])
		next++
	}
	changes.Added = append(changes.Added, target[next:]...)
	return changes
}

func appendDifferences(encoded []byte, base, target LoadReport) []byte {
	position := len(encoded)
	encoded = append(encoded, 0)
	counters := target.counters()
	for field, earlier := range base.counters() {
		if difference := *counters[field] - *earlier; difference != 0 {
			encoded[position] |= 1 << field
			encoded = binary.AppendVarint(encoded, int64(difference))
		}
	}
	return encoded
}

// Apply gives the reports of the round from those of the base; false means that the changes do
// not fit the base.
func (c LoadChanges) Apply(base []LoadReport) ([]LoadReport, bool) {
	reports := make([]LoadReport, 0, len(base)+len(c.Added))
	encoded := c.Differences
	for _, report := range base {
		if len(encoded) == 0 {
			return nil, false
		}
		fields := encoded[0]
		encoded = encoded[1:]
		if fields&reportRemoved != 0 {
			continue
		}
		for field, counter := range report.counters() {
			if fields&(1<<field) == 0 {
				continue
			}
			difference, length := binary.Varint(encoded)
			if length <= 0 {
				return nil, false
			}
			encoded = encoded[length:]
			*counter += int(difference)
		}
		reports = append(reports, report)
	}
	reports = append(reports, c.Added...)
	SortReports(reports)
	return reports, len(encoded) == 0
}
