package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Figures summarize how a day's requests ended and what they cost.
type Figures struct {
	// Requests is the number of requests that should be served.
	Requests int `json:"owed"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Causes counts the causes of the requests that were not served.
	Causes map[string]int `json:"causes"`
	// Classes holds the counts of each class of requests.
	Classes map[string]ClassFigures `json:"classes"`
	// Median and Percentile95 are percentiles of the time to the first event.
	Median       time.Duration `json:"median"`
	Percentile95 time.Duration `json:"ninety_fifth"`
	// RefusedAfter is the 95th percentile of the time to a refusal: a request that will not be
	// served should be refused at once.
	RefusedAfter time.Duration `json:"refused_after"`

	// Probes counts probes and reports, Lists reads of the list, Orders orders, Transfers KV cache
	// transfers, and Retries retries.
	Probes, Lists, Orders int
	Transfers             int `json:"Moves"`
	Retries               int `json:"Repeats"`
	// UnusedPrefillTokens counts the prefilled tokens whose handles were freed or expired without use.
	UnusedPrefillTokens int      `json:"ReadForNothing"`
	Seconds             []Second `json:"seconds"`
}

// ClassFigures are the counts of one class of requests.
type ClassFigures struct {
	Requests     int `json:"Owed"`
	InTime, Late int
}

// Second counts how the requests that began in one second of the day ended.
type Second struct {
	InTime, Late, Refused, Failed int
	Median                        time.Duration
}

// figuresOf computes the figures of a day.
func figuresOf(r *record) Figures {
	figures := Figures{Causes: map[string]int{}, Classes: map[string]ClassFigures{}}
	var began time.Time
	var firstEventTimes, refusalTimes []time.Duration
	seconds := map[int][]time.Duration{}
	for _, event := range r.events {
		switch event.Kind {
		case ServerProbed:
			figures.Probes++
		case ListRead:
			figures.Lists++
		case OrderReceived:
			figures.Orders++
		case HandleTaken:
			figures.Transfers++
		case HandleExpired, HandleFreed:
			figures.UnusedPrefillTokens += event.Tokens
		case AttemptSent:
			if began.IsZero() && !event.Probe {
				began = event.At
			}
		}
	}
	for _, seen := range r.attemptOrder {
		if seen.finished && guaranteesNotRun(seen.ended.Status) {
			refusalTimes = append(refusalTimes, seen.ended.At.Sub(seen.sent.At))
		}
		figures.Retries += max(0, len(seen.countedArrivals())-1)
		if seen.sent.Probe || seen.sent.Number > 0 &&
			len(r.requests[seen.sent.Request]) > 0 && r.requests[seen.sent.Request][0] != seen {
			continue
		}
		attempts := r.requests[seen.sent.Request]
		last := attempts[len(attempts)-1]
		if !last.finished || last.ended.Cause == causeClientLeft {
			continue
		}
		second := int(seen.sent.Began.Sub(began) / time.Second)
		for len(figures.Seconds) <= second {
			figures.Seconds = append(figures.Seconds, Second{})
		}
		figures.Requests++
		class := figures.Classes[seen.sent.Class]
		class.Requests++
		var first time.Time
		longestGap, allowedGap := 0.0, r.site.classOf(seen.sent.Class).TokenGap.Seconds()
		for _, attempt := range attempts {
			longestGap = max(longestGap, attempt.ended.LongestGap)
			if first.IsZero() {
				first = attempt.ended.FirstEventAt
			}
		}
		firstEventTime := first.Sub(seen.sent.Began)
		switch {
		case r.served(seen.sent.Request) && firstEventTime <= seen.sent.Target && longestGap <= allowedGap && len(attempts) == 1:
			figures.InTime++
			class.InTime++
			figures.Seconds[second].InTime++
		case r.served(seen.sent.Request):
			figures.Late++
			class.Late++
			figures.Seconds[second].Late++
		case guaranteesNotRun(last.ended.Status):
			figures.Refused++
			figures.Seconds[second].Refused++
			figures.Causes[fmt.Sprintf("refused %d", last.ended.Status)]++
		default:
			figures.Failed++
			figures.Seconds[second].Failed++
			figures.Causes[fmt.Sprintf("failed %d %s", last.ended.Status, causeWithoutAddresses(last.ended.Cause))]++
		}
		if r.served(seen.sent.Request) {
			firstEventTimes = append(firstEventTimes, firstEventTime)
			seconds[second] = append(seconds[second], firstEventTime)
		}
		figures.Classes[seen.sent.Class] = class
	}
	slices.Sort(firstEventTimes)
	if len(firstEventTimes) > 0 {
		figures.Median, figures.Percentile95 = firstEventTimes[len(firstEventTimes)/2], firstEventTimes[len(firstEventTimes)*95/100]
	}
	if slices.Sort(refusalTimes); len(refusalTimes) > 0 {
		figures.RefusedAfter = refusalTimes[len(refusalTimes)*95/100]
	}
	for second, times := range seconds {
		slices.Sort(times)
		figures.Seconds[second].Median = times[len(times)/2]
	}
	return figures
}

// causeWithoutAddresses shortens an error text to its last part, which contains no addresses.
func causeWithoutAddresses(cause string) string {
	parts := strings.Split(cause, ": ")
	return parts[len(parts)-1]
}

// Served returns the share of the requests that were served, in time or late.
func (f Figures) Served() float64 {
	return float64(f.InTime+f.Late) / float64(max(1, f.Requests))
}

// String formats the figures for people.
func (f Figures) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text,
		"%d requests: in time %d, late %d, refused %d, failed %d; served %.3f; "+
			"first event after %s, 95th percentile %s; 95th percentile of refusals %s\n",
		f.Requests, f.InTime, f.Late, f.Refused, f.Failed,
		f.Served(), f.Median.Round(time.Millisecond), f.Percentile95.Round(time.Millisecond), f.RefusedAfter.Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(f.Classes)) {
		class := f.Classes[name]
		_, _ = fmt.Fprintf(&text, "  %-12s %d requests, in time %d, late %d\n", name, class.Requests, class.InTime, class.Late)
	}
	for _, cause := range slices.Sorted(maps.Keys(f.Causes)) {
		_, _ = fmt.Fprintf(&text, "  %-40s %d\n", cause, f.Causes[cause])
	}
	_, _ = fmt.Fprintf(&text,
		"probes and reports %d, reads of the list %d, orders %d, KV cache transfers %d, retries %d, tokens prefilled without use %d\n",
		f.Probes, f.Lists, f.Orders, f.Transfers, f.Retries, f.UnusedPrefillTokens)
	return text.String()
}
