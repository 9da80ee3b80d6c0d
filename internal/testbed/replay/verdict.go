package replay

import (
	"fmt"
	"strings"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// Verdict is what all checkers say of a day, and its figures.
type Verdict struct {
	Findings []fleet.Finding `json:"findings"`
	Figures  Figures         `json:"figures"`
}

// Judge holds every rule against what was seen.
func Judge(events []Event, site Site) Verdict {
	r, verdict := newRecord(events, site), Verdict{}
	for _, checker := range checkers {
		finding := fleet.Finding{Checker: checker.name}
		checker.check(r, &finding)
		verdict.Findings = append(verdict.Findings, finding)
	}
	verdict.Figures = figuresOf(r)
	return verdict
}

// Violations counts the broken rules.
func (v Verdict) Violations() int {
	count := 0
	for _, finding := range v.Findings {
		count += finding.Violations
	}
	return count
}

// Finding is what one checker says.
func (v Verdict) Finding(checker string) fleet.Finding {
	for _, finding := range v.Findings {
		if finding.Checker == checker {
			return finding
		}
	}
	return fleet.Finding{}
}

// String writes the verdict for people.
func (v Verdict) String() string {
	var text strings.Builder
	for _, finding := range v.Findings {
		mark := "held  "
		if finding.Violations > 0 {
			mark = "BROKEN"
		}
		_, _ = fmt.Fprintf(&text, "%s  %-20s looked at %6d", mark, finding.Checker, finding.Looked)
		if finding.Violations > 0 {
			_, _ = fmt.Fprintf(&text, "  broken %d times", finding.Violations)
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
