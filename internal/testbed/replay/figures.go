package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Figures are how a day's requests ended, and what they cost.
type Figures struct {
	Owed    int `json:"owed"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Causes counts how those ended that were not served.
	Causes map[string]int `json:"causes"`
	// Classes are the same by kind of request.
	Classes map[string]ClassFigures `json:"classes"`
	Median  time.Duration           `json:"median"`
	Tail    time.Duration           `json:"ninety_fifth"`
	// Held is how long refusals took, the 95th of 100: what is given up is told at once.
	Held time.Duration `json:"refused_after"`

	Probes, Lists, Orders, Moves, Repeats int
	// ReadForNothing are the tokens under handles that nobody took.
	ReadForNothing int
	Seconds        []Second `json:"seconds"`
}

// ClassFigures are the figures of one kind of request.
type ClassFigures struct{ Owed, InTime, Late int }

// Second is what became of the requests that began in one second of the day.
type Second struct {
	InTime, Late, Refused, Failed int
	Median                        time.Duration
}

// figuresOf counts what became of the requests.
func figuresOf(r *record) Figures {
	figures := Figures{Causes: map[string]int{}, Classes: map[string]ClassFigures{}}
	var began time.Time
	var lengths, held []time.Duration
	seconds := map[int][]time.Duration{}
	for _, event := range r.events {
		switch event.Kind {
		case Probed:
			figures.Probes++
		case ListRead:
			figures.Lists++
		case Ordered:
			figures.Orders++
		case HandleTaken:
			figures.Moves++
		case HandleLost, HandleFreed:
			figures.ReadForNothing += event.Tokens
		case TrySent:
			if began.IsZero() && !event.Probe {
				began = event.At
			}
		}
	}
	for _, seen := range r.order {
		if seen.over && promised(seen.ended.Status) {
			held = append(held, seen.ended.At.Sub(seen.sent.At))
		}
		figures.Repeats += max(0, len(seen.attempts())-1)
		if seen.sent.Probe || seen.sent.Number > 0 && len(r.requests[seen.sent.Request]) > 0 && r.requests[seen.sent.Request][0] != seen {
			continue
		}
		attempts := r.requests[seen.sent.Request]
		last := attempts[len(attempts)-1]
		if !last.over || last.ended.Cause == causeLeft {
			continue
		}
		second := int(seen.sent.Began.Sub(began) / time.Second)
		for len(figures.Seconds) <= second {
			figures.Seconds = append(figures.Seconds, Second{})
		}
		figures.Owed++
		class := figures.Classes[seen.sent.Class]
		class.Owed++
		var first time.Time
		stall, pause := 0.0, r.site.classOf(seen.sent.Class).Pause.Seconds()
		for _, t := range attempts {
			stall = max(stall, t.ended.Stall)
			if first.IsZero() {
				first = t.ended.First
			}
		}
		length := first.Sub(seen.sent.Began)
		switch {
		case r.servedAt(seen.sent.Request) && length <= seen.sent.Aim && stall <= pause && len(attempts) == 1:
			figures.InTime++
			class.InTime++
			figures.Seconds[second].InTime++
		case r.servedAt(seen.sent.Request):
			figures.Late++
			class.Late++
			figures.Seconds[second].Late++
		case promised(last.ended.Status):
			figures.Refused++
			figures.Seconds[second].Refused++
			figures.Causes[fmt.Sprintf("refused %d", last.ended.Status)]++
		default:
			figures.Failed++
			figures.Seconds[second].Failed++
			figures.Causes[fmt.Sprintf("failed %d %s", last.ended.Status, causeWithoutAddresses(last.ended.Cause))]++
		}
		if r.servedAt(seen.sent.Request) {
			lengths = append(lengths, length)
			seconds[second] = append(seconds[second], length)
		}
		figures.Classes[seen.sent.Class] = class
	}
	slices.Sort(lengths)
	if len(lengths) > 0 {
		figures.Median, figures.Tail = lengths[len(lengths)/2], lengths[len(lengths)*95/100]
	}
	if slices.Sort(held); len(held) > 0 {
		figures.Held = held[len(held)*95/100]
	}
	for second, own := range seconds {
		slices.Sort(own)
		figures.Seconds[second].Median = own[len(own)/2]
	}
	return figures
}

// causeWithoutAddresses shortens a failure to what is the same each time.
func causeWithoutAddresses(cause string) string {
	parts := strings.Split(cause, ": ")
	return parts[len(parts)-1]
}

// Served is the share of the requests owed that were served at all.
func (f Figures) Served() float64 {
	return float64(f.InTime+f.Late) / float64(max(1, f.Owed))
}

// String writes the figures for people.
func (f Figures) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text,
		"owed %d: in time %d, late %d, refused %d, failed %d; served %.3f; first event after %s, 95th of 100 %s; refusals within %s\n",
		f.Owed, f.InTime, f.Late, f.Refused, f.Failed,
		f.Served(), f.Median.Round(time.Millisecond), f.Tail.Round(time.Millisecond), f.Held.Round(time.Millisecond))
	for _, name := range slices.Sorted(maps.Keys(f.Classes)) {
		class := f.Classes[name]
		_, _ = fmt.Fprintf(&text, "  %-12s owed %d, in time %d, late %d\n", name, class.Owed, class.InTime, class.Late)
	}
	for _, cause := range slices.Sorted(maps.Keys(f.Causes)) {
		_, _ = fmt.Fprintf(&text, "  %-40s %d\n", cause, f.Causes[cause])
	}
	_, _ = fmt.Fprintf(&text,
		"probes and reports %d, readings of the list %d, orders %d, moves of memory %d, repeats %d, tokens read for nothing %d\n",
		f.Probes, f.Lists, f.Orders, f.Moves, f.Repeats, f.ReadForNothing)
	return text.String()
}
