package scheduler

import (
	"sync/atomic"
	"time"
)

// account is what a router knows of one server from its own work and from reports.
type serverState struct {
	// What this router has under way there: calls that read, the tokens they read,
	// calls that run, and the memory that all of them take up.
	prefilling    atomic.Int64
	prefillTokens atomic.Int64
	running       atomic.Int64
	memory        atomic.Int64
	// prefillBusyUntil is when the prompts that this router's runs read there are read.
	prefillBusyUntil atomic.Int64

	// heard is the latest word of the server's load, report the latest that it gave when
	// it was asked.
	lastLoad     atomic.Pointer[observedLoad]
	lastReport   atomic.Pointer[loadReport]
	warmingUntil atomic.Int64
	// trust is in the server as such, hands in the memory that it hands over, takes in
	// its taking of memory; handed is when it last handed some over.
	health          health
	kvSendHealth    health
	kvReceiveHealth health
	kvSentAt        atomic.Int64
	transferDelay   transferDelay
	// readings and begins are what is waited for: reads, and first events of runs.
	prefillProgress    progress
	firstEventProgress progress
	// due is the part that the server was ordered to take, orderedRoleUntil how long that may
	// not show.
	orderedRole      atomic.Pointer[string]
	orderedRoleUntil atomic.Int64
	latency          latencyRatio
	// told is the latest count of what all routers have the server read.
	backlogCount atomic.Pointer[backlogCount]
	// outlierUntil is how long the server counts as one that fails other routers.
	outlierUntil atomic.Int64
	// idle are the connections that the next calls may use.
	idleConnections idleConnections
	prefixes        prefixCache
	rateLimit       rateLimit
}

// reported is what a server said when it was asked.
type loadReport struct {
	load Load
	at   time.Time
}

// heard is the latest word of a server's load.
type observedLoad struct {
	load Load
	at   time.Time
	// others are the calls that are not this router's own, waiting ones among them.
	others  float64
	waiting float64
}

func newServerState() *serverState { return &serverState{} }

// queue adds reading to what runs have the server read.
func (a *serverState) addDirectPrefill(now time.Time, reading time.Duration) {
	for {
		known := a.prefillBusyUntil.Load()
		next := max(known, now.UnixNano()) + int64(reading)
		if a.prefillBusyUntil.CompareAndSwap(known, next) {
			return
		}
	}
}

// queued is how long the server still reads for this router's runs.
func (a *serverState) directPrefillLeft(now time.Time) time.Duration {
	return max(0, time.Duration(a.prefillBusyUntil.Load()-now.UnixNano()))
}

// markWarmingUntil notes that the server is cold up to a time.
func (a *serverState) markWarmingUntil(until time.Time) {
	for {
		known := a.warmingUntil.Load()
		if known >= until.UnixNano() || a.warmingUntil.CompareAndSwap(known, until.UnixNano()) {
			return
		}
	}
}

// hear takes a report.
func (a *serverState) takeReport(now time.Time, load Load) {
	at := now.Add(-load.Age)
	a.lastReport.Store(&loadReport{load: load, at: at})
	earlier := a.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	own := float64(a.prefilling.Load() + a.running.Load())
	next := &observedLoad{load: load, at: at, others: max(0, float64(load.Running+load.Waiting)-own), waiting: float64(load.Waiting)}
	if earlier != nil {
		// One report is a moment; what counts is about how much there is.
		next.others = smooth(earlier.others, next.others)
		if next.load.MemoryTotal == 0 {
			next.load.MemoryTotal = earlier.load.MemoryTotal
		}
	}
	a.lastLoad.Store(next)
}

// answered takes what an answer said of the server's load.
//
// The call itself was among those that ran when the answer was made.
func (a *serverState) takeResponseLoad(at time.Time, load ResponseLoad) {
	earlier := a.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	next := &observedLoad{at: at}
	if earlier != nil {
		next.load = earlier.load
	}
	next.load.Running, next.load.Waiting = load.Running, load.Waiting
	own := float64(a.prefilling.Load() + a.running.Load() + 1)
	next.others = max(0, float64(load.Running+load.Waiting)-own)
	if earlier != nil {
		next.others = smooth(earlier.others, next.others)
	}
	next.waiting = float64(load.Waiting)
	a.lastLoad.Store(next)
}

const smoothing = 0.5

func smooth(old, latest float64) float64 { return old + smoothing*(latest-old) }

// others are the calls there that are not this router's own, as far as is known.
func (a *serverState) otherCalls() float64 {
	if h := a.lastLoad.Load(); h != nil {
		return h.others
	}
	return 0
}
