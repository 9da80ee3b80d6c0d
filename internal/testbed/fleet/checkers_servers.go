package fleet

import (
	"fmt"
	"strconv"
	"time"
)

// closedPlaceRule is the rule that no work is dispatched to a place (a server or a zone) later
// than limit after the place was closed, until it is opened again.
type closedPlaceRule struct {
	checker       string
	limit         time.Duration
	place         func(Entry) string
	closes, opens EntryKind
}

// checkLeaving checks that no work is dispatched to a server later than leavingLimit after
// the server was shown to be leaving.
func checkLeaving(entries []Entry) Finding {
	rule := closedPlaceRule{
		checker: "no new work for a leaving server",
		limit:   leavingLimit,
		place:   func(entry Entry) string { return entry.Server },
		closes:  ServerLeaving,
		opens:   ServerBorn,
	}
	return rule.check(entries)
}

// checkEvacuated checks that no work is dispatched to the servers of a zone later than
// evacuateLimit after the zone's evacuation was accepted.
func checkEvacuated(entries []Entry) Finding {
	rule := closedPlaceRule{
		checker: "no new work for an evacuated zone",
		limit:   evacuateLimit,
		place:   func(entry Entry) string { return entry.Zone },
		closes:  Evacuated,
		opens:   RestoreAsked,
	}
	return rule.check(entries)
}

// check applies the rule to the entries.
func (r closedPlaceRule) check(entries []Entry) Finding {
	finding := Finding{Checker: r.checker, Limit: r.limit.String()}
	closedAt := map[string]time.Time{}
	var worst time.Duration
	for _, entry := range entries {
		place := r.place(entry)
		since, closed := closedAt[place]
		switch entry.Kind {
		case r.closes:
			finding.Checked++
			if !closed {
				closedAt[place] = entry.At
			}
		case r.opens:
			delete(closedAt, place)
		case PrefillAsked, DecodeAsked:
			if !closed {
				continue
			}
			late := entry.At.Sub(since)
			worst = max(worst, late)
			if late > r.limit {
				finding.Violate(fmt.Sprintf("%s was dispatched %s after %s was closed", entry.Request, late, place))
			}
		}
	}
	finding.setWorst(worst)
	return finding
}

// checkWarmup checks that a server younger than warmupSpan never has more than warmupDepth
// requests at the same time.
func checkWarmup(entries []Entry) Finding {
	finding := Finding{Checker: "a cold server is not flooded", Limit: strconv.Itoa(warmupDepth)}
	worst := 0
	for _, entry := range entries {
		if (entry.Kind != PrefillAsked && entry.Kind != DecodeAsked) || entry.Age > warmupSpan {
			continue
		}
		finding.Checked++
		worst = max(worst, entry.Depth)
		if entry.Depth > warmupDepth {
			finding.Violate(fmt.Sprintf("%s had %d requests at once at the age of %s", entry.Server, entry.Depth, entry.Age))
		}
	}
	finding.Worst = strconv.Itoa(worst)
	return finding
}

// checkCommands checks that two nodes never send commands to one server within commandGapLimit,
// and that fencing tokens never decrease.
func checkCommands(entries []Entry) Finding {
	finding := Finding{Checker: "one node at a time commands a server", Limit: commandGapLimit.String()}
	last := map[string]Entry{}
	var shortest time.Duration
	for _, entry := range entries {
		if entry.Kind != Commanded && entry.Kind != CommandRefused {
			continue
		}
		finding.Checked++
		earlier, found := last[entry.Server]
		last[entry.Server] = entry
		if entry.Kind == CommandRefused {
			finding.Violate(fmt.Sprintf("%s was commanded by %s with the old fencing token %d", entry.Server, entry.Holder,
				entry.FencingToken))
		}
		if !found || earlier.Holder == entry.Holder {
			continue
		}
		between := entry.At.Sub(earlier.At)
		if shortest == 0 || between < shortest {
			shortest = between
		}
		if between < commandGapLimit {
			finding.Violate(fmt.Sprintf("%s was commanded by %s and %s later by %s", entry.Server, earlier.Holder,
				between, entry.Holder))
		}
	}
	if shortest > 0 {
		finding.setWorst(shortest)
	}
	return finding
}
