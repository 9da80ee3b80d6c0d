package replay

import (
	"fmt"
	"strings"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Verdict holds the findings of all checkers for a day, and its figures.
type Verdict struct {
	Findings []fleet.Finding `json:"findings"`
	Figures  Figures         `json:"figures"`
}

// CheckEvents checks every rule against the events of a day.
func CheckEvents(events []Event, site Site) Verdict {
	r, verdict := newRecord(events, site), Verdict{}
	for _, checker := range checkers {
		finding := fleet.Finding{Checker: checker.name}
		checker.check(r, &finding)
		verdict.Findings = append(verdict.Findings, finding)
	}
	verdict.Figures = figuresOf(r)
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

// Finding returns the finding of one checker, or an empty one if there is no such checker.
func (v Verdict) Finding(checker string) fleet.Finding {
	for _, finding := range v.Findings {
		if finding.Checker == checker {
			return finding
		}
	}
	return fleet.Finding{}
}

// String formats the verdict for people.
func (v Verdict) String() string {
	var text strings.Builder
	for _, finding := range v.Findings {
		status := "held  "
		if finding.Violations > 0 {
			status = "BROKEN"
		}
		_, _ = fmt.Fprintf(&text, "%s  %-20s checked %6d", status, finding.Checker, finding.Checked)
		if finding.Violations > 0 {
			_, _ = fmt.Fprintf(&text, "  violated %d times", finding.Violations)
		}
		if finding.Worst != "" {
			_, _ = fmt.Fprintf(&text, "  worst %s", finding.Worst)
		}
		if finding.Limit != "" {
			_, _ = fmt.Fprintf(&text, " (limit %s)", finding.Limit)
		}
		_, _ = fmt.Fprintln(&text)
		for _, example := range finding.Examples {
			_, _ = fmt.Fprintf(&text, "        %s\n", example)
		}
	}
	_, _ = fmt.Fprint(&text, v.Figures)
	return text.String()
}
