package scheduler

import (
	"math"
	"sync"
	"time"
)

// demand holds the load of a service's servers: exponentially weighted moving means, and a decaying
// sum, with the time constant demandWindow.
type demand struct {
	mutex sync.Mutex
	// busy is the mean number of prefill servers that had a call when they reported; running is
	// the mean number of calls at the decode servers.
	busy       float64
	running    float64
	reportedAt time.Time
	// directTokens is the decaying sum of the prompt tokens that this router sends to decode servers
	// without a prefill; directAt is when directTokens was last updated.
	directTokens float64
	directAt     time.Time
	// transferFailedAt is when a KV cache transfer last failed.
	transferFailedAt time.Time
}

// demandWindow is the time constant of the values in demand. The means count as unknown if the last
// report is older.
const demandWindow = 3 * time.Second

// decay returns the weight, from 0 to 1, of a value of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(demandWindow))
}

// addDirect counts prompt tokens that are sent to a decode server without a prefill.
func (d *demand) addDirect(now time.Time, tokens int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.directTokens = d.directTokens*decay(now.Sub(d.directAt)) + float64(tokens)
	d.directAt = now
}

// directRate returns how many prompt tokens per second this router sends to decode servers without a
// prefill, and whether a KV cache transfer failed within transferFailureSpan.
func (d *demand) directRate(now time.Time) (tokens float64, failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	tokens = d.directTokens * decay(now.Sub(d.directAt)) / demandWindow.Seconds()
	failing = !d.transferFailedAt.IsZero() && now.Sub(d.transferFailedAt) < transferFailureSpan
	return tokens, failing
}

// transferFailed records that a KV cache transfer failed.
func (d *demand) transferFailed(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.transferFailedAt = now
}

// transferFailureSpan is how long after a failed KV cache transfer further transfers are considered at
// risk.
const transferFailureSpan = 5 * time.Second

// observe records the number of busy prefill servers and the number of calls at decode servers.
func (d *demand) observe(now time.Time, busy, running float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	weight := decay(now.Sub(d.reportedAt))
	if d.reportedAt.IsZero() {
		weight = 0
	}
	d.busy = d.busy*weight + busy*(1-weight)
	d.running = d.running*weight + running*(1-weight)
	d.reportedAt = now
}

// average returns the mean number of busy prefill servers and of calls at decode servers. known is
// false if the last report is older than demandWindow.
func (d *demand) average(now time.Time) (busy, running float64, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.reportedAt.IsZero() || now.Sub(d.reportedAt) > demandWindow {
		return 0, 0, false
	}
	return d.busy, d.running, true
}
