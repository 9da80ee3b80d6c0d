package rehearsal

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The limits of "What must never happen", as the checkers hold them.
const (
	leavingLimit  = 3 * time.Second
	evacuateLimit = 5 * time.Second
	inForceLimit  = 2 * time.Second
	turnLimit     = 3 * time.Second
	returnLimit   = 12 * time.Second
	triesShare    = 0.2
	coldSpan      = 2 * time.Second
	coldDepth     = 8
)

// The checkers read only what stand-ins and callers wrote down.
var checkers = []func([]Entry) Finding{
	checkSecondRun, checkRefusedNeverRuns, checkReplies, checkMemory, checkLeaving, checkEvacuated, checkInForce, checkNeverBack,
	checkRefusedEditions, checkReads, checkTries, checkCold, checkCommands, checkFormats, checkReturn,
}

// checkSecondRun: an inquiry that may not be repeated is started once at most,
// by one prefill and one decode server.
func checkSecondRun(entries []Entry) Finding {
	finding := Finding{Checker: "no second run"}
	once := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Sent && !entry.Repeatable {
			once[entry.Inquiry] = true
		}
	}
	started := map[string]string{}
	for _, entry := range entries {
		if (entry.Kind != PrefillStarted && entry.Kind != DecodeStarted) || !once[entry.Inquiry] {
			continue
		}
		finding.Looked++
		key := string(entry.Kind) + entry.Inquiry
		if earlier, found := started[key]; found {
			finding.violate(fmt.Sprintf("%s %s at %s and again at %s", entry.Inquiry, entry.Kind, earlier, entry.Server))
		}
		started[key] = entry.Server
	}
	return finding
}

// checkRefusedNeverRuns: nothing starts for an inquiry whose caller was told
// that it never would, before or after that word.
func checkRefusedNeverRuns(entries []Entry) Finding {
	finding := Finding{Checker: "refused means it never runs"}
	refused := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Replied && entry.Final == "refused" && entry.Cause != "duplicate_inquiry" {
			refused[entry.Inquiry] = true
			finding.Looked++
		}
	}
	for _, entry := range entries {
		if (entry.Kind == PrefillStarted || entry.Kind == DecodeStarted) && refused[entry.Inquiry] {
			finding.violate(fmt.Sprintf("%s was refused and %s at %s", entry.Inquiry, entry.Kind, entry.Server))
		}
	}
	return finding
}

// checkReplies: pieces are the origin's own, in order, from one run; a
// complete reply has them all.
func checkReplies(entries []Entry) Finding {
	finding := Finding{Checker: "replies are whole and the origin's own"}
	for _, entry := range entries {
		if entry.Kind != Replied {
			continue
		}
		finding.Looked++
		run := ""
		for position, line := range entry.Texts {
			number, text, _ := strings.Cut(line, "|")
			parts := strings.Split(text, "/")
			if len(parts) != 3 || parts[0] != entry.Inquiry || number != strconv.Itoa(position+1) || parts[2] != number {
				finding.violate(fmt.Sprintf("%s: piece %d reads %s", entry.Inquiry, position+1, line))
				break
			}
			if run != "" && run != parts[1] {
				finding.violate(fmt.Sprintf("%s: pieces of runs %s and %s", entry.Inquiry, run, parts[1]))
				break
			}
			run = parts[1]
		}
		if entry.Final == "complete" && (len(entry.Texts) != entry.Asked || entry.Pieces != entry.Asked) {
			finding.violate(fmt.Sprintf("%s: complete with %d pieces of %d", entry.Inquiry, len(entry.Texts), entry.Asked))
		}
	}
	return finding
}

// checkMemory: a handle is taken up once, and a decode starts only on memory
// of its own inquiry and run.
func checkMemory(entries []Entry) Finding {
	finding := Finding{Checker: "prompt memory is taken once and by its own inquiry"}
	taken := map[string]Entry{}
	runs := map[string]int{}
	for _, entry := range entries {
		switch entry.Kind {
		case MemoryTaken:
			finding.Looked++
			if earlier, found := taken[entry.Handle]; found {
				finding.violate(fmt.Sprintf("handle %s taken for %s and for %s", entry.Handle, earlier.Inquiry, entry.Inquiry))
			}
			taken[entry.Handle] = entry
			runs[runName(entry.Inquiry, entry.Run)]++
		case DecodeStarted:
			if runs[runName(entry.Inquiry, entry.Run)] == 0 {
				finding.violate(fmt.Sprintf("%s run %d answers without its own memory", entry.Inquiry, entry.Run))
			}
			runs[runName(entry.Inquiry, entry.Run)]--
		}
	}
	return finding
}

