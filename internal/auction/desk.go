package auction

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Desk follows every request of one router from its arrival to its final
// line. Requests lie in shards, so that several threads may work on different
// ones; the views that they share are replaced, never altered.
type Desk struct {
	market    *Market
	budget    *Budget
	zone      string
	most      int64
	shards    [16]shard
	program   atomic.Pointer[Program]
	leaseEnds atomic.Pointer[time.Time]
	// withoutLease is how long the desk goes on after its last hold.
	withoutLease atomic.Int64
	// lentAt is when a configuration was lent to it before its first hold.
	lentAt   atomic.Pointer[time.Time]
	passOn   atomic.Bool
	draining atomic.Bool
	inFlight atomic.Int64
	service  sync.Map
	counters Counters
}

type shard struct {
	mutex   sync.Mutex
	tickets map[string]*ticket
}

// The patience with servers, beyond what their asks promise. The values are
// ours.
const (
	leastPatience = 2 * time.Second
	chunkPatience = 3 * time.Second
	// leaseTimeout is how long a request that was admitted waits for the next
	// hold.
	leaseTimeout = 2 * time.Second
)

// NewDesk makes the desk of a router that holds at most so many requests.
func NewDesk(market *Market, zone string, most int) *Desk {
	desk := &Desk{market: market, budget: &Budget{}, zone: zone, most: int64(most)}
	for position := range desk.shards {
		desk.shards[position].tickets = map[string]*ticket{}
	}
	return desk
}

// SetProgram puts a configuration in force. An older one is passed over: what
// was in force never comes back.
func (d *Desk) SetProgram(program *Program) bool {
	for {
		current := d.program.Load()
		if current != nil && (program.epoch < current.epoch || program.number <= current.number) {
			return false
		}
		if d.program.CompareAndSwap(current, program) {
			return true
		}
	}
}

// InForce is the version of the configuration in force.
func (d *Desk) InForce() (epoch, number uint64) {
	if program := d.program.Load(); program != nil {
		return program.epoch, program.number
	}
	return 0, 0
}

// Renew takes a hold that confirms a configuration's version. A hold for
// another version than the one in force lets nothing in.
func (d *Desk) Renew(leaseEnds time.Time, epoch, number uint64) bool {
	program := d.program.Load()
	if program == nil || program.epoch != epoch || program.number != number {
		return false
	}
	if current := d.leaseEnds.Load(); current == nil || current.Before(leaseEnds) {
		d.leaseEnds.Store(&leaseEnds)
	}
	return true
}

// LeaseEnds is when the router's hold runs out.
func (d *Desk) LeaseEnds() time.Time {
	if ends := d.leaseEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// SetServeWithoutLease chooses how long the desk goes on after its last hold, with the
// configuration that is in force.
func (d *Desk) SetServeWithoutLease(length time.Duration) { d.withoutLease.Store(int64(length)) }

// ServeFrom has the desk admitted before its first hold, under a configuration that no
// primary has confirmed in its life, for as long as it goes on without a hold.
func (d *Desk) ServeFrom(now time.Time) { d.lentAt.CompareAndSwap(nil, &now) }

// ServesUntil is until when the desk admits; without any hold in its life, and no
// configuration lent to it, it lets nothing in.
func (d *Desk) ServesUntil() time.Time {
	ends := d.LeaseEnds()
	if lent := d.lentAt.Load(); ends.IsZero() && lent != nil && d.withoutLease.Load() > 0 {
		ends = *lent
	}
	if ends.IsZero() {
		return ends
	}
	return ends.Add(time.Duration(d.withoutLease.Load()))
}

// SetPassOn tells whether the router lacks an enabled flag and passes its
// requests to a capable node.
func (d *Desk) SetPassOn(restricted bool) { d.passOn.Store(restricted) }

// Drain stops letting in.
func (d *Desk) Drain() { d.draining.Store(true) }

// Draining tells whether the desk lets nothing in any more.
func (d *Desk) Draining() bool { return d.draining.Load() }

// InFlight counts the requests that have no final line yet.
func (d *Desk) InFlight() int { return int(d.inFlight.Load()) }

// Counters counts what the desk has done.
func (d *Desk) Counters() *Counters { return &d.counters }

// Budget is the desk's budget of extra tries.
func (d *Desk) Budget() *Budget { return d.budget }

func (d *Desk) shard(id string) *shard {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id))
	return &d.shards[digest.Sum32()%uint32(len(d.shards))]
}

func (d *Desk) serviceCount(service string) *atomic.Int64 {
	count, _ := d.service.LoadOrStore(service, &atomic.Int64{})
	return count.(*atomic.Int64)
}

