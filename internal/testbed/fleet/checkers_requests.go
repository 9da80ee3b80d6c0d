package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkSecondRun checks that a request that is not idempotent is started at most once by a
// prefill server and at most once by a decode server.
func checkSecondRun(entries []Entry) Finding {
	finding := Finding{Checker: "no second run"}
	nonIdempotent := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Sent && !entry.Idempotent {
			nonIdempotent[entry.Request] = true
		}
	}
	started := map[string]string{}
	for _, entry := range entries {
		if (entry.Kind != PrefillStarted && entry.Kind != DecodeStarted) || !nonIdempotent[entry.Request] {
			continue
		}
		finding.Checked++
		key := string(entry.Kind) + entry.Request
		if earlier, found := started[key]; found {
			finding.Violate(fmt.Sprintf("%s %s at %s and again at %s", entry.Request, entry.Kind, earlier, entry.Server))
		}
		started[key] = entry.Server
	}
	return finding
}

// checkRefusedNeverRuns checks that no server starts a request if all its arrivals so far
// were refused, even if a refusal came only after the start. A refusal promises the client
// that this arrival never runs; the same id sent again is another arrival. A refusal as a
// duplicate does not count as a refusal here.
func checkRefusedNeverRuns(entries []Entry) Finding {
	finding := Finding{Checker: "refused means it never runs"}
	refused := map[string]bool{}
	for _, entry := range entries {
		if entry.Kind == Replied && entry.Final == "refused" && entry.Cause != "duplicate_inquiry" {
			refused[entry.arrivalName()] = true
			finding.Checked++
		}
	}
	// arrived holds the requests with at least one arrival so far; accepted holds those
	// with at least one arrival that was not refused.
	accepted, arrived := map[string]bool{}, map[string]bool{}
	for _, entry := range entries {
		switch entry.Kind {
		case Sent, Replied:
			arrived[entry.Request] = true
			accepted[entry.Request] = accepted[entry.Request] || !refused[entry.arrivalName()]
		case PrefillStarted, DecodeStarted:
			if arrived[entry.Request] && !accepted[entry.Request] {
				finding.Violate(fmt.Sprintf("%s was refused at each arrival and %s at %s", entry.Request, entry.Kind,
					entry.Server))
			}
		}
	}
	return finding
}

// checkReplies checks that the chunks of a reply belong to the reply's own request, are in order
// and come from a single run, and that a complete reply has all chunks.
func checkReplies(entries []Entry) Finding {
	finding := Finding{Checker: "replies are whole and the origin's own"}
	for _, entry := range entries {
		if entry.Kind != Replied {
			continue
		}
		finding.Checked++
		run := ""
		for position, line := range entry.Texts {
			number, text, _ := strings.Cut(line, "|")
			parts := strings.Split(text, "/")
			if len(parts) != 3 || parts[0] != entry.Request || number != strconv.Itoa(position+1) || parts[2] != number {
				finding.Violate(fmt.Sprintf("%s: chunk %d reads %s", entry.Request, position+1, line))
				break
			}
			if run != "" && run != parts[1] {
				finding.Violate(fmt.Sprintf("%s: chunks of runs %s and %s", entry.Request, run, parts[1]))
				break
			}
			run = parts[1]
		}
		if entry.Final == "complete" && (len(entry.Texts) != entry.Asked || entry.Chunks != entry.Asked) {
			finding.Violate(fmt.Sprintf("%s: complete with %d chunks of %d", entry.Request, len(entry.Texts), entry.Asked))
		}
	}
	return finding
}

// checkMemory checks that the prompt memory of each handle is taken over at most once, and
// that a decode starts only with the memory of its own request and run.
func checkMemory(entries []Entry) Finding {
	finding := Finding{Checker: "prompt memory is taken once and by its own request"}
	taken := map[string]Entry{}
	unusedMemories := map[string]int{}
	for _, entry := range entries {
		run := entry.Request + "#" + strconv.Itoa(entry.Run)
		switch entry.Kind {
		case MemoryTaken:
			finding.Checked++
			if earlier, found := taken[entry.Handle]; found {
				finding.Violate(fmt.Sprintf("handle %s was taken for %s and for %s", entry.Handle, earlier.Request,
					entry.Request))
			}
			taken[entry.Handle] = entry
			unusedMemories[run]++
		case DecodeStarted:
			if unusedMemories[run] == 0 {
				finding.Violate(fmt.Sprintf("%s run %d decodes without its own memory", entry.Request, entry.Run))
			}
			unusedMemories[run]--
		}
	}
	return finding
}

