package scheduler

import "time"

// Options say for which router a window decides and what binds all routers together.
type Options struct {
	// Router is the node's name, Zone the one whose servers it prefers.
	Router string
	Zone   string
	// Retries bounds what all routers send beyond the first dispatch of each
	// call, service by service.
	Retries RetryAllowance
}

// RetryAllowance bounds retries: in any span as long as Span, over all routers, at
// most Ratio of the calls in it and Slack besides.
type RetryAllowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// DefaultRetryAllowance is what holds where nobody said otherwise.
func DefaultRetryAllowance() RetryAllowance {
	return RetryAllowance{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
}

func (o Options) checked() Options {
	standard := DefaultRetryAllowance()
	if o.Retries.Ratio <= 0 {
		o.Retries.Ratio = standard.Ratio
	}
	if o.Retries.Slack <= 0 {
		o.Retries.Slack = standard.Slack
	}
	if o.Retries.Window <= 0 {
		o.Retries.Window = standard.Window
	}
	return o
}
