package scheduler

import "time"

// Options say for which router a window decides and what binds all routers together.
type Options struct {
	// Router is the node's name, Zone the one whose servers it prefers.
	Router string
	Zone   string
	// FurtherTries bounds what all routers send beyond the first dispatch of each
	// call, service by service.
	FurtherTries Allowance
}

// Allowance bounds retries: in any span as long as Span, over all routers, at
// most Ratio of the calls in it and Slack besides.
type Allowance struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// DefaultAllowance is what holds where nobody said otherwise.
func DefaultAllowance() Allowance { return Allowance{Ratio: 0.2, Slack: 10, Span: 10 * time.Second} }

func (o Options) checked() Options {
	standard := DefaultAllowance()
	if o.FurtherTries.Ratio <= 0 {
		o.FurtherTries.Ratio = standard.Ratio
	}
	if o.FurtherTries.Slack <= 0 {
		o.FurtherTries.Slack = standard.Slack
	}
	if o.FurtherTries.Span <= 0 {
		o.FurtherTries.Span = standard.Span
	}
	return o
}