// checkLeaving: no work is asked of a server long after the platform showed it
// leaving.
func checkLeaving(entries []Entry) Finding {
	return checkClosed("no new work for a leaving server", leavingLimit, entries, func(entry Entry) string { return entry.Server }, ServerLeaving, ServerBorn)
}

// checkEvacuated: no work is asked of an evacuated zone's servers long after
// the evacuation was accepted.
func checkEvacuated(entries []Entry) Finding {
	return checkClosed("no new work for an evacuated zone", evacuateLimit, entries, func(entry Entry) string { return entry.District }, Evacuated, RestoreAsked)
}

// checkClosed: no work is asked of a place longer than the limit after it was
// closed, until it is opened again.
func checkClosed(name string, limit time.Duration, entries []Entry, place func(Entry) string, closes, opens EntryKind) Finding {
	finding := Finding{Checker: name, Limit: limit.String()}
	closed := map[string]time.Time{}
	var worst time.Duration
	for _, entry := range entries {
		since, found := closed[place(entry)]
		switch entry.Kind {
		case closes:
			finding.Looked++
			if !found {
				closed[place(entry)] = entry.At
			}
		case opens:
			delete(closed, place(entry))
		case PrefillAsked, DecodeAsked:
			if !found {
				continue
			}
			late := entry.At.Sub(since)
			worst = max(worst, late)
			if late > limit {
				finding.violate(fmt.Sprintf("%s asked %s after %s was closed", entry.Inquiry, late, place(entry)))
			}
		}
	}
	finding.Worst = worst.String()
	return finding
}

// checkInForce: from some moment after an edition was accepted every courier
// that lets in shows it or a newer one.
func checkInForce(entries []Entry) Finding {
	finding := Finding{Checker: "an accepted configuration is in force", Limit: inForceLimit.String()}
	accepted := acceptances(entries)
	var worst time.Duration
	for _, entry := range entries {
		if entry.Kind != EditionSeen {
			continue
		}
		finding.Looked++
		for _, acceptance := range accepted {
			// What was seen may be as old as the moment of asking.
			late := entry.At.Add(-entry.Took).Sub(acceptance.At)
			if acceptance.Edition <= entry.Edition || late <= 0 {
				continue
			}
			worst = max(worst, late)
			if late > inForceLimit {
				finding.violate(fmt.Sprintf("%s shows edition %d, %s after edition %d was accepted", entry.Courier, entry.Edition, late, acceptance.Edition))
			}
		}
	}
	finding.Worst = worst.String()
	return finding
}

func acceptances(entries []Entry) []Entry {
	var accepted []Entry
	for _, entry := range entries {
		if entry.Kind == EditionAccepted {
			accepted = append(accepted, entry)
		}
	}
	return accepted
}

// checkNeverBack: no courier shows an older edition than it showed before.
func checkNeverBack(entries []Entry) Finding {
	finding := Finding{Checker: "configurations never go back"}
	seen := map[string]int{}
	for _, entry := range entries {
		if entry.Kind != EditionSeen {
			continue
		}
		finding.Looked++
		if entry.Edition < seen[entry.Courier] {
			finding.violate(fmt.Sprintf("%s shows edition %d after %d", entry.Courier, entry.Edition, seen[entry.Courier]))
		}
		seen[entry.Courier] = max(seen[entry.Courier], entry.Edition)
	}
	return finding
}

// checkRefusedEditions: an edition that was refused is seen nowhere.
func checkRefusedEditions(entries []Entry) Finding {
	finding := Finding{Checker: "refused configurations take no effect"}
	refused := map[int]bool{}
	for _, entry := range entries {
		if entry.Kind == EditionRefused {
			refused[entry.Edition] = true
			finding.Looked++
		}
	}
	for _, entry := range entries {
		if (entry.Kind == EditionSeen || entry.Kind == EditionRead) && refused[entry.Edition] {
			finding.violate(fmt.Sprintf("%s shows edition %d, which was refused", entry.Courier, entry.Edition))
		}
	}
	return finding
}

// checkReads: a read returns nothing older than what was accepted before it
// was asked.
func checkReads(entries []Entry) Finding {
	finding := Finding{Checker: "reads are never older than what was accepted"}
	accepted := acceptances(entries)
	for _, entry := range entries {
		if entry.Kind != EditionRead {
			continue
		}
		finding.Looked++
		for _, acceptance := range accepted {
			if acceptance.At.Before(entry.At.Add(-entry.Took)) && entry.Edition < acceptance.Edition {
				finding.violate(fmt.Sprintf("read edition %d, and %d was accepted %s earlier", entry.Edition, acceptance.Edition, entry.At.Sub(acceptance.At)))
			}
		}
	}
	return finding
}