// The limits on extra dispatches (retries) within a sliding window.
const (
	// retryWindow is as long as the fleet takes to recover from a loss, so that a window shows a
	// burst of retries during the recovery and still has enough first dispatches for a meaningful
	// share.
	retryWindow = 10 * time.Second
	// retryReserve is the number of extra dispatches per router that are allowed besides a fifth of
	// the first dispatches. A router that made no retries for a while may still make two, and a
	// retry after a lost handover of the prompt's memory needs two dispatches: one to a prefill
	// server and one to a decode server.
	retryReserve = 2
)

// dispatch is the arrival of a request at a prefill or decode server. It is extra (a retry)
// if the request's dispatches to servers of this role, this one included, outnumber the times
// that the client sent the request.
type dispatch struct {
	at    time.Time
	extra bool
}

// dispatchCounts holds the numbers of first and of extra dispatches.
type dispatchCounts struct{ first, extra int }

// add adds a number of extra or of first dispatches; the number may be negative.
func (a *dispatchCounts) add(extra bool, count int) {
	if extra {
		a.extra += count
	} else {
		a.first += count
	}
}

// dispatchCounter counts the first and the extra dispatches of a day.
type dispatchCounter struct {
	// asked counts the dispatches of each request and kind; sent counts how often the client
	// sent each request.
	asked, sent map[string]int
	routers     map[string]bool
	// recent holds the dispatches within the window that ends with the last dispatch.
	recent        []dispatch
	total, window dispatchCounts
}

// count adds an entry to the counts: a first dispatch to a prefill server, or an extra one to
// any server. It returns false for any other entry.
func (c *dispatchCounter) count(entry Entry) bool {
	switch entry.Kind {
	case Sent:
		c.sent[entry.Request]++
		c.routers[entry.Router] = true
		return false
	case PrefillAsked, DecodeAsked:
	default:
		return false
	}
	key := string(entry.Kind) + entry.Request
	c.asked[key]++
	extra := c.asked[key] > max(1, c.sent[entry.Request])
	if !extra && entry.Kind == DecodeAsked {
		return false
	}
	c.recent = append(c.recent, dispatch{entry.At, extra})
	c.total.add(extra, 1)
	c.window.add(extra, 1)
	for entry.At.Sub(c.recent[0].at) > retryWindow {
		c.window.add(c.recent[0].extra, -1)
		c.recent = c.recent[1:]
	}
	return true
}

// reserve returns how many extra dispatches are allowed besides a fifth of the first dispatches.
func (c *dispatchCounter) reserve() int { return retryReserve * len(c.routers) }

// checkRetries checks that the extra dispatches, counted where they arrive, are at most a fifth of
// the first dispatches plus the reserve, both over the whole day and in each window. An id that
// the client sends again gets another first dispatch.
func checkRetries(entries []Entry) Finding {
	finding := Finding{Checker: "retries stay under a fifth", Limit: strconv.FormatFloat(retryShare, 'f', 2, 64)}
	counter := &dispatchCounter{asked: map[string]int{}, sent: map[string]int{}, routers: map[string]bool{}}
	worst := 0.0
	for _, entry := range entries {
		if !counter.count(entry) {
			continue
		}
		window, reserve := counter.window, counter.reserve()
		if window.extra > reserve {
			worst = max(worst, float64(window.extra-reserve)/float64(max(window.first, 1)))
		}
		// A retried run is dispatched twice, to a prefill and to a decode server; both count.
		if float64(window.extra) > retryShare*float64(window.first)+float64(reserve) {
			finding.Violate(fmt.Sprintf("%d extra dispatches for %d first ones within %s", window.extra, window.first,
				retryWindow))
		}
	}
	total := counter.total
	finding.Checked = total.first
	share := float64(total.extra) / float64(max(total.first, 1))
	finding.Worst = strconv.FormatFloat(share, 'f', 3, 64) + ", in a window " + strconv.FormatFloat(worst, 'f', 3, 64)
	if float64(total.extra) > retryShare*float64(total.first)+float64(counter.reserve()) {
		finding.Violate(fmt.Sprintf("%d extra dispatches for %d first ones", total.extra, total.first))
	}
	return finding
}

