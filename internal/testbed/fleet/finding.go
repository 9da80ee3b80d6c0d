package fleet

import "time"

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
func (finding *Finding) Violate(example string) {
	finding.Violations++
	if len(finding.Examples) < 5 {
		finding.Examples = append(finding.Examples, example)
	}
}

// late notes the worst length of time.
func (finding *Finding) late(worst time.Duration) {
	finding.Worst, finding.Seconds = worst.String(), worst.Seconds()
}
