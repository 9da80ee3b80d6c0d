package scheduler

import (
	"slices"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this router sees it. Each new server list replaces all
// backends, but a server that keeps its name and address keeps its serverState.
type backend struct {
	server membership.Server
	// key is the hash of the server's name, used in rendezvous hashing.
	key uint64
	// zoneIndex is the zone's index in arrays that have one element for each zone.
	zoneIndex int
	// backlogGroup names the group of servers whose backlog is counted by one router.
	backlogGroup string
	*serverState
}

// The roles that a server may have. A server without a role reads prompts and generates their
// answers.
const (
	prefill = "prefill"
	decode  = "decode"
)

// role returns the server's current role according to its latest load report or, if no report states
// a role, to the server list.
func (b *backend) role() string {
	if known := b.lastLoad.Load(); known != nil && known.load.Role != "" {
		return known.load.Role
	}
	return b.server.Role
}

// changingRole reports whether the server is changing its role; it begins no work until the change
// is done.
func (b *backend) changingRole() bool {
	known := b.lastLoad.Load()
	return known != nil && known.load.ChangingRole
}

// roleChangePending reports whether the server was ordered to take another role and no load
// report shows the change yet. Such a server may have stopped beginning work already.
func (b *backend) roleChangePending(now time.Time) bool {
	ordered := b.orderedRole.Load()
	return ordered != nil && now.UnixNano() < b.orderedRoleUntil.Load() && *ordered != b.role()
}

// prefills reports whether the server only does prefills.
func (b *backend) prefills() bool { return b.role() == prefill }

// generates reports whether the server does runs.
func (b *backend) generates() bool { return b.role() != prefill }

// decodesOnly reports whether the server only does runs.
func (b *backend) decodesOnly() bool { return b.role() == decode }

// hasModel reports whether the server has the model's weights. A server that lists no models has
// all of them.
func (b *backend) hasModel(model string) bool {
	return model == "" || len(b.server.Models) == 0 || slices.Contains(b.server.Models, model)
}

// stale reports whether the server has stopped sending load reports while others still do;
// latest is the time of the latest report of any server, in Unix nanoseconds.
func (b *backend) stale(latest int64) bool {
	known := b.lastLoad.Load()
	return known != nil && latest-known.at.UnixNano() > int64(staleAfter)
}

// staleAfter is how much older than the latest report of any server a server's own report may be.
const staleAfter = 1200 * time.Millisecond

// warming reports whether the server is in slow start.
func (b *backend) warming(now time.Time) bool { return now.UnixNano() < b.warmingUntil.Load() }

// serverState is a router's knowledge of one server, from the router's own calls and from load
// reports. All times are in Unix nanoseconds.
type serverState struct {
	// This router's work in flight at the server: the number of prefills, the prompt tokens that
	// these prefills read, the number of runs, and the KV cache memory, in tokens, that prefills
	// and runs take up.
	prefilling    atomic.Int64
	prefillTokens atomic.Int64
	running       atomic.Int64
	memory        atomic.Int64
	// prefillBusyUntil is the expected time at which the server has read the prompts of this
	// router's runs without a KV cache.
	prefillBusyUntil atomic.Int64

	// lastLoad is the latest known load of the server, from reports or responses; lastReport is
	// the latest report.
	lastLoad     atomic.Pointer[observedLoad]
	lastReport   atomic.Pointer[loadReport]
	warmingUntil atomic.Int64
	// sentWhileWarm is when this router last sent the server a call while the server counted as
	// warm.
	sentWhileWarm atomic.Int64
	// health covers all dispatches to the server, kvSendHealth the transfers of KV caches from
	// it, and kvReceiveHealth the transfers to it. kvSentAt is the time of its last successful
	// transfer to another server.
	health          health
	kvSendHealth    health
	kvReceiveHealth health
	kvSentAt        atomic.Int64
	transferDelay   transferDelay
	// Progress of the work that this router waits for: prefills, and first events of runs.
	prefillProgress    progress
	firstEventProgress progress
	// orderedRole is the role that the server was ordered to take. Until orderedRoleUntil, load
	// reports may not show the role yet.
	orderedRole      atomic.Pointer[string]
	orderedRoleUntil atomic.Int64
	latency          latencyRatio
	// backlogCount is the latest count of the prompt tokens that all routers have assigned to the
	// server and that are still to be read.
	backlogCount atomic.Pointer[backlogCount]
	// outlierUntil is the time until which the server counts as failing other routers' requests.
	outlierUntil    atomic.Int64
	idleConnections idleConnections
	prefixes        prefixCache
	rateLimit       rateLimit
	// rank caches this router's rank for the server among the recorded routers.
	rank atomic.Pointer[routerRank]
}

func newServerState() *serverState { return &serverState{} }

// addDirectPrefill adds the reading time of one more prompt that the server reads for a run.
func (s *serverState) addDirectPrefill(now time.Time, reading time.Duration) {
	for {
		known := s.prefillBusyUntil.Load()
		next := max(known, now.UnixNano()) + int64(reading)
		if s.prefillBusyUntil.CompareAndSwap(known, next) {
			return
		}
	}
}

// directPrefillLeft returns how long the server still needs to read the prompts of this router's runs.
func (s *serverState) directPrefillLeft(now time.Time) time.Duration {
	return max(0, time.Duration(s.prefillBusyUntil.Load()-now.UnixNano()))
}

// markWarmingUntil records that the server is in slow start until the given time. A later end
// that is already known stays.
func (s *serverState) markWarmingUntil(until time.Time) {
	for {
		known := s.warmingUntil.Load()
		if known >= until.UnixNano() || s.warmingUntil.CompareAndSwap(known, until.UnixNano()) {
			return
		}
	}
}
