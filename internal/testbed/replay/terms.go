package replay

import "time"

// Terms are the limits of the rules that a deployment states in its settings. Stretch, Transit and
// Thaw are only written into the settings; no checker uses them.
type Terms struct {
	SeedLag, AddressReuse, Contact, Acknowledge, CatchUp, Drain, Grace, LossSlack      time.Duration
	Apply, RevertSlack, Stretch, RetryWindow, Evacuate, Recovery, Transit, Lease, Thaw time.Duration
	RetryRatio, ColdOverrun                                                            float64
	RetrySlack, ColdSlack                                                              int
}

// UsualTerms returns the limits of the users' small deployments, with shorter times where the real
// ones would make a day long.
func UsualTerms() Terms {
	return Terms{
		SeedLag: 3 * time.Second, AddressReuse: 2 * time.Second, Contact: 3 * time.Second, Acknowledge: 4 * time.Second,
		CatchUp: 4 * time.Second, Drain: 3 * time.Second, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		Apply: 2 * time.Second, RevertSlack: 250 * time.Millisecond, Stretch: 5 * time.Second, RetryWindow: 10 * time.Second,
		Evacuate: 5 * time.Second, Recovery: 12 * time.Second, Transit: 120 * time.Millisecond,
		Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
		RetryRatio: 0.2, ColdOverrun: 1.5, RetrySlack: 58, ColdSlack: 5,
	}
}

// page returns the terms as they appear in a settings file.
func (t Terms) page() map[string]any {
	milliseconds := func(length time.Duration) int64 { return length.Milliseconds() }
	seconds := func(length time.Duration) float64 { return length.Seconds() }
	return map[string]any{
		"seedLagS": seconds(t.SeedLag), "addrReuseS": seconds(t.AddressReuse), "contactMs": milliseconds(t.Contact),
		"ackMs": milliseconds(t.Acknowledge), "catchUpS": seconds(t.CatchUp), "drainMs": milliseconds(t.Drain),
		"graceS": seconds(t.Grace), "lossSlackMs": milliseconds(t.LossSlack), "configApplyMs": milliseconds(t.Apply),
		"revertSlackMs": milliseconds(t.RevertSlack), "stretchMaxMs": milliseconds(t.Stretch), "retryRatio": t.RetryRatio,
		"retryWindowS": seconds(t.RetryWindow), "retrySlack": t.RetrySlack, "coldOverrun": t.ColdOverrun, "coldSlack": t.ColdSlack,
		"evacuateMs": milliseconds(t.Evacuate), "recoveryS": seconds(t.Recovery), "transitMs": milliseconds(t.Transit),
		"fenceChecked": false, "leaseMs": milliseconds(t.Lease), "thawSlackMs": milliseconds(t.Thaw),
	}
}