// checkTries: extra dispatches, counted where they arrive, stay under a fifth
// of the first ones.
func checkTries(entries []Entry) Finding {
	finding := Finding{Checker: "extra tries stay under a fifth", Limit: strconv.FormatFloat(triesShare, 'f', 2, 64)}
	asked := map[string]int{}
	first, extra := 0, 0
	for _, entry := range entries {
		if entry.Kind != PrefillAsked && entry.Kind != DecodeAsked {
			continue
		}
		key := string(entry.Kind) + entry.Inquiry
		asked[key]++
		switch {
		case asked[key] > 1:
			extra++
		case entry.Kind == PrefillAsked:
			first++
		}
	}
	finding.Looked = first
	share := float64(extra) / float64(max(first, 1))
	finding.Worst = strconv.FormatFloat(share, 'f', 3, 64)
	// A retried run asks twice, at a prefill and at a decode server: both count.
	if share > triesShare {
		finding.violate(fmt.Sprintf("%d extra tries for %d first ones", extra, first))
	}
	return finding
}

// checkCold: in its first moments a server is asked for little at once.
func checkCold(entries []Entry) Finding {
	finding := Finding{Checker: "a cold server is not flooded", Limit: strconv.Itoa(coldDepth)}
	worst := 0
	for _, entry := range entries {
		if (entry.Kind != PrefillAsked && entry.Kind != DecodeAsked) || entry.Age > coldSpan {
			continue
		}
		finding.Looked++
		worst = max(worst, entry.Depth)
		if entry.Depth > coldDepth {
			finding.violate(fmt.Sprintf("%s had %d at once, %s old", entry.Server, entry.Depth, entry.Age))
		}
	}
	finding.Worst = strconv.Itoa(worst)
	return finding
}

// checkCommands: two nodes never command one server within the turn limit, and
// fences never go back.
func checkCommands(entries []Entry) Finding {
	finding := Finding{Checker: "one node at a time commands a server", Limit: turnLimit.String()}
	last := map[string]Entry{}
	var shortest time.Duration
	for _, entry := range entries {
		if entry.Kind != Commanded && entry.Kind != CommandRefused {
			continue
		}
		finding.Looked++
		earlier, found := last[entry.Server]
		last[entry.Server] = entry
		if entry.Kind == CommandRefused {
			finding.violate(fmt.Sprintf("%s was commanded by %s under the old fence %d", entry.Server, entry.Holder, entry.Fence))
		}
		if !found || earlier.Holder == entry.Holder {
			continue
		}
		between := entry.At.Sub(earlier.At)
		if shortest == 0 || between < shortest {
			shortest = between
		}
		if between < turnLimit {
			finding.violate(fmt.Sprintf("%s was commanded by %s and %s later by %s", entry.Server, earlier.Holder, between, entry.Holder))
		}
	}
	if shortest > 0 {
		finding.Worst = shortest.String()
	}
	return finding
}

// checkFormats: orders of the second format, which servers tell by their
// cause, come only when every member that is known supports it.
func checkFormats(entries []Entry) Finding {
	finding := Finding{Checker: "a new format waits for every known member"}
	lacking := map[string]bool{}
	// Once every member had it for a while the flag may have been enabled: an
	// older node that comes later is restricted, and nothing goes back.
	var since time.Time
	open := false
	for _, entry := range entries {
		if len(lacking) == 0 && !since.IsZero() && entry.At.Sub(since) > time.Second {
			open = true
		}
		switch entry.Kind {
		case MemberKnown:
			lacking[entry.Holder] = true
			for _, flag := range entry.Flags {
				if flag == "order_patience" {
					delete(lacking, entry.Holder)
				}
			}
			if since = entry.At; len(lacking) > 0 {
				since = time.Time{}
			}
		case Commanded:
			finding.Looked++
			if entry.Cause != "" && len(lacking) > 0 && !open {
				finding.violate(fmt.Sprintf("%s was commanded in the new format while %d members lack it", entry.Server, len(lacking)))
			}
		}
	}
	return finding
}

// checkReturn: after a closing fault, complete replies come again in time, for
// inquiries that were sent after the fault.
func checkReturn(entries []Entry) Finding {
	finding := Finding{Checker: "service returns after a closing fault", Limit: returnLimit.String()}
	var worst time.Duration
	for position, entry := range entries {
		if entry.Kind != ClosingFault {
			continue
		}
		finding.Looked++
		returned := time.Duration(-1)
		for _, later := range entries[position:] {
			if later.Kind == Replied && later.Final == "complete" && later.At.Add(-later.Took).After(entry.At) {
				returned = later.At.Sub(entry.At)
				break
			}
		}
		worst = max(worst, returned)
		if returned < 0 || returned > returnLimit {
			finding.violate(fmt.Sprintf("after %s: %s", entry.Cause, returned))
		}
	}
	finding.Worst = worst.String()
	return finding
}
