package scheduler

import (
	"sync/atomic"
	"time"
)

// account is what a router knows of one server from its own work and from reports.
type account struct {
	// What this router has under way there: calls that read, the tokens they read,
	// calls that run, and the memory that all of them take up.
	reading       atomic.Int64
	readingTokens atomic.Int64
	running       atomic.Int64
	memory        atomic.Int64
	// readUntil is when the prompts that this router's runs read there are read.
	readUntil atomic.Int64

	// heard is the latest word of the server's load, report the latest that it gave when
	// it was asked.
	heard     atomic.Pointer[heard]
	report    atomic.Pointer[reported]
	coldUntil atomic.Int64
	// trust is in the server as such, hands in the memory that it hands over, takes in
	// its taking of memory; handed is when it last handed some over.
	trust  trust
	hands  trust
	takes  trust
	handed atomic.Int64
	moves  delay
	// readings and begins are what is waited for: reads, and first events of runs.
	readings progress
	begins   progress
	// due is the part that the server was ordered to take, dueUntil how long that may
	// not show.
	due      atomic.Pointer[string]
	dueUntil atomic.Int64
	slow     slowness
	// told is the latest count of what all routers have the server read.
	told atomic.Pointer[told]
	// outlierUntil is how long the server counts as one that fails other routers.
	outlierUntil atomic.Int64
	// idle are the connections that the next calls may use.
	idle      connections
	kept      kept
	rateLimit rateLimit
}

// reported is what a server said when it was asked.
type reported struct {
	load Load
	at   time.Time
}

// heard is the latest word of a server's load.
type heard struct {
	load Load
	at   time.Time
	// others are the calls that are not this router's own, waiting ones among them.
	others  float64
	waiting float64
}

func newAccount() *account { return &account{} }

// queue adds reading to what runs have the server read.
func (a *account) queue(now time.Time, reading time.Duration) {
	for {
		known := a.readUntil.Load()
		next := max(known, now.UnixNano()) + int64(reading)
		if a.readUntil.CompareAndSwap(known, next) {
			return
		}
	}
}

// queued is how long the server still reads for this router's runs.
func (a *account) queued(now time.Time) time.Duration {
	return max(0, time.Duration(a.readUntil.Load()-now.UnixNano()))
}

// coolUntil notes that the server is cold up to a time.
func (a *account) coolUntil(until time.Time) {
	for {
		known := a.coldUntil.Load()
		if known >= until.UnixNano() || a.coldUntil.CompareAndSwap(known, until.UnixNano()) {
			return
		}
	}
}

// hear takes a report.
func (a *account) hear(now time.Time, load Load) {
	at := now.Add(-load.Age)
	a.report.Store(&reported{load: load, at: at})
	earlier := a.heard.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	own := float64(a.reading.Load() + a.running.Load())
	next := &heard{load: load, at: at, others: max(0, float64(load.Running+load.Waiting)-own), waiting: float64(load.Waiting)}
	if earlier != nil {
		// One report is a moment; what counts is about how much there is.
		next.others = smooth(earlier.others, next.others)
		if next.load.MemoryTotal == 0 {
			next.load.MemoryTotal = earlier.load.MemoryTotal
		}
	}
	a.heard.Store(next)
}

// answered takes what an answer said of the server's load.
//
// The call itself was among those that ran when the answer was made.
func (a *account) answered(at time.Time, load ResponseLoad) {
	earlier := a.heard.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	next := &heard{at: at}
	if earlier != nil {
		next.load = earlier.load
	}
	next.load.Running, next.load.Waiting = load.Running, load.Waiting
	own := float64(a.reading.Load() + a.running.Load() + 1)
	next.others = max(0, float64(load.Running+load.Waiting)-own)
	if earlier != nil {
		next.others = smooth(earlier.others, next.others)
	}
	next.waiting = float64(load.Waiting)
	a.heard.Store(next)
}

const smoothing = 0.5

func smooth(old, latest float64) float64 { return old + smoothing*(latest-old) }

// others are the calls there that are not this router's own, as far as is known.
func (a *account) others() float64 {
	if h := a.heard.Load(); h != nil {
		return h.others
	}
	return 0
}
