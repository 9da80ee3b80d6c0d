package fleet

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Verdict holds the findings of all checkers on an event log, and how the replies ended.
type Verdict struct {
	Findings []Finding      `json:"findings"`
	Replies  map[string]int `json:"replies"`
	// Share is the share of complete replies among all replies whose outcome the client did not
	// cause itself.
	Share float64 `json:"complete_share"`
	// Median and Tail are the median and the 95th percentile of the durations of complete replies.
	Median time.Duration `json:"median"`
	Tail   time.Duration `json:"ninety_fifth"`
	// Gap is the longest time between two consecutive complete replies.
	Gap time.Duration `json:"longest_gap"`
}

// CheckEvents runs every checker over the entries.
func CheckEvents(entries []Entry) Verdict {
	verdict := Verdict{Replies: map[string]int{}}
	for _, check := range checkers {
		verdict.Findings = append(verdict.Findings, check(entries))
	}
	var durations []time.Duration
	total := 0
	var last time.Time
	for _, entry := range entries {
		if entry.Kind != Replied {
			continue
		}
		// Outcomes that a client caused itself don't count against the fleet: the client left, or
		// it sent an id again and the repeat was refused as a duplicate.
		causedByClient := entry.Cause == ClientLeft || (entry.Arrival > 0 && entry.Cause == string(failure.Duplicate))
		if !causedByClient {
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
			durations = append(durations, entry.Took)
			if !last.IsZero() {
				verdict.Gap = max(verdict.Gap, entry.At.Sub(last))
			}
			last = entry.At
		}
		verdict.Replies[final]++
	}
	verdict.Share = float64(len(durations)) / float64(max(total, 1))
	sort.Slice(durations, func(left, right int) bool { return durations[left] < durations[right] })
	if len(durations) > 0 {
		verdict.Median, verdict.Tail = durations[len(durations)/2], durations[len(durations)*95/100]
	}
	return verdict
}

// Violations returns the number of violations that all checkers found.
func (v Verdict) Violations() int {
	count := 0
	for _, finding := range v.Findings {
		count += finding.Violations
	}
	return count
}

// Finding returns the finding of the checker with a name, or an empty finding if no checker has it.
func (v Verdict) Finding(checker string) Finding {
	for _, finding := range v.Findings {
		if finding.Checker == checker {
			return finding
		}
	}
	return Finding{}
}

// String returns the verdict as text for people to read.
func (v Verdict) String() string {
	var text strings.Builder
	for _, finding := range v.Findings {
		result := "passed"
		if finding.Violations > 0 {
			result = "BROKEN"
		}
		_, _ = fmt.Fprintf(&text, "%s  %-52s checked %6d", result, finding.Checker, finding.Checked)
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
	_, _ = fmt.Fprintf(&text, "complete %.1f%%, median %s, 95th percentile %s, longest gap %s, violations %d\n",
		100*v.Share, v.Median.Round(time.Millisecond), v.Tail.Round(time.Millisecond), v.Gap.Round(time.Millisecond),
		v.Violations())
	return text.String()
}

// Finding is the result of one checker: the number of violations of its rule, some examples,
// and the worst value with its limit, if the rule has one.
type Finding struct {
	Checker    string   `json:"checker"`
	Checked    int      `json:"looked_at"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	Worst      string   `json:"worst,omitempty"`
	Limit      string   `json:"limit,omitempty"`
	// Seconds is the worst value in seconds, if it is a length of time.
	Seconds float64 `json:"worst_seconds,omitempty"`
}

// Violate counts one violation and keeps the first few as examples.
func (f *Finding) Violate(example string) {
	f.Violations++
	if len(f.Examples) < 5 {
		f.Examples = append(f.Examples, example)
	}
}

// setWorst sets the worst value of a rule on a length of time.
func (f *Finding) setWorst(worst time.Duration) {
	f.Worst, f.Seconds = worst.String(), worst.Seconds()
}
