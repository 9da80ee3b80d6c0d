package auction

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Dispatcher is the state machine of one router's requests, from their arrival to their
// final status. Requests are sharded by ID, so that several threads can work on different
// shards; the shared route table and lease are replaced, never modified. A method that
// takes a shard is called with the shard locked.
type Dispatcher struct {
	market *Market
	budget *RetryBudget
	zone   string
	// maxRequests bounds the requests in flight.
	maxRequests int64
	shards      [16]shard
	routes      atomic.Pointer[RouteTable]
	leaseEnds   atomic.Pointer[time.Time]
	// withoutLease is how long requests are admitted after the last lease has expired, in
	// nanoseconds (see SetServeWithoutLease).
	withoutLease atomic.Int64
	// provisionalAt is when the first provisional configuration was received. It has no effect once
	// there is a lease.
	provisionalAt atomic.Pointer[time.Time]
	// forwarding is set if new requests are forwarded to another router.
	forwarding atomic.Bool
	draining   atomic.Bool
	inFlight   atomic.Int64
	// inFlightByService maps the name of a service to an *atomic.Int64.
	inFlightByService sync.Map
	counters          Counters
}

// shard holds a part of the requests in flight by their IDs.
type shard struct {
	mutex    sync.Mutex
	requests map[string]*requestState
}

// Timeouts of requests in flight.
const (
	// minServerTimeout is the time that a server gets in addition to four times the
	// estimated time. It is also how long a request waits for decode capacity after its prefill.
	minServerTimeout = 2 * time.Second
	// chunkTimeout is the longest gap between two chunks of a stream.
	chunkTimeout = 3 * time.Second
	// leaseTimeout is how long an admitted request waits for the next lease.
	leaseTimeout = 2 * time.Second
)

// NewDispatcher returns a dispatcher for a router in a zone, with at most maxRequests
// requests in flight.
func NewDispatcher(market *Market, zone string, maxRequests int) *Dispatcher {
	d := &Dispatcher{
		market:      market,
		budget:      &RetryBudget{},
		zone:        zone,
		maxRequests: int64(maxRequests),
	}
	for position := range d.shards {
		d.shards[position].requests = map[string]*requestState{}
	}
	return d
}

// SetRouteTable puts a configuration in force and returns true. It ignores a configuration
// that is not newer than the one in force, and returns false: versions only increase.
func (d *Dispatcher) SetRouteTable(routes *RouteTable) bool {
	for {
		current := d.routes.Load()
		if current != nil && (routes.epoch < current.epoch || routes.number <= current.number) {
			return false
		}
		if d.routes.CompareAndSwap(current, routes) {
			return true
		}
	}
}

// InForce returns the version of the configuration in force.
func (d *Dispatcher) InForce() (epoch, number uint64) {
	if routes := d.routes.Load(); routes != nil {
		return routes.epoch, routes.number
	}
	return 0, 0
}

// ExtendLease extends the lease if it confirms the version in force, and reports whether it does.
// A lease for another version is ignored, so that no request is admitted under a
// configuration that is not confirmed.
func (d *Dispatcher) ExtendLease(leaseEnds time.Time, epoch, number uint64) bool {
	routes := d.routes.Load()
	if routes == nil || routes.epoch != epoch || routes.number != number {
		return false
	}
	if current := d.leaseEnds.Load(); current == nil || current.Before(leaseEnds) {
		d.leaseEnds.Store(&leaseEnds)
	}
	return true
}

