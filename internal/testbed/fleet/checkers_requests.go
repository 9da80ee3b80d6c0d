package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkSecondRun: a request that is not idempotent is started once at most,
// by one prefill and one decode server.
func checkSecondRun(entries []Entry) Finding {
	finding := Finding{Checker: "no second run"}
	once := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Sent && !entry.Idempotent {
			once[entry.Request] = true
		}
	}
	started := map[string]string{}
	for _, entry := range entries {
		if (entry.Kind != PrefillStarted && entry.Kind != DecodeStarted) || !once[entry.Request] {
			continue
		}
		finding.Looked++
		key := string(entry.Kind) + entry.Request
		if earlier, found := started[key]; found {
			finding.Violate(fmt.Sprintf("%s %s at %s and again at %s", entry.Request, entry.Kind, earlier, entry.Server))
		}
		started[key] = entry.Server
	}
	return finding
}

// checkRefusedNeverRuns: whatever starts belongs to an arrival whose client was
// not told that it never would, before or after that word. The same id sent
// again is another arrival.
func checkRefusedNeverRuns(entries []Entry) Finding {
	finding := Finding{Checker: "refused means it never runs"}
	refused := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Replied && entry.Final == "refused" && entry.Cause != "duplicate_inquiry" {
			refused[entry.arrivalName()] = true
			finding.Looked++
		}
	}
	// open are the requests with an arrival so far that was not refused;
	// came those that arrived at all.
	open, came := map[string]bool{}, map[string]bool{}
	for _, entry := range entries {
		switch entry.Kind {
		case Sent, Replied:
			came[entry.Request] = true
			open[entry.Request] = open[entry.Request] || !refused[entry.arrivalName()]
		case PrefillStarted, DecodeStarted:
			if came[entry.Request] && !open[entry.Request] {
				finding.Violate(fmt.Sprintf("%s was refused at each arrival and %s at %s", entry.Request, entry.Kind,
					entry.Server))
			}
		}
	}
	return finding
}

// checkReplies: chunks are the origin's own, in order, from one run; a
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
			if len(parts) != 3 || parts[0] != entry.Request || number != strconv.Itoa(position+1) || parts[2] != number {
				finding.Violate(fmt.Sprintf("%s: piece %d reads %s", entry.Request, position+1, line))
				break
			}
			if run != "" && run != parts[1] {
				finding.Violate(fmt.Sprintf("%s: pieces of runs %s and %s", entry.Request, run, parts[1]))
				break
			}
			run = parts[1]
		}
		if entry.Final == "complete" && (len(entry.Texts) != entry.Asked || entry.Chunks != entry.Asked) {
			finding.Violate(fmt.Sprintf("%s: complete with %d pieces of %d", entry.Request, len(entry.Texts), entry.Asked))
		}
	}
	return finding
}

// checkMemory: a handle is taken up once, and a decode starts only on memory
// of its own request and run.
func checkMemory(entries []Entry) Finding {
	finding := Finding{Checker: "prompt memory is taken once and by its own inquiry"}
	taken := map[string]Entry{}
	runs := map[string]int{}
	for _, entry := range entries {
		run := entry.Request + "#" + strconv.Itoa(entry.Run)
		switch entry.Kind {
		case MemoryTaken:
			finding.Looked++
			if earlier, found := taken[entry.Handle]; found {
				finding.Violate(fmt.Sprintf("handle %s taken for %s and for %s", entry.Handle, earlier.Request,
					entry.Request))
			}
			taken[entry.Handle] = entry
			runs[run]++
		case DecodeStarted:
			if runs[run] == 0 {
				finding.Violate(fmt.Sprintf("%s run %d answers without its own memory", entry.Request, entry.Run))
			}
			runs[run]--
		}
	}
	return finding
}

// The window in which extra tries are judged, and what may stand in it beside a
// fifth: a router that retried nothing for a while has saved two tries, which a
// lost hand-over costs. Ten seconds is as long as the fleet takes to get over a
// loss: a burst of retries during one would show, and there are enough first
// dispatches in it for a share to mean something.
const (
	attemptsWindow = 10 * time.Second
	attemptsSaved  = 2
)

// attempt is one dispatch: the first of its request, or an extra one.
type attempt struct {
	at    time.Time
	extra bool
}

// attemptCounts are first and extra dispatches.
type attemptCounts struct{ first, extra int }

func (a *attemptCounts) add(extra bool, count int) {
	if extra {
		a.extra += count
	} else {
		a.first += count
	}
}

// attemptsLog sorts the dispatches of a day into first and extra ones.
type attemptsLog struct {
	asked, sent map[string]int
	routers     map[string]bool
	// recent are the dispatches of the window that ends with the last one.
	recent        []attempt
	total, window attemptCounts
}

// note takes an entry; it returns false for one that is no dispatch that counts.
func (l *attemptsLog) note(entry Entry) bool {
	switch entry.Kind {
	case Sent:
		l.sent[entry.Request]++
		l.routers[entry.Router] = true
		return false
	case PrefillAsked, DecodeAsked:
	default:
		return false
	}
	key := string(entry.Kind) + entry.Request
	l.asked[key]++
	extra := l.asked[key] > max(1, l.sent[entry.Request])
	if !extra && entry.Kind == DecodeAsked {
		return false
	}
	l.recent = append(l.recent, attempt{entry.At, extra})
	l.total.add(extra, 1)
	l.window.add(extra, 1)
	for entry.At.Sub(l.recent[0].at) > attemptsWindow {
		l.window.add(l.recent[0].extra, -1)
		l.recent = l.recent[1:]
	}
	return true
}

