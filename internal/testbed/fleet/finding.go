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
func (f *Finding) Violate(example string) {
	f.Violations++
	if len(f.Examples) < 5 {
		f.Examples = append(f.Examples, example)
	}
}

// late notes the worst length of time.
func (f *Finding) late(worst time.Duration) {
	f.Worst, f.Seconds = worst.String(), worst.Seconds()
}
