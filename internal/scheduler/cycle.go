package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// cycle is one scheduling cycle: it finds the server for a call's next dispatch. filter.go
// leaves servers out, score.go gives the rest a cost, pick.go takes the cheapest. Costs and
// latencies are in milliseconds; what has another unit is turned into them by weights.
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

	// chain is the key of the call's prompt prefix, sharedTokens the prefix's length.
	chain        uint64
	sharedTokens int
	// homePrefill, nextPrefill and homeDecode are the servers that rendezvous hashing gives
	// the chain; see findHomes.
	homePrefill, nextPrefill, homeDecode *backend
	// prefillRate is in tokens a millisecond, firstEventLatency in milliseconds from a run's
	// start to its first event.
	prefillRate       float64
	firstEventLatency float64
	// decodeStretch is the factor by which prompts that decode servers read for all routers
	// lengthen the read of one more.
	decodeStretch float64
	// transfersFailing is set while a KV cache transfer has failed lately.
	transfersFailing bool
	// freeShare is the part of the slots that is free, from 0 to 1.
	freeShare float64
	// soonestFree is in how many milliseconds a warming server takes a call; infinite if
	// none was left out for its rate.
	soonestFree float64
	// excludeWarming leaves warming servers out, after another thread took the place.
	excludeWarming bool
}

// candidate is one dispatch that may be next for a call.
type candidate struct {
	backend *backend
	cost    float64
	// latency is until the answer's first event, ownLatency until the dispatch's own: a
	// prefill's ends with the handle.
	latency    float64
	ownLatency float64
	// uncached is how many prompt tokens the server has to read.
	uncached int
	// usesKV is set for a run that takes the KV cache of an earlier prefill.
	usesKV bool
}

// newCycle begins a cycle for a call, with what the scheduler knows now.
func (s *Scheduler) newCycle(now time.Time, state *CallState) *cycle {
	routes := s.routes.Load()
	s.warmReturnedZones(now)
	service := state.service
	if current, found := routes.services[service.Name]; found {
		service = current
	}
	svc := s.serviceState(service.Name)
	c := &cycle{
		scheduler:         s,
		weights:           s.weights,
		routes:            routes,
		now:               now,
		state:             state,
		service:           service,
		serviceState:      svc,
		backends:          s.snapshot.Load().serving(service.Name),
		routerCount:       s.routerCount(),
		chain:             state.call.chainKey(),
		sharedTokens:      state.call.sharedTokens(),
		prefillRate:       svc.prefillRate.tokensPerMillisecond(),
		firstEventLatency: svc.firstEvent.milliseconds(),
		soonestFree:       math.Inf(1),
	}
	c.measureDirectPrefill()
	return c
}

// maxDecodePrefill bounds the part of its time that a decode server is taken to read.
const maxDecodePrefill = 0.8

// measureDirectPrefill estimates how much all routers have decode servers read, as if each
// of them sent as much as this one.
func (c *cycle) measureDirectPrefill() {
	tokens, failing := c.serviceState.demand.directRate(c.now)
	c.transfersFailing = failing
	decodeServers := 0
	for _, b := range c.backends {
		if b.decodesOnly() {
			decodeServers++
		}
	}
	used := tokens * float64(c.routerCount) / float64(max(decodeServers, 1)) / (c.prefillRate * 1000 / 2)
	c.decodeStretch = 1 / (1 - min(used, maxDecodePrefill))
}
