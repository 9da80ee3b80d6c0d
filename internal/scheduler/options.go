package scheduler

import "time"

// Options say for which router a window decides and what binds all routers together.
type Options struct {
	// Router is the node's name, Zone the one whose servers it prefers.
	Router string
	Zone   string
	// Retries bounds what all routers send beyond the first dispatch of each
	// call, service by service.
	Retries Allowance
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
	if o.Retries.Ratio <= 0 {
		o.Retries.Ratio = standard.Ratio
	}
	if o.Retries.Slack <= 0 {
		o.Retries.Slack = standard.Slack
	}
	if o.Retries.Span <= 0 {
		o.Retries.Span = standard.Span
	}
	return o
}