// LeaseEnds returns when the router's lease expires; zero before the first lease.
func (d *Dispatcher) LeaseEnds() time.Time {
	if ends := d.leaseEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// SetServeWithoutLease sets how long requests are admitted after the last lease has
// expired, under the configuration in force.
func (d *Dispatcher) SetServeWithoutLease(period time.Duration) { d.withoutLease.Store(int64(period)) }

// ServeProvisionally admits requests from now on, before the first lease, under a
// configuration that no primary has confirmed since the router started, for as long as
// SetServeWithoutLease allows.
func (d *Dispatcher) ServeProvisionally(now time.Time) { d.provisionalAt.CompareAndSwap(nil, &now) }

// ServesUntil returns the time until which requests are admitted. Before the first lease this is
// the zero time, and no request is admitted, unless there is a provisional configuration and
// SetServeWithoutLease permits serving under it.
func (d *Dispatcher) ServesUntil() time.Time {
	ends := d.LeaseEnds()
	if provisional := d.provisionalAt.Load(); ends.IsZero() && provisional != nil && d.withoutLease.Load() > 0 {
		ends = *provisional
	}
	if ends.IsZero() {
		return ends
	}
	return ends.Add(time.Duration(d.withoutLease.Load()))
}

// SetForwarding sets whether new requests are forwarded to another router, because this
// router does not support an enabled feature flag.
func (d *Dispatcher) SetForwarding(enabled bool) { d.forwarding.Store(enabled) }

// Drain permanently stops the admission of requests.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool { return d.draining.Load() }

// InFlight returns the number of requests that have no final status yet.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// Counters returns the counters of requests by final status.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Budget returns the retry budget.
func (d *Dispatcher) Budget() *RetryBudget { return d.budget }

func (d *Dispatcher) shard(id string) *shard {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id))
	return &d.shards[digest.Sum32()%uint32(len(d.shards))]
}

func (d *Dispatcher) serviceCount(service string) *atomic.Int64 {
	count, _ := d.inFlightByService.LoadOrStore(service, &atomic.Int64{})
	return count.(*atomic.Int64)
}

// Arrive admits a request, or refuses it at once with a failure code and a detail. An
// idempotent request is dispatched immediately; any other request is claimed first.
func (d *Dispatcher) Arrive(now time.Time, request *Request) []Decision {
	d.counters.Arrived.Add(1)
	if d.draining.Load() {
		return d.refuse(request, failure.Draining, "this router is draining", time.Second)
	}
	if d.forwarding.Load() {
		return []Decision{{Kind: ForwardToPeer, ID: request.ID, Request: request}}
	}
	routes := d.routes.Load()
	if routes == nil || !now.Before(d.ServesUntil()) {
		return d.refuse(request, failure.NoLease, "no lease confirms the configuration of this router", time.Second)
	}
	route, err := routes.Match(request, d.zone)
	if err != nil {
		return d.refuse(request, err.Code, err.Detail, 0)
	}
	if d.inFlight.Load() >= d.maxRequests || d.serviceCount(request.Service).Load() >= int64(route.Service.MaxInFlight) {
		return d.refuse(request, failure.Busy, "the router or the service has reached its limit of requests in flight", d.market.RetryAfter(now))
	}
	admitted := *request
	admitted.Deadline = route.deadline(now, request.Deadline)
	entry := &requestState{request: &admitted, route: route, tried: map[string]bool{}, phase: readyToPrefill}
	bid, found := d.choose(now, entry)
	if !found {
		if d.allEvacuated(routes, route) {
			return d.refuse(request, failure.Evacuated, "every zone that the route allows is evacuated", 5*time.Second)
		}
		return d.refuse(request, failure.Busy, "no pair of servers has free capacity", d.market.RetryAfter(now))
	}
	if now.Add(bid.Price).After(admitted.Deadline) {
		return d.refuse(request, failure.Busy, "no pair of servers would finish before the deadline", d.market.RetryAfter(now))
	}
	s := d.shard(request.ID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.requests[request.ID]; found {
		return d.refuse(request, failure.Duplicate, "a request with this ID is in flight", 0)
	}
	s.requests[request.ID] = entry
	d.inFlight.Add(1)
	d.serviceCount(request.Service).Add(1)
	if !admitted.Idempotent {
		entry.phase = claiming
		return []Decision{{Kind: ClaimRequest, ID: request.ID, Request: &admitted, NotAfter: admitted.Deadline}}
	}
	return d.startRun(now, s, entry, bid, d.ServesUntil())
}

// find returns the state of a request and its shard, which the caller must unlock. It returns nil,
// and leaves the shard unlocked, if the request is not in flight, or if run is not negative and is
// not the request's current run, so that a late answer to an older run is dropped.
func (d *Dispatcher) find(id string, run int) (*shard, *requestState) {
	s := d.shard(id)
	s.mutex.Lock()
	entry, found := s.requests[id]
	if !found || (run >= 0 && entry.run != run) {
		s.mutex.Unlock()
		return nil, nil
	}
	return s, entry
}

// Claimed handles the answer to a claim.
func (d *Dispatcher) Claimed(now time.Time, id string, outcome Outcome, detail string) []Decision {
	s, entry := d.find(id, 0)
	if entry == nil || entry.phase != claiming {
		if s != nil {
			s.mutex.Unlock()
		}
		return nil
	}
	defer s.mutex.Unlock()
	if outcome == OutcomeDone {
		return d.dispatchPrefill(now, s, entry)
	}
	cause := failure.NoPrimary
	switch outcome {
	case OutcomeDuplicate:
		cause = failure.Duplicate
	case OutcomeTooOld:
		cause = failure.TooOld
	}
	decisions := d.finish(now, s, entry, Refused, cause)
	decisions[0].Detail = detail
	return decisions
}

// Prefilled handles the answer to a prefill dispatch; handle names the KV cache that the
// prefill created.
func (d *Dispatcher) Prefilled(now time.Time, id string, run int, outcome Outcome, handle string) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.phase != prefilling {
		return nil
	}
	server := entry.bid.Prefill.server.Name
	if outcome == OutcomeDone {
		entry.mayHaveRun, entry.mayBeRunning, entry.handle = true, false, handle
		entry.serverDeadline = now.Add(minServerTimeout)
		return d.dispatchDecode(now, s, entry, false)
	}
	d.release(entry)
	entry.tried[server] = true
	if outcome != OutcomeNotStarted {
		entry.mayHaveRun = true
		d.market.Avoid(now, server)
	}
	return d.retry(now, s, entry, outcome)
}