// saved is how many extra tries may stand beside a fifth.
func (l *attemptsLog) saved() int { return attemptsSaved * len(l.routers) }

// checkAttempts: extra dispatches, counted where they arrive, stay under a fifth
// of the first ones, in the whole and in each window. An id that its client
// sends again has a first dispatch again.
func checkAttempts(entries []Entry) Finding {
	finding := Finding{Checker: "extra tries stay under a fifth", Limit: strconv.FormatFloat(attemptsShare, 'f', 2, 64)}
	log := &attemptsLog{asked: map[string]int{}, sent: map[string]int{}, routers: map[string]bool{}}
	worst := 0.0
	for _, entry := range entries {
		if !log.note(entry) {
			continue
		}
		window, saved := log.window, log.saved()
		if window.extra > saved {
			worst = max(worst, float64(window.extra-saved)/float64(max(window.first, 1)))
		}
		// A retried run asks twice, at a prefill and at a decode server: both count.
		if float64(window.extra) > attemptsShare*float64(window.first)+float64(saved) {
			finding.Violate(fmt.Sprintf("%d extra tries for %d first ones within %s", window.extra, window.first, attemptsWindow))
		}
	}
	total := log.total
	finding.Looked = total.first
	share := float64(total.extra) / float64(max(total.first, 1))
	finding.Worst = strconv.FormatFloat(share, 'f', 3, 64) + ", in a window " + strconv.FormatFloat(worst, 'f', 3, 64)
	if float64(total.extra) > attemptsShare*float64(total.first)+float64(log.saved()) {
		finding.Violate(fmt.Sprintf("%d extra tries for %d first ones", total.extra, total.first))
	}
	return finding
}

// returnSent is how many requests of a sort must have been sent after a closing
// fault, later than returnFrom, for that sort to be missed: the first of them are
// refused while the fault lasts.
const (
	returnSent = 5
	returnFrom = 3 * time.Second
)

// checkReturn: after a closing fault there are in time, for requests sent after
// it, complete replies of each service, repeatable and not, at each zone
// whose clients go on asking, and an accepted change.
func checkReturn(entries []Entry) Finding {
	finding := Finding{Checker: "service returns after a closing fault", Limit: returnLimit.String()}
	var worst time.Duration
	for position, entry := range entries {
		if entry.Kind != ClosingFault {
			continue
		}
		finding.Looked++
		back := map[string]time.Duration{}
		asked, sent := map[string]bool{}, map[string]int{}
		revisions := map[int]bool{}
		for _, later := range entries[position:] {
			sort := fmt.Sprintf("%s at %s, repeatable %v", later.Service, later.Zone, later.Idempotent)
			since := later.At.Sub(entry.At)
			switch later.Kind {
			case Sent:
				asked[later.arrivalName()] = true
				if since > returnFrom && since < returnLimit-time.Second {
					sent[sort]++
				}
			case Replied:
				fresh := asked[later.arrivalName()] || later.At.Add(-later.Took).After(entry.At)
				if later.Final != "complete" || !fresh {
					continue
				}
				for _, name := range []string{"any reply", sort} {
					if _, found := back[name]; !found {
						back[name] = since
					}
				}
			case RevisionAsked:
				revisions[later.Revision] = true
			case RevisionAccepted:
				if _, found := back["a change"]; !found && revisions[later.Revision] {
					back["a change"] = since
				}
			}
		}
		wanted := []string{"any reply", "a change"}
		for sort, count := range sent {
			if count >= returnSent {
				wanted = append(wanted, sort)
			}
		}
		slices.Sort(wanted)
		for _, name := range wanted {
			since, found := back[name]
			worst = max(worst, since)
			if !found || since > returnLimit {
				finding.Violate(fmt.Sprintf("after %s: %s came back %v, after %s", entry.Cause, name, found, since))
			}
		}
	}
	finding.setWorst(worst)
	return finding
}

// queueTimeLimit is how long a request that never ran may wait for its word: two
// seconds for a lease and three for a claim, and what their last tries take.
const queueTimeLimit = 6 * time.Second

// checkQueueTime: a request that is given up before anything was begun for it has
// its final word at once, long before its limit.
func checkQueueTime(entries []Entry) Finding {
	finding := Finding{Checker: "a given-up inquiry is answered at once", Limit: queueTimeLimit.String()}
	var worst time.Duration
	var woken []Entry
	for _, entry := range entries {
		if entry.Kind == NodeWoken {
			woken = append(woken, entry)
		}
	}
	for _, entry := range entries {
		if entry.Kind != Replied || entry.Final != "refused" {
			continue
		}
		finding.Looked++
		took := entry.Took
		// A frozen node can't say anything.
		for _, sleeper := range woken {
			from, until := sleeper.At.Add(-sleeper.Took), sleeper.At
			if began := entry.At.Add(-entry.Took); from.Before(began) {
				from = began
			}
			if until.After(entry.At) {
				until = entry.At
			}
			took -= max(0, until.Sub(from))
		}
		worst = max(worst, took)
		if took > queueTimeLimit {
			finding.Violate(fmt.Sprintf("%s was refused (%s) after %s", entry.Request, entry.Cause, entry.Took))
		}
	}
	finding.setWorst(worst)
	return finding
}
