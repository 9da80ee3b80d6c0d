package fleet

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Verdict is what all checkers say of an event log, with how the replies ended.
type Verdict struct {
	Findings []Finding      `json:"findings"`
	Replies  map[string]int `json:"replies"`
	Share    float64        `json:"complete_share"`
	Median   time.Duration  `json:"median"`
	Tail     time.Duration  `json:"ninety_fifth"`
	// Gap is the longest time without a complete reply, under traffic.
	Gap time.Duration `json:"longest_gap"`
}

// Judge runs every checker over the entries.
func Judge(entries []Entry) Verdict {
	verdict := Verdict{Replies: map[string]int{}}
	for _, check := range checkers {
		verdict.Findings = append(verdict.Findings, check(entries))
	}
	var lengths []time.Duration
	total := 0
	var last time.Time
	for _, entry := range entries {
		if entry.Kind != Replied {
			continue
		}
		// What the clients brought about themselves says nothing of the fleet: they
		// left, or sent an id again that was taken.
		own := entry.Cause == CallerLeft || (entry.Arrival > 0 && entry.Cause == string(failure.Duplicate))
		if !own {
			total++
		}
		final := entry.Final
		if final == "" {
			final = "no final line"
		}
		if final != "complete" {
			final += " (" + entry.Cause + ")"
			if entry.Final == "" {
				final = "no final line"
			}
		} else {
			lengths = append(lengths, entry.Took)
			if !last.IsZero() {
				verdict.Gap = max(verdict.Gap, entry.At.Sub(last))
			}
			last = entry.At
		}
		verdict.Replies[final]++
	}
	verdict.Share = float64(len(lengths)) / float64(max(total, 1))
	sort.Slice(lengths, func(left, right int) bool { return lengths[left] < lengths[right] })
	if len(lengths) > 0 {
		verdict.Median, verdict.Tail = lengths[len(lengths)/2], lengths[len(lengths)*95/100]
	}
	return verdict
}

// Violations counts the broken rules of all checkers.
func (v Verdict) Violations() int {
	count := 0
	for _, finding := range v.Findings {
		count += finding.Violations
	}
	return count
}

// Finding is what one checker says.
func (v Verdict) Finding(checker string) Finding {
	for _, finding := range v.Findings {
		if finding.Checker == checker {
			return finding
		}
	}
	return Finding{}
}

// String writes the verdict for people.
func (v Verdict) String() string {
	var text strings.Builder
	for _, finding := range v.Findings {
		sign := "held  "
		if finding.Violations > 0 {
			sign = "BROKEN"
		}
		_, _ = fmt.Fprintf(&text, "%s  %-52s looked at %6d", sign, finding.Checker, finding.Looked)
		if finding.Worst != "" {
			_, _ = fmt.Fprintf(&text, "  worst %s (limit %s)", finding.Worst, finding.Limit)
		}
		_, _ = fmt.Fprintln(&text)
		for _, example := range finding.Examples {
			_, _ = fmt.Fprintf(&text, "        %s\n", example)
		}
	}
	var finals []string
	for final := range v.Replies {
		finals = append(finals, final)
	}
	sort.Strings(finals)
	for _, final := range finals {
		_, _ = fmt.Fprintf(&text, "replies  %-40s %6d\n", final, v.Replies[final])
	}
	_, _ = fmt.Fprintf(&text, "complete %.1f%%, median %s, 95th of 100 %s, longest without one %s, violations %d\n",
		100*v.Share, v.Median.Round(time.Millisecond), v.Tail.Round(time.Millisecond), v.Gap.Round(time.Millisecond),
		v.Violations())
	return text.String()
}

// Finding is what one checker says: how often it was broken, examples, and the
// worst value beside its limit where it has one.
type Finding struct {
	Checker    string   `json:"checker"`
	Looked     int      `json:"looked_at"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	Worst      string   `json:"worst,omitempty"`
	Limit      string   `json:"limit,omitempty"`
	// Seconds is the worst value as a number, where it is a length of time.
	Seconds float64 `json:"worst_seconds,omitempty"`
}

// Violate counts one broken rule, and keeps some as examples.
func (f *Finding) Violate(example string) {
	f.Violations++
	if len(f.Examples) < 5 {
		f.Examples = append(f.Examples, example)
	}
}

// setWorst records the worst length of time.
func (f *Finding) setWorst(worst time.Duration) {
	f.Worst, f.Seconds = worst.String(), worst.Seconds()
}
