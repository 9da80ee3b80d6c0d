package scheduler

import (
	"slices"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this router sees it. It is replaced with each list; its
// serverState goes on as long as the server has the same name and address.
type backend struct {
	server membership.Server
	// key stands for the name in rendezvous hashing, zoneIndex for the zone in arrays.
	key       uint64
	zoneIndex int
	// backlogGroup names the servers whose backlog one router counts.
	backlogGroup string
	*serverState
}

// The roles that a server may have; one without a role reads prompts and makes their answers.
const (
	prefill = "prefill"
	decode  = "decode"
)

// role is what the server does now, by its latest report or else the list.
func (b *backend) role() string {
	if h := b.lastLoad.Load(); h != nil && h.load.Role != "" {
		return h.load.Role
	}
	return b.server.Part
}

// changingRole tells that the server changes its role and begins nothing.
func (b *backend) changingRole() bool {
	h := b.lastLoad.Load()
	return h != nil && h.load.ChangingRole
}

// roleChangePending tells that the server was ordered to take another role and may begin
// nothing, though no report shows it yet.
func (b *backend) roleChangePending(now time.Time) bool {
	due := b.orderedRole.Load()
	return due != nil && now.UnixNano() < b.orderedRoleUntil.Load() && *due != b.role()
}

func (b *backend) prefills() bool { return b.role() == prefill }

func (b *backend) generates() bool { return b.role() != prefill }

func (b *backend) decodesOnly() bool { return b.role() == decode }

// hasModel tells whether the server has the model's weights; one that lists none has all.
func (b *backend) hasModel(model string) bool {
	return model == "" || len(b.server.Models) == 0 || slices.Contains(b.server.Models, model)
}

// stale tells whether the server reports no more while others do.
func (b *backend) stale(latest int64) bool {
	h := b.lastLoad.Load()
	return h != nil && latest-h.at.UnixNano() > int64(staleAfter)
}

// staleAfter is how much older than the latest report of any server a server's own may be. The
// value is ours.
const staleAfter = 1200 * time.Millisecond

// warming tells whether the server is in slow start.
func (b *backend) warming(now time.Time) bool { return now.UnixNano() < b.warmingUntil.Load() }

// serverState is what a router knows of one server from its own calls and from reports.
type serverState struct {
	// What this router has in flight there: prefills, the tokens they read, runs, and the
	// tokens of KV cache memory that all of them take up.
	prefilling    atomic.Int64
	prefillTokens atomic.Int64
	running       atomic.Int64
	memory        atomic.Int64
	// prefillBusyUntil is when the prompts that this router's runs read there are read.
	prefillBusyUntil atomic.Int64

	// lastLoad is the latest that is known of the server's load, from reports or responses,
	// lastReport the latest report.
	lastLoad     atomic.Pointer[observedLoad]
	lastReport   atomic.Pointer[loadReport]
	warmingUntil atomic.Int64
	// sentWhileWarm is when a call was last sent there while it counted as warm.
	sentWhileWarm atomic.Int64
	// health is of the server as such, kvSendHealth of the KV caches that it hands over,
	// kvReceiveHealth of its taking them; kvSentAt is when it last handed one over.
	health          health
	kvSendHealth    health
	kvReceiveHealth health
	kvSentAt        atomic.Int64
	transferDelay   transferDelay
	// What is waited for there: prefills, and first events of runs.
	prefillProgress    progress
	firstEventProgress progress
	// orderedRole is the role that the server was ordered to take, orderedRoleUntil until when
	// reports may not show it yet.
	orderedRole      atomic.Pointer[string]
	orderedRoleUntil atomic.Int64
	latency          latencyRatio
	// backlogCount is the latest count of what all routers have the server read.
	backlogCount atomic.Pointer[backlogCount]
	// outlierUntil is until when the server counts as one that fails other routers.
	outlierUntil    atomic.Int64
	idleConnections idleConnections
	prefixes        prefixCache
	rateLimit       rateLimit
	// rank is this router's for the server, by the latest list of routers that was asked for it.
	rank atomic.Pointer[routerRank]
}

func newServerState() *serverState { return &serverState{} }

// addDirectPrefill adds to how long the server reads for this router's runs.
func (a *serverState) addDirectPrefill(now time.Time, reading time.Duration) {
	for {
		known := a.prefillBusyUntil.Load()
		next := max(known, now.UnixNano()) + int64(reading)
		if a.prefillBusyUntil.CompareAndSwap(known, next) {
			return
		}
	}
}

// directPrefillLeft is how long the server still reads for this router's runs.
func (a *serverState) directPrefillLeft(now time.Time) time.Duration {
	return max(0, time.Duration(a.prefillBusyUntil.Load()-now.UnixNano()))
}

// markWarmingUntil takes that the server is in slow start until a time; it is never shortened.
func (a *serverState) markWarmingUntil(until time.Time) {
	for {
		known := a.warmingUntil.Load()
		if known >= until.UnixNano() || a.warmingUntil.CompareAndSwap(known, until.UnixNano()) {
			return
		}
	}
}
