package wire

import (
	"encoding/binary"
	"slices"
	"strings"
)

// LoadChanges are the changes between the load reports of two poll cycles. The reports of a cycle are sorted
// by the names of their servers and have their ages as of the end of the cycle.
type LoadChanges struct {
	// Base is the revision of the poll cycle to which the changes apply.
	Base uint64 `msgpack:"base"`
	// Differences contains an entry for each report of the base, in the order of the base: a byte whose
	// bits identify the counters that differ, followed by the difference of each of these counters as a
	// signed varint.
	Differences []byte `msgpack:"differences,omitempty"`
	// Added are the reports of servers that the base lacks, and the reports that differ from those of the base
	// in a field that is not a counter.
	Added []LoadReport `msgpack:"added,omitempty"`
}

// reportRemoved flags a report of the base that is missing from the new cycle or replaced by one in Added.
const reportRemoved = 1 << 7

// counters returns the fields that are sent as differences, in the order of their bits.
func (l *LoadReport) counters() [5]*int {
	return [5]*int{&l.Waiting, &l.Running, &l.MemoryUsed, &l.Handles, &l.Age}
}

// equalExceptCounters reports whether two reports are equal except for their counters.
func (l LoadReport) equalExceptCounters(other LoadReport) bool {
	for _, counter := range l.counters() {
		*counter = 0
	}
	for _, counter := range other.counters() {
		*counter = 0
	}
	return l == other
}

// SortReports sorts reports by the names of their servers, which is the order of a poll cycle.
func SortReports(reports []LoadReport) {
	slices.SortFunc(reports, compareReports)
}

func compareReports(left, right LoadReport) int { return strings.Compare(left.Server, right.Server) }

// NewLoadChanges returns the changes from the reports of the base cycle with the given revision to those of a
// later cycle. Both must be sorted by SortReports.
func NewLoadChanges(revision uint64, base, target []LoadReport) LoadChanges {
	changes := LoadChanges{Base: revision}
	next := 0
	for _, earlier := range base {
		for next < len(target) && target[next].Server < earlier.Server {
			changes.Added = append(changes.Added, target[next])
			next++
		}
		if next == len(target) || target[next].Server != earlier.Server || !earlier.equalExceptCounters(target[next]) {
			changes.Differences = append(changes.Differences, reportRemoved)
			continue
		}
		changes.Differences = appendDifferences(changes.Differences, earlier, target[next])
		next++
	}
	changes.Added = append(changes.Added, target[next:]...)
	return changes
}

// appendDifferences encodes the differences between the counters of two reports of a server.
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

// Apply returns the reports of the new cycle from those of the base cycle. It returns false if the changes do
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
