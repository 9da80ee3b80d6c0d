package scheduler

import (
	"sync"
	"time"
)

// purse holds the further tries that a courier may still send for one service. It
// earns from its own calls and from a part of the slack, and is empty at the start.
type purse struct {
	mutex sync.Mutex
	level float64
	at    time.Time
}

// The measures of the purse: how much of the ratio and of the slack is used, in the
// flow and in hand. Together they stay under what binds all couriers, also over the
// starts of some.
const (
	ratioUsed = 0.75
	slackFlow = 0.35
	slackHand = 0.45
)

// first earns for a call's first dispatch.
func (purse *purse) first(now time.Time, allowance Allowance, couriers int) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.fill(now, allowance, couriers)
	purse.level = min(purse.level+allowance.Ratio*ratioUsed, purse.most(allowance, couriers))
}

// spend pays for so many further tries, or tells that there is not enough.
func (purse *purse) spend(now time.Time, count int, allowance Allowance, couriers int) bool {
	if count <= 0 {
		return true
	}
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.fill(now, allowance, couriers)
	if purse.level < float64(count) {
		return false
	}
	purse.level -= float64(count)
	return true
}

func (purse *purse) most(allowance Allowance, couriers int) float64 {
	return max(1, allowance.Slack*slackHand/float64(couriers))
}

func (purse *purse) fill(now time.Time, allowance Allowance, couriers int) {
	if !purse.at.IsZero() && now.After(purse.at) {
		flow := allowance.Slack * slackFlow / float64(couriers) / allowance.Span.Seconds()
		purse.level = min(purse.level+flow*now.Sub(purse.at).Seconds(), purse.most(allowance, couriers))
	}
	if purse.at.IsZero() || now.After(purse.at) {
		purse.at = now
	}
}

// refund gives back what was paid for a try that was not needed.
func (purse *purse) refund(now time.Time, count int, allowance Allowance, couriers int) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.fill(now, allowance, couriers)
	purse.level = min(purse.level+float64(count), purse.most(allowance, couriers))
}