// The thresholds of checkReturn. A class of requests needs a complete reply only if at least
// returnSent requests of the class were sent later than returnFrom after the closing fault and
// earlier than one second before returnLimit. Earlier requests don't count, because requests are
// refused while the fault lasts.
const (
	returnSent = 5
	returnFrom = 3 * time.Second
)

// checkReturn checks that service returns within returnLimit after a closing fault. Among the
// requests sent after the fault, at least one of each class must get a complete reply; a class
// is a service, a zone, and whether the requests are idempotent. A change of the configuration
// must be accepted.
func checkReturn(entries []Entry) Finding {
	finding := Finding{Checker: "service returns after a closing fault", Limit: returnLimit.String()}
	var worst time.Duration
	for position, entry := range entries {
		if entry.Kind != ClosingFault {
			continue
		}
		finding.Checked++
		firstSuccess := map[string]time.Duration{}
		sentAfter, sent := map[string]bool{}, map[string]int{}
		revisions := map[int]bool{}
		for _, later := range entries[position:] {
			class := fmt.Sprintf("%s in %s, idempotent %v", later.Service, later.Zone, later.Idempotent)
			since := later.At.Sub(entry.At)
			switch later.Kind {
			case Sent:
				sentAfter[later.arrivalName()] = true
				if since > returnFrom && since < returnLimit-time.Second {
					sent[class]++
				}
			case Replied:
				fresh := sentAfter[later.arrivalName()] || later.At.Add(-later.Took).After(entry.At)
				if later.Final != "complete" || !fresh {
					continue
				}
				for _, name := range []string{"any reply", class} {
					if _, found := firstSuccess[name]; !found {
						firstSuccess[name] = since
					}
				}
			case RevisionAsked:
				revisions[later.Revision] = true
			case RevisionAccepted:
				if _, found := firstSuccess["a change"]; !found && revisions[later.Revision] {
					firstSuccess["a change"] = since
				}
			}
		}
		required := []string{"any reply", "a change"}
		for class, count := range sent {
			if count >= returnSent {
				required = append(required, class)
			}
		}
		slices.Sort(required)
		for _, name := range required {
			since, found := firstSuccess[name]
			worst = max(worst, since)
			if !found || since > returnLimit {
				finding.Violate(fmt.Sprintf("after the closing fault %s: %s: succeeded again: %v, after %s", entry.Cause,
					name, found, since))
			}
		}
	}
	finding.setWorst(worst)
	return finding
}

// queueTimeLimit is how long a request that never ran may wait for its refusal. A router waits
// two seconds for a lease and three seconds for a claim, and the last attempt at each adds its
// own duration.
const queueTimeLimit = 6 * time.Second

// checkQueueTime checks that a request that is given up before any work for it has started is
// refused within queueTimeLimit, long before its own time limit.
func checkQueueTime(entries []Entry) Finding {
	finding := Finding{Checker: "an abandoned request is answered at once", Limit: queueTimeLimit.String()}
	var worst time.Duration
	var wakeups []Entry
	for _, entry := range entries {
		if entry.Kind == NodeWoken {
			wakeups = append(wakeups, entry)
		}
	}
	for _, entry := range entries {
		if entry.Kind != Replied || entry.Final != "refused" {
			continue
		}
		finding.Checked++
		took := entry.Took
		// Time during which any node was frozen doesn't count, because a frozen node can't answer.
		for _, wakeup := range wakeups {
			from, until := wakeup.At.Add(-wakeup.Took), wakeup.At
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
