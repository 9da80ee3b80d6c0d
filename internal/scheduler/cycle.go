package scheduler

import (
	"math"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// cycle is one scheduling cycle: it finds the server for a call's next dispatch. filter.go
// excludes servers, score.go gives the remaining servers a cost, pick.go selects the cheapest. Costs
// and latencies are in milliseconds; weights convert quantities of other units to milliseconds.
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

	// chain is the key of the call's shared prompt prefix; sharedTokens is the prefix's length.
	chain        uint64
	sharedTokens int
	// homePrefill, nextPrefill and homeDecode are the servers that rendezvous hashing assigns to
	// the chain; see findHomes.
	homePrefill, nextPrefill, homeDecode *backend
	// prefillRate is in tokens per millisecond; firstEventLatency is the time from a run's start
	// to its first event, in milliseconds.
	prefillRate       float64
	firstEventLatency float64
	// decodeSlowdown is the factor by which a decode server takes longer to read a prompt because
	// of other prompts that routers send to decode servers without a prefill.
	decodeSlowdown float64
	// transfersFailing is set if a KV cache transfer has failed within transferFailureSpan.
	transfersFailing bool
	// freeShare is the share of slots that are free, from 0 to 1.
	freeShare float64
	// warmingWait is the time in milliseconds after which a warming server can take a call;
	// infinite if no server was excluded because of its rate limit.
	warmingWait float64
	// excludeWarming excludes warming servers, after another goroutine has used up the rate limit of
	// the picked server.
	excludeWarming bool
}

// candidate is one possible next dispatch of a call.
type candidate struct {
	backend *backend
	cost    float64
	// latency is the time until the answer's first event. ownLatency is the time until the first
	// event of this dispatch, or until the end of a prefill.
	latency    float64
	ownLatency float64
	// uncached is how many prompt tokens the server has to read.
	uncached int
	// usesKV is set for a run that takes the KV cache of an earlier prefill.
	usesKV bool
}

// newCycle begins a cycle for a call, with the scheduler's present state.
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
		firstEventLatency: svc.firstEvent.median(),
		warmingWait:       math.Inf(1),
	}
	c.measureDirectPrefill()
	return c
}

// maxDecodePrefillShare bounds the share of its time that a decode server is assumed to spend on
// reading prompts.
const maxDecodePrefillShare = 0.8

// measureDirectPrefill estimates how much decode servers are slowed down by the prompts that all
// routers send to them without a prefill. It assumes that every router sends them as many prompt
// tokens as this one. It also sets transfersFailing.
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
	c.decodeSlowdown = 1 / (1 - min(used, maxDecodePrefillShare))
}