// HandleChunk handles one chunk of the stream, numbered from 1. If a chunk of the current run is
// not the next in order, the request ends as failed, so that no chunk is lost or repeated within a reply.
func (d *Dispatcher) HandleChunk(now time.Time, id string, run, chunk int, text string) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.phase != decoding {
		return nil
	}
	entry.mayHaveRun = true
	if chunk != entry.chunks+1 {
		d.market.Avoid(now, entry.bid.Decode.server.Name)
		return append(d.cancelCurrent(entry), d.finish(now, s, entry, Failed, failure.ServerFailed)...)
	}
	entry.chunks = chunk
	entry.serverDeadline = now.Add(chunkTimeout)
	return []Decision{{Kind: SendChunk, ID: id, Run: run, Chunk: chunk, Text: text}}
}

// Decoded handles the end of a decode that sent the given number of chunks.
func (d *Dispatcher) Decoded(now time.Time, id string, run int, outcome Outcome, chunks int) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.phase != decoding {
		return nil
	}
	server := entry.bid.Decode.server.Name
	if outcome == OutcomeDone {
		if chunks != entry.chunks {
			return d.finish(now, s, entry, Failed, failure.ServerFailed)
		}
		return d.finish(now, s, entry, Complete, "")
	}
	if outcome != OutcomeNotStarted {
		d.market.Avoid(now, server)
	}
	if entry.chunks > 0 {
		return d.finish(now, s, entry, Failed, failure.ServerFailed)
	}
	entry.tried[server] = true
	switch outcome {
	case OutcomeNotStarted:
		// The KV cache was not fetched, so another decode server may fetch it.
		entry.phase = readyToDecode
		entry.serverDeadline = now.Add(minServerTimeout)
		return d.dispatchDecode(now, s, entry, true)
	case OutcomeHandleExpired:
		delete(entry.tried, server)
	}
	return d.retry(now, s, entry, outcome)
}
