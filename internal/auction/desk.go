package auction

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Dispatcher follows every request of one router from its arrival to its final
// line. Requests lie in shards, so that several threads may work on different
// ones; the views that they share are replaced, never altered.
type Dispatcher struct {
	market      *Market
	budget      *RetryBudget
	zone        string
	maxRequests int64
	shards      [16]shard
	routes      atomic.Pointer[RouteTable]
	leaseEnds   atomic.Pointer[time.Time]
	// withoutLease is how long the desk goes on after its last hold.
	withoutLease atomic.Int64
	// provisionalAt is when a configuration was lent to it before its first hold.
	provisionalAt     atomic.Pointer[time.Time]
	forwarding        atomic.Bool
	draining          atomic.Bool
	inFlight          atomic.Int64
	inFlightByService sync.Map
	counters          Counters
}

type shard struct {
	mutex    sync.Mutex
	requests map[string]*requestState
}

// The patience with servers, beyond what their asks promise. The values are
// ours.
const (
	minServerTimeout = 2 * time.Second
	chunkTimeout     = 3 * time.Second
	// leaseTimeout is how long a request that was admitted waits for the next
	// hold.
	leaseTimeout = 2 * time.Second
)

// NewDispatcher makes the desk of a router that holds at most so many requests.
func NewDispatcher(market *Market, zone string, maxRequests int) *Dispatcher {
	d := &Dispatcher{market: market, budget: &RetryBudget{}, zone: zone, maxRequests: int64(maxRequests)}
	for position := range d.shards {
		d.shards[position].requests = map[string]*requestState{}
	}
	return d
}

// SetRouteTable puts a configuration in force. An older one is passed over: what
// was in force never comes back.
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

// InForce is the version of the configuration in force.
func (d *Dispatcher) InForce() (epoch, number uint64) {
	if routes := d.routes.Load(); routes != nil {
		return routes.epoch, routes.number
	}
	return 0, 0
}

// Renew takes a hold that confirms a configuration's version. A hold for
// another version than the one in force lets nothing in.
func (d *Dispatcher) Renew(leaseEnds time.Time, epoch, number uint64) bool {
	routes := d.routes.Load()
	if routes == nil || routes.epoch != epoch || routes.number != number {
		return false
	}
	if current := d.leaseEnds.Load(); current == nil || current.Before(leaseEnds) {
		d.leaseEnds.Store(&leaseEnds)
	}
	return true
}

// LeaseEnds is when the router's hold runs out.
func (d *Dispatcher) LeaseEnds() time.Time {
	if ends := d.leaseEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// SetServeWithoutLease chooses how long the desk goes on after its last hold, with the
// configuration that is in force.
func (d *Dispatcher) SetServeWithoutLease(period time.Duration) { d.withoutLease.Store(int64(period)) }

// ServeProvisionally has the desk admitted before its first hold, under a configuration that no
// primary has confirmed in its life, for as long as it goes on without a hold.
func (d *Dispatcher) ServeProvisionally(now time.Time) { d.provisionalAt.CompareAndSwap(nil, &now) }

// ServesUntil is until when the desk admits; without any hold in its life, and no
// configuration lent to it, it lets nothing in.
func (d *Dispatcher) ServesUntil() time.Time {
	ends := d.LeaseEnds()
	if lent := d.provisionalAt.Load(); ends.IsZero() && lent != nil && d.withoutLease.Load() > 0 {
		ends = *lent
	}
	if ends.IsZero() {
		return ends
	}
	return ends.Add(time.Duration(d.withoutLease.Load()))
}

// SetForwarding tells whether the router lacks an enabled flag and passes its
// requests to a capable node.
func (d *Dispatcher) SetForwarding(restricted bool) { d.forwarding.Store(restricted) }

// Drain stops letting in.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Draining tells whether the desk lets nothing in any more.
func (d *Dispatcher) Draining() bool { return d.draining.Load() }

// InFlight counts the requests that have no final line yet.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// Counters counts what the desk has done.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// RetryBudget is the desk's budget of extra tries.
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

// Arrive lets a request in or refuses it at once.
func (d *Dispatcher) Arrive(now time.Time, request *Request) []Decision {
	d.counters.Arrived.Add(1)
	if d.draining.Load() {
		return d.refuse(request, failure.Draining, "this courier is leaving", time.Second)
	}
	if d.forwarding.Load() {
		return []Decision{{Kind: ForwardToPeer, ID: request.ID, Request: request}}
	}
	routes := d.routes.Load()
	if routes == nil || !now.Before(d.ServesUntil()) {
		return d.refuse(request, failure.NoLease, "the configuration in force is not confirmed", time.Second)
	}
	route, err := routes.Match(request, d.zone)
	if err != nil {
		return d.refuse(request, err.Code, err.Detail, 0)
	}
	if d.inFlight.Load() >= d.maxRequests || d.serviceCount(request.Service).Load() >= int64(route.Service.InFlight) {
		return d.refuse(request, failure.Busy, "the courier has as many inquiries as it takes", d.market.RetryAfter(now))
	}
	admitted := *request
	admitted.Deadline = route.deadline(now, request.Deadline)
	entry := &requestState{request: &admitted, route: route, tried: map[string]bool{}, phase: readyToPrefill}
	bid, found := d.choose(now, entry)
	if !found {
		if d.allEvacuated(routes, route) {
			return d.refuse(request, failure.Evacuated, "every district that the route names is evacuated", 5*time.Second)
		}
		return d.refuse(request, failure.Busy, "no pair of servers has room", d.market.RetryAfter(now))
	}
	if now.Add(bid.Price).After(admitted.Deadline) {
		return d.refuse(request, failure.Busy, "no pair of servers would be in time", d.market.RetryAfter(now))
	}
	s := d.shard(request.ID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.requests[request.ID]; found {
		return d.refuse(request, failure.Duplicate, "the inquiry is under way", 0)
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

// find locks the shard of a request and returns its ticket if the run is the
// present one; late news of an older run finds nothing.
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

// Claimed takes the answer to a claim.
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

// Prefilled takes the answer to a prefill dispatch.
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

// Chunk takes one chunk of the stream. Chunks that are not the next one of the
// present run end the stream: it is never spliced.
func (d *Dispatcher) Chunk(now time.Time, id string, run, chunk int, text string) []Decision {
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

// Decoded takes the end of a decode.
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
		// The handle was not taken up: another server may.
		entry.phase = readyToDecode
		entry.serverDeadline = now.Add(minServerTimeout)
		return d.dispatchDecode(now, s, entry, true)
	case OutcomeHandleExpired:
		delete(entry.tried, server)
	}
	return d.retry(now, s, entry, outcome)
}
