package scheduler

import (
	"slices"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this router sees it. It is replaced with each
// list; its account goes on as long as the server has the same name and address.
type backend struct {
	server    membership.Server
	key       uint64
	zoneIndex int
	// group names the servers whose counts one router keeps.
	backlogGroup string
	*serverState
}

// The parts that a listed server may have.
const (
	prefill = "prefill"
	decode  = "decode"
)

// part is what the server does now, by the latest word of it.
func (b *backend) role() string {
	if h := b.lastLoad.Load(); h != nil && h.load.Role != "" {
		return h.load.Role
	}
	return b.server.Part
}

// changing tells that the server changes its part and begins nothing.
func (b *backend) changingRole() bool {
	h := b.lastLoad.Load()
	return h != nil && h.load.ChangingRole
}

// roleChangePending tells that the server was ordered to take another part and may begin nothing,
// though no report shows it yet.
func (b *backend) roleChangePending(now time.Time) bool {
	due := b.orderedRole.Load()
	return due != nil && now.UnixNano() < b.orderedRoleUntil.Load() && *due != b.role()
}

func (b *backend) prefills() bool { return b.role() == prefill }

func (b *backend) generates() bool { return b.role() != prefill }

func (b *backend) decodesOnly() bool { return b.role() == decode }

// has tells whether the server has the weights.
func (b *backend) hasModel(model string) bool {
	return model == "" || len(b.server.Models) == 0 || slices.Contains(b.server.Models, model)
}

// silent tells whether the server reports no more while others do.
func (b *backend) stale(latest int64) bool {
	h := b.lastLoad.Load()
	return h != nil && latest-h.at.UnixNano() > int64(staleAfter)
}

// silence is how much older than the latest report a server's own may be. The value is
// ours.
const staleAfter = 1200 * time.Millisecond

// cold tells whether the server is still cold.
func (b *backend) warming(now time.Time) bool { return now.UnixNano() < b.warmingUntil.Load() }

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