// Arrive lets a request in or refuses it at once.
func (d *Desk) Arrive(now time.Time, request *Request) []Decision {
	d.counters.Arrived.Add(1)
	if d.draining.Load() {
		return d.refuse(request, failure.Draining, "this courier is leaving", time.Second)
	}
	if d.passOn.Load() {
		return []Decision{{Kind: PassOn, ID: request.ID, Request: request}}
	}
	program := d.program.Load()
	if program == nil || !now.Before(d.ServesUntil()) {
		return d.refuse(request, failure.NoLease, "the configuration in force is not confirmed", time.Second)
	}
	ruling, err := program.Rule(request, d.zone)
	if err != nil {
		return d.refuse(request, err.Code, err.Detail, 0)
	}
	if d.inFlight.Load() >= d.most || d.serviceCount(request.Service).Load() >= int64(ruling.Service.InFlight) {
		return d.refuse(request, failure.Busy, "the courier has as many inquiries as it takes", d.market.Relief(now))
	}
	settled := *request
	settled.Limit = ruling.limit(now, request.Limit)
	entry := &ticket{request: &settled, ruling: ruling, tried: map[string]bool{}, stage: ready}
	bid, found := d.choose(now, entry)
	if !found {
		if d.nowhere(program, ruling) {
			return d.refuse(request, failure.Evacuated, "every district that the route names is evacuated", 5*time.Second)
		}
		return d.refuse(request, failure.Busy, "no pair of servers has room", d.market.Relief(now))
	}
	if now.Add(bid.Price).After(settled.Limit) {
		return d.refuse(request, failure.Busy, "no pair of servers would be in time", d.market.Relief(now))
	}
	s := d.shard(request.ID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.tickets[request.ID]; found {
		return d.refuse(request, failure.Duplicate, "the inquiry is under way", 0)
	}
	s.tickets[request.ID] = entry
	d.inFlight.Add(1)
	d.serviceCount(request.Service).Add(1)
	if !settled.Idempotent {
		entry.stage = claiming
		return []Decision{{Kind: ClaimRequest, ID: request.ID, Request: &settled, NotAfter: settled.Limit}}
	}
	return d.takeUp(now, s, entry, bid, d.ServesUntil())
}

// find locks the shard of a request and returns its ticket if the run is the
// present one; late news of an older run finds nothing.
func (d *Desk) find(id string, run int) (*shard, *ticket) {
	s := d.shard(id)
	s.mutex.Lock()
	entry, found := s.tickets[id]
	if !found || (run >= 0 && entry.run != run) {
		s.mutex.Unlock()
		return nil, nil
	}
	return s, entry
}

// Claimed takes the answer to a claim.
func (d *Desk) Claimed(now time.Time, id string, outcome Outcome, detail string) []Decision {
	s, entry := d.find(id, 0)
	if entry == nil || entry.stage != claiming {
		if s != nil {
			s.mutex.Unlock()
		}
		return nil
	}
	defer s.mutex.Unlock()
	if outcome == Done {
		return d.dispatchPrefill(now, s, entry)
	}
	cause := failure.NoPrimary
	switch outcome {
	case Duplicate:
		cause = failure.Duplicate
	case TooOld:
		cause = failure.TooOld
	}
	decisions := d.finish(now, s, entry, Refused, cause)
	decisions[0].Detail = detail
	return decisions
}

// Prefilled takes the answer to a prefill dispatch.
func (d *Desk) Prefilled(now time.Time, id string, run int, outcome Outcome, handle string) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.stage != prefilling {
		return nil
	}
	server := entry.bid.Prefill.server.Name
	if outcome == Done {
		entry.everRan, entry.started, entry.handle = true, false, handle
		entry.patience = now.Add(leastPatience)
		return d.dispatchDecode(now, s, entry, false)
	}
	d.release(entry)
	entry.tried[server] = true
	if outcome != NotStarted {
		entry.everRan = true
		d.market.Avoid(now, server)
	}
	return d.again(now, s, entry, outcome)
}

// Chunk takes one chunk of the stream. Chunks that are not the next one of the
// present run end the stream: it is never spliced.
func (d *Desk) Chunk(now time.Time, id string, run, chunk int, text string) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.stage != decoding {
		return nil
	}
	entry.everRan = true
	if chunk != entry.chunks+1 {
		d.market.Avoid(now, entry.bid.Decode.server.Name)
		return append(d.cancelCurrent(entry), d.finish(now, s, entry, Failed, failure.ServerFailed)...)
	}
	entry.chunks = chunk
	entry.patience = now.Add(chunkPatience)
	return []Decision{{Kind: SendChunk, ID: id, Run: run, Chunk: chunk, Text: text}}
}

// Decoded takes the end of a decode.
func (d *Desk) Decoded(now time.Time, id string, run int, outcome Outcome, chunks int) []Decision {
	s, entry := d.find(id, run)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	if entry.stage != decoding {
		return nil
	}
	server := entry.bid.Decode.server.Name
	if outcome == Done {
		if chunks != entry.chunks {
			return d.finish(now, s, entry, Failed, failure.ServerFailed)
		}
		return d.finish(now, s, entry, Complete, "")
	}
	if outcome != NotStarted {
		d.market.Avoid(now, server)
	}
	if entry.chunks > 0 {
		return d.finish(now, s, entry, Failed, failure.ServerFailed)
	}
	entry.tried[server] = true
	switch outcome {
	case NotStarted:
		// The handle was not taken up: another server may.
		entry.stage = handing
		entry.patience = now.Add(leastPatience)
		return d.dispatchDecode(now, s, entry, true)
	case Lapsed:
		delete(entry.tried, server)
	}
	return d.again(now, s, entry, outcome)
}
