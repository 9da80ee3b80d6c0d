package replay

import "time"

// Terms are the bounds of the rules, as a deployment states them.
type Terms struct {
	SeedLag, AddressReuse, Contact, Acknowledge, CatchUp, Drain, Grace, LossSlack      time.Duration
	Apply, RevertSlack, Stretch, RetryWindow, Evacuate, Recovery, Transit, Lease, Thaw time.Duration
	RetryRatio, ColdOverrun                                                            float64
	RetrySlack, ColdSlack                                                              int
}

// UsualTerms are those that the users' small deployments state, save for the
// times that make a day long.
func UsualTerms() Terms {
	return Terms{
		SeedLag: 3 * time.Second, AddressReuse: 2 * time.Second, Contact: 3 * time.Second, Acknowledge: 4 * time.Second,
		CatchUp: 4 * time.Second, Drain: 3 * time.Second, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		Apply: 2 * time.Second, RevertSlack: 250 * time.Millisecond, Stretch: 5 * time.Second, RetryWindow: 10 * time.Second,
		Evacuate: 5 * time.Second, Recovery: 12 * time.Second, Transit: 120 * time.Millisecond, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
		RetryRatio: 0.2, ColdOverrun: 1.5, RetrySlack: 58, ColdSlack: 5,
	}
}

// page is how the terms stand in a settings file.
func (terms Terms) page() map[string]any {
	milliseconds := func(length time.Duration) int64 { return length.Milliseconds() }
	seconds := func(length time.Duration) float64 { return length.Seconds() }
	return map[string]any{
		"seedLagS": seconds(terms.SeedLag), "addrReuseS": seconds(terms.AddressReuse), "contactMs": milliseconds(terms.Contact),
		"ackMs": milliseconds(terms.Acknowledge), "catchUpS": seconds(terms.CatchUp), "drainMs": milliseconds(terms.Drain),
		"graceS": seconds(terms.Grace), "lossSlackMs": milliseconds(terms.LossSlack), "configApplyMs": milliseconds(terms.Apply),
		"revertSlackMs": milliseconds(terms.RevertSlack), "stretchMaxMs": milliseconds(terms.Stretch), "retryRatio": terms.RetryRatio,
		"retryWindowS": seconds(terms.RetryWindow), "retrySlack": terms.RetrySlack, "coldOverrun": terms.ColdOverrun, "coldSlack": terms.ColdSlack,
		"evacuateMs": milliseconds(terms.Evacuate), "recoveryS": seconds(terms.Recovery), "transitMs": milliseconds(terms.Transit),
		"fenceChecked": false, "leaseMs": milliseconds(terms.Lease), "thawSlackMs": milliseconds(terms.Thaw),
	}
}
