package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// choice finds the server for a call's next dispatch. Costs and times are in
// milliseconds; what is priced otherwise is turned into them.
type cycle struct {
	scheduler    *Scheduler
	weights      weights
	routes       *RouteTable
	now          time.Time
	state        *CallState
	service      *config.Service
	serviceState *serviceState
	backends     []*backend
	routerCount  int

	chain                                uint64
	homePrefill, nextPrefill, homeDecode *backend
	sharedTokens                         int
	prefillRate                          float64
	// held is how much longer runners read than by this router's own, begin how long
	// a run takes to its first event, lapsing that hand-overs failed.
	decodeStretch, firstEventLatency float64
	transfersFailing                 bool
	// free is how much of the places there is not taken, from 0 to 1.
	freeShare float64
	// soonest is when a place may be had, if none is now.
	soonestFree float64
	// excludeWarming leaves cold servers out, after another thread was first.
	excludeWarming bool
}

// offer is one way that a call may go on.
type candidate struct {
	backend *backend
	cost    float64
	// time is when the first event of the answer is expected, own how long the
	// dispatch itself takes.
	latency    float64
	ownLatency float64
	uncached   int
	// sourced tells that a run takes the memory that was read for it.
	usesKV bool
}

func (s *Scheduler) newCycle(now time.Time, state *CallState) *cycle {
	program := s.routes.Load()
	s.warmReturnedZones(now)
	service := state.service
	if current, found := program.services[service.Name]; found {
		service = current
	}
	svc := s.serviceState(service.Name)
	c := &cycle{scheduler: s, weights: s.weights, routes: program, now: now, state: state, service: service, serviceState: svc,
		backends: s.snapshot.Load().serving(service.Name), routerCount: s.routerCount(),
		chain: state.call.chainKey(), sharedTokens: state.call.sharedTokens(), prefillRate: svc.prefillRate.tokensPerMillisecond(), soonestFree: math.Inf(1)}
	c.firstEventLatency = svc.firstEvent.milliseconds()
	c.measureDirectPrefill()
	return c
}

// crowd weighs what runners are given to read by all routers, as this one does it.
func (c *cycle) measureDirectPrefill() {
	tokens, lapsing := c.serviceState.demand.directRate(c.now)
	c.transfersFailing = lapsing
	decodeServers := 0
	for _, b := range c.backends {
		if b.decodesOnly() {
			decodeServers++
		}
	}
	used := tokens * float64(c.routerCount) / float64(max(decodeServers, 1)) / (c.prefillRate * 1000 / 2)
	c.decodeStretch = 1 / (1 - min(used, maxDecodePrefill))
}

// maxDecodePrefill is the part of its time that a runner is at most taken to read.
const maxDecodePrefill = 0.8
