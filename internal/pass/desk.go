package pass

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

// Desk follows every inquiry of one courier from its arrival to its final
// line. Inquiries lie in shards, so that several threads may work on different
// ones; the views that they share are replaced, never altered.
type Desk struct {
	market   *Market
	budget   *Budget
	district string
	most     int64
	shards   [16]shard
	program  atomic.Pointer[Program]
	holdEnds atomic.Pointer[time.Time]
	passOn   atomic.Bool
	draining atomic.Bool
	inFlight atomic.Int64
	service  sync.Map
	tallies  Tallies
}

type shard struct {
	mutex   sync.Mutex
	tickets map[string]*ticket
}

// The patience with servers, beyond what their asks promise. The values are
// ours.
const (
	leastPatience = 2 * time.Second
	piecePatience = 3 * time.Second
	// holdPatience is how long an inquiry that was let in waits for the next
	// hold.
	holdPatience = 2 * time.Second
)

// NewDesk makes the desk of a courier that holds at most so many inquiries.
//
// Example:
//
//	desk := pass.NewDesk(market, "north", 512)
func NewDesk(market *Market, district string, most int) *Desk {
	desk := &Desk{market: market, budget: &Budget{}, district: district, most: int64(most)}
	for position := range desk.shards {
		desk.shards[position].tickets = map[string]*ticket{}
	}
	return desk
}

// SetProgram puts a configuration in force. An older one is passed over: what
// was in force never comes back.
//
// Example:
//
//	inForce := desk.SetProgram(program)
func (desk *Desk) SetProgram(program *Program) bool {
	for {
		current := desk.program.Load()
		if current != nil && (program.epoch < current.epoch || program.number <= current.number) {
			return false
		}
		if desk.program.CompareAndSwap(current, program) {
			return true
		}
	}
}

// InForce is the version of the configuration in force.
//
// Example:
//
//	epoch, number := desk.InForce()
func (desk *Desk) InForce() (epoch, number uint64) {
	if program := desk.program.Load(); program != nil {
		return program.epoch, program.number
	}
	return 0, 0
}

// Renew takes a hold that confirms a configuration's version. A hold for
// another version than the one in force lets nothing in.
//
// Example:
//
//	desk.Renew(holdEnds, version.Epoch, version.Number)
func (desk *Desk) Renew(holdEnds time.Time, epoch, number uint64) bool {
	program := desk.program.Load()
	if program == nil || program.epoch != epoch || program.number != number {
		return false
	}
	if current := desk.holdEnds.Load(); current == nil || current.Before(holdEnds) {
		desk.holdEnds.Store(&holdEnds)
	}
	return true
}

// HoldEnds is when the courier's hold runs out.
//
// Example:
//
//	if now.Before(desk.HoldEnds()) { ... }
func (desk *Desk) HoldEnds() time.Time {
	if ends := desk.holdEnds.Load(); ends != nil {
		return *ends
	}
	return time.Time{}
}

// SetPassOn tells whether the courier lacks an enabled flag and passes its
// inquiries to a capable node.
//
// Example:
//
//	desk.SetPassOn(true)
func (desk *Desk) SetPassOn(restricted bool) { desk.passOn.Store(restricted) }

// Drain stops letting in.
//
// Example:
//
//	desk.Drain()
func (desk *Desk) Drain() { desk.draining.Store(true) }

// Draining tells whether the desk lets nothing in any more.
//
// Example:
//
//	if desk.Draining() { ... }
func (desk *Desk) Draining() bool { return desk.draining.Load() }

// InFlight counts the inquiries that have no final line yet.
//
// Example:
//
//	for desk.InFlight() > 0 { ... }
func (desk *Desk) InFlight() int { return int(desk.inFlight.Load()) }

// Tallies counts what the desk has done.
//
// Example:
//
//	desk.Tallies().Complete.Load()
func (desk *Desk) Tallies() *Tallies { return &desk.tallies }

// Budget is the desk's budget of extra tries.
//
// Example:
//
//	first, extra := desk.Budget().Counts()
func (desk *Desk) Budget() *Budget { return desk.budget }

func (desk *Desk) shard(id string) *shard {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(id))
	return &desk.shards[digest.Sum32()%uint32(len(desk.shards))]
}

func (desk *Desk) serviceCount(service string) *atomic.Int64 {
	count, _ := desk.service.LoadOrStore(service, &atomic.Int64{})
	return count.(*atomic.Int64)
}

func (desk *Desk) refuse(inquiry *Inquiry, cause trouble.Kind, detail string, retry time.Duration) []Decision {
	desk.tallies.Refused.Add(1)
	return []Decision{{Kind: Finish, ID: inquiry.ID, Final: Refused, Cause: cause, Detail: detail, Retry: retry}}
}

// Arrive lets an inquiry in or refuses it at once.
//
// Example:
//
//	decisions := desk.Arrive(now, inquiry)
func (desk *Desk) Arrive(now time.Time, inquiry *Inquiry) []Decision {
	desk.tallies.Arrived.Add(1)
	if desk.draining.Load() {
		return desk.refuse(inquiry, trouble.Draining, "this courier is leaving", time.Second)
	}
	if desk.passOn.Load() {
		return []Decision{{Kind: PassOn, ID: inquiry.ID, Inquiry: inquiry}}
	}
	program := desk.program.Load()
	if program == nil || !now.Before(desk.HoldEnds()) {
		return desk.refuse(inquiry, trouble.NoHold, "the configuration in force is not confirmed", time.Second)
	}
	ruling, failure := program.Rule(inquiry, desk.district)
	if failure != nil {
		return desk.refuse(inquiry, failure.Kind, failure.Detail, 0)
	}
	if desk.inFlight.Load() >= desk.most || desk.serviceCount(inquiry.Service).Load() >= int64(ruling.Service.InFlight) {
		return desk.refuse(inquiry, trouble.Busy, "the courier has as many inquiries as it takes", desk.market.Relief(now))
	}
	settled := *inquiry
	settled.Limit = ruling.limit(now, inquiry.Limit)
	entry := &ticket{inquiry: &settled, ruling: ruling, tried: map[string]bool{}, stage: ready}
	bid, found := desk.choose(now, entry)
	if !found {
		if desk.nowhere(program, ruling) {
			return desk.refuse(inquiry, trouble.Evacuated, "every district that the route names is evacuated", 5*time.Second)
		}
		return desk.refuse(inquiry, trouble.Busy, "no pair of servers has room", desk.market.Relief(now))
	}
	if now.Add(bid.Price).After(settled.Limit) {
		return desk.refuse(inquiry, trouble.Busy, "no pair of servers would be in time", desk.market.Relief(now))
	}
	shard := desk.shard(inquiry.ID)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if _, found := shard.tickets[inquiry.ID]; found {
		return desk.refuse(inquiry, trouble.Duplicate, "the inquiry is under way", 0)
	}
	shard.tickets[inquiry.ID] = entry
	desk.inFlight.Add(1)
	desk.serviceCount(inquiry.Service).Add(1)
	if !settled.Repeatable {
		entry.stage = claiming
		return []Decision{{Kind: ClaimInquiry, ID: inquiry.ID, Inquiry: &settled, NotAfter: settled.Limit}}
	}
	return desk.dispatchPrefill(now, shard, entry)
}

// nowhere tells whether evacuations leave a route no listed server.
func (desk *Desk) nowhere(program *Program, ruling *Ruling) bool {
	listed, _ := desk.market.Loads(time.Time{})
	for _, server := range listed {
		if program.Allows(ruling, server) {
			return false
		}
	}
	return len(listed) > 0 && len(program.evacuations) > 0
}

func (desk *Desk) choose(now time.Time, entry *ticket) (Bid, bool) {
	program := desk.program.Load()
	return desk.market.Choose(now, entry.inquiry, entry.ruling, func(server roster.Server) bool {
		return program.Allows(entry.ruling, server)
	}, entry.tried)
}

// dispatchPrefill sends a run's prompt to the pair's first server. Each run
// after the first is an extra try.
func (desk *Desk) dispatchPrefill(now time.Time, shard *shard, entry *ticket) []Decision {
	inquiry := entry.inquiry
	if !now.Before(inquiry.Limit) {
		return desk.giveUp(now, shard, entry, trouble.LimitPassed)
	}
	holdEnds := desk.HoldEnds()
	if !now.Before(holdEnds) {
		return desk.awaitHold(now, shard, entry, ready)
	}
	entry.holdless = time.Time{}
	bid, found := desk.choose(now, entry)
	if !found {
		return desk.giveUp(now, shard, entry, trouble.Busy)
	}
	var decisions []Decision
	if entry.dispatches == 0 {
		desk.budget.First()
	} else {
		cost := 1
		if entry.answering {
			cost = 2
		}
		if entry.dispatches >= entry.ruling.Service.Tries || !desk.budget.Extra(cost) {
			return desk.giveUp(now, shard, entry, trouble.BudgetSpent)
		}
		entry.answering = false
		decisions = append(decisions, Decision{Kind: NoteRetry, ID: inquiry.ID, Run: entry.run + 1})
	}
	entry.dispatches++
	entry.run++
	entry.bid, entry.stage, entry.handle = bid, prefilling, ""
	entry.reserved = true
	desk.market.Reserve(bid, inquiry)
	entry.patience = now.Add(leastPatience + 4*bid.Price)
	pair := &recipe.Pair{Inquiry: inquiry.ID, Run: entry.run, Prefill: bid.Prefill.server.Name, Decode: bid.Decode.server.Name, Price: bid.Price, HandOver: bid.HandOver}
	return append(decisions,
		Decision{Kind: NotePair, ID: inquiry.ID, Run: entry.run, Pair: pair},
		Decision{Kind: DispatchPrefill, ID: inquiry.ID, Run: entry.run, Inquiry: inquiry, NotAfter: earlier(inquiry.Limit, holdEnds),
			Server: bid.Prefill.server.Name, Address: bid.Prefill.server.Address})
}

// awaitHold keeps an inquiry that was let in for the next hold, but not until
// its limit: when none comes soon its caller is told so.
func (desk *Desk) awaitHold(now time.Time, shard *shard, entry *ticket, stage stage) []Decision {
	if entry.holdless.IsZero() {
		entry.holdless = now
	}
	if now.Sub(entry.holdless) > holdPatience {
		return desk.giveUp(now, shard, entry, trouble.NoHold)
	}
	entry.stage = stage
	return nil
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// dispatchDecode hands the prompt's memory over to the pair's second server,
// or to another when that one has no room any more.
func (desk *Desk) dispatchDecode(now time.Time, shard *shard, entry *ticket, extra bool) []Decision {
	inquiry := entry.inquiry
	if !now.Before(inquiry.Limit) {
		return desk.giveUp(now, shard, entry, trouble.LimitPassed)
	}
	holdEnds := desk.HoldEnds()
	if !now.Before(holdEnds) {
		return desk.awaitHold(now, shard, entry, handing)
	}
	entry.holdless = time.Time{}
	desk.release(entry)
	program := desk.program.Load()
	allowed := func(server roster.Server) bool { return program.Allows(entry.ruling, server) }
	source := entry.bid.Prefill.server
	planned := entry.bid.Decode
	tried := map[string]bool{}
	for _, stall := range desk.market.board.Load().stalls {
		tried[stall.server.Name] = stall.server.Name != planned.server.Name
	}
	var bid Bid
	found := false
	if !entry.tried[planned.server.Name] {
		bid, found = desk.market.ChooseDecode(now, inquiry, source.Name, allowed, tried)
	}
	if !found {
		bid, found = desk.market.ChooseDecode(now, inquiry, source.Name, allowed, entry.tried)
	}
	if !found {
		// A prompt that was read is worth a short wait for room.
		if now.Before(entry.patience) {
			entry.stage = handing
			return nil
		}
		return desk.giveUp(now, shard, entry, trouble.Busy)
	}
	if extra && (entry.dispatches >= entry.ruling.Service.Tries || !desk.budget.Extra(1)) {
		return desk.giveUp(now, shard, entry, trouble.BudgetSpent)
	}
	var decisions []Decision
	if extra {
		entry.dispatches++
		decisions = append(decisions, Decision{Kind: NoteRetry, ID: inquiry.ID, Run: entry.run})
	}
	entry.bid, entry.stage, entry.answering = bid, decoding, true
	desk.market.Take(bid, inquiry)
	entry.patience = now.Add(leastPatience + 4*bid.HandOver)
	return append(decisions, Decision{Kind: DispatchDecode, ID: inquiry.ID, Run: entry.run, Inquiry: inquiry, NotAfter: earlier(inquiry.Limit, holdEnds),
		Server: bid.Decode.server.Name, Address: bid.Decode.server.Address, SourceAddress: source.Address, Handle: entry.handle})
}

func (desk *Desk) release(entry *ticket) {
	if entry.reserved {
		desk.market.Release(entry.bid)
		entry.reserved = false
	}
}

// giveUp ends an inquiry that gets no further dispatch, with the word that is
// certain: refused when it never ran, unknown when a server may be running it.
func (desk *Desk) giveUp(now time.Time, shard *shard, entry *ticket, cause trouble.Kind) []Decision {
	final := Failed
	switch {
	case !entry.everRan && !entry.started:
		final = Refused
	case entry.started && !entry.inquiry.Repeatable && entry.pieces == 0:
		final = Unknown
	}
	var decisions []Decision
	if entry.started {
		decisions = append(decisions, desk.cancelCurrent(entry)...)
	}
	return append(decisions, desk.finish(now, shard, entry, final, cause)...)
}

func (desk *Desk) cancelCurrent(entry *ticket) []Decision {
	stall := entry.bid.Prefill
	if entry.stage == decoding {
		stall = entry.bid.Decode
	}
	if stall == nil {
		return nil
	}
	return []Decision{{Kind: Cancel, ID: entry.inquiry.ID, Run: entry.run, Server: stall.server.Name, Address: stall.server.Address}}
}

func (desk *Desk) finish(now time.Time, shard *shard, entry *ticket, final Final, cause trouble.Kind) []Decision {
	desk.release(entry)
	delete(shard.tickets, entry.inquiry.ID)
	desk.inFlight.Add(-1)
	desk.serviceCount(entry.inquiry.Service).Add(-1)
	desk.tallies.count(final)
	decision := Decision{Kind: Finish, ID: entry.inquiry.ID, Run: entry.run, Final: final, Cause: cause, Pieces: entry.pieces}
	if final == Refused || final == Failed {
		decision.Retry = desk.market.Relief(now)
	}
	return []Decision{decision}
}

// find locks the shard of an inquiry and returns its ticket if the run is the
// present one; late news of an older run finds nothing.
func (desk *Desk) find(id string, run int) (*shard, *ticket) {
	shard := desk.shard(id)
	shard.mutex.Lock()
	entry, found := shard.tickets[id]
	if !found || (run >= 0 && entry.run != run) {
		shard.mutex.Unlock()
		return nil, nil
	}
	return shard, entry
}

// Claimed takes the answer to a claim.
//
// Example:
//
//	decisions := desk.Claimed(now, "inquiry-1", pass.Done, "")
func (desk *Desk) Claimed(now time.Time, id string, outcome Outcome, detail string) []Decision {
	shard, entry := desk.find(id, 0)
	if entry == nil || entry.stage != claiming {
		if shard != nil {
			shard.mutex.Unlock()
		}
		return nil
	}
	defer shard.mutex.Unlock()
	if outcome == Done {
		return desk.dispatchPrefill(now, shard, entry)
	}
	cause := trouble.NoPrimary
	switch outcome {
	case Duplicate:
		cause = trouble.Duplicate
	case TooOld:
		cause = trouble.TooOld
	}
	decisions := desk.finish(now, shard, entry, Refused, cause)
	decisions[0].Detail = detail
	return decisions
}

// Prefilled takes the answer to a prefill dispatch.
//
// Example:
//
//	decisions := desk.Prefilled(now, "inquiry-1", 1, pass.Done, "handle-1")
func (desk *Desk) Prefilled(now time.Time, id string, run int, outcome Outcome, handle string) []Decision {
	shard, entry := desk.find(id, run)
	if entry == nil {
		return nil
	}
	defer shard.mutex.Unlock()
	if entry.stage != prefilling {
		return nil
	}
	server := entry.bid.Prefill.server.Name
	if outcome == Done {
		entry.everRan, entry.started, entry.handle = true, false, handle
		entry.patience = now.Add(leastPatience)
		return desk.dispatchDecode(now, shard, entry, false)
	}
	desk.release(entry)
	entry.tried[server] = true
	if outcome != NotStarted {
		entry.everRan = true
		desk.market.Avoid(now, server)
	}
	return desk.again(now, shard, entry, outcome)
}

// again tries an inquiry anew if that is allowed: one that may not be repeated
// only when the server certainly did not start.
func (desk *Desk) again(now time.Time, shard *shard, entry *ticket, outcome Outcome) []Decision {
	if !entry.inquiry.Repeatable && entry.everRan {
		final := Failed
		if outcome == Uncertain {
			final = Unknown
		}
		return desk.finish(now, shard, entry, final, trouble.ServerFailed)
	}
	return desk.dispatchPrefill(now, shard, entry)
}

// Piece takes one piece of the stream. Pieces that are not the next one of the
// present run end the stream: it is never spliced.
//
// Example:
//
//	decisions := desk.Piece(now, "inquiry-1", 1, 1, "text")
func (desk *Desk) Piece(now time.Time, id string, run, piece int, text string) []Decision {
	shard, entry := desk.find(id, run)
	if entry == nil {
		return nil
	}
	defer shard.mutex.Unlock()
	if entry.stage != decoding {
		return nil
	}
	entry.everRan = true
	if piece != entry.pieces+1 {
		desk.market.Avoid(now, entry.bid.Decode.server.Name)
		return append(desk.cancelCurrent(entry), desk.finish(now, shard, entry, Failed, trouble.ServerFailed)...)
	}
	entry.pieces = piece
	entry.patience = now.Add(piecePatience)
	return []Decision{{Kind: SendPiece, ID: id, Run: run, Piece: piece, Text: text}}
}

// Decoded takes the end of a decode.
//
// Example:
//
//	decisions := desk.Decoded(now, "inquiry-1", 1, pass.Done, 20)
func (desk *Desk) Decoded(now time.Time, id string, run int, outcome Outcome, pieces int) []Decision {
	shard, entry := desk.find(id, run)
	if entry == nil {
		return nil
	}
	defer shard.mutex.Unlock()
	if entry.stage != decoding {
		return nil
	}
	server := entry.bid.Decode.server.Name
	if outcome == Done {
		if pieces != entry.pieces {
			return desk.finish(now, shard, entry, Failed, trouble.ServerFailed)
		}
		return desk.finish(now, shard, entry, Complete, "")
	}
	if outcome != NotStarted {
		desk.market.Avoid(now, server)
	}
	if entry.pieces > 0 {
		return desk.finish(now, shard, entry, Failed, trouble.ServerFailed)
	}
	entry.tried[server] = true
	switch outcome {
	case NotStarted:
		// The handle was not taken up: another server may.
		entry.stage = handing
		entry.patience = now.Add(leastPatience)
		return desk.dispatchDecode(now, shard, entry, true)
	case Lapsed:
		delete(entry.tried, server)
	}
	return desk.again(now, shard, entry, outcome)
}

// Leave takes the news that the origin closed its circuit.
//
// Example:
//
//	decisions := desk.Leave(now, "inquiry-1")
func (desk *Desk) Leave(now time.Time, id string) []Decision {
	shard, entry := desk.find(id, -1)
	if entry == nil {
		return nil
	}
	defer shard.mutex.Unlock()
	entry.started = entry.started || entry.stage == prefilling || entry.stage == decoding
	return desk.giveUp(now, shard, entry, trouble.OriginLeft)
}

// Tick ends what has lost its limit or its patience, and goes on with what
// waited for a hold.
//
// Example:
//
//	decisions := desk.Tick(now)
func (desk *Desk) Tick(now time.Time) []Decision {
	var decisions []Decision
	for position := range desk.shards {
		shard := &desk.shards[position]
		shard.mutex.Lock()
		for _, id := range sortedIDs(shard.tickets) {
			decisions = append(decisions, desk.tickOne(now, shard, shard.tickets[id])...)
		}
		shard.mutex.Unlock()
	}
	return decisions
}

func (desk *Desk) tickOne(now time.Time, shard *shard, entry *ticket) []Decision {
	dispatched := entry.stage == prefilling || entry.stage == decoding
	if !now.Before(entry.inquiry.Limit) {
		entry.started = entry.started || dispatched
		return desk.giveUp(now, shard, entry, trouble.LimitPassed)
	}
	switch entry.stage {
	case ready:
		return desk.dispatchPrefill(now, shard, entry)
	case handing:
		return desk.dispatchDecode(now, shard, entry, false)
	case claiming:
		return nil
	}
	if now.Before(entry.patience) {
		return nil
	}
	// The server is dark, or far slower than it asked for.
	stall := entry.bid.Prefill
	if entry.stage == decoding {
		stall = entry.bid.Decode
	}
	if entry.pieces == 0 && !entry.inquiry.Repeatable {
		if desk.market.reports(now, stall.server) {
			// It is slow, but there; nothing else could be tried.
			return nil
		}
		// Whether it ran can't be known any more, and waiting would not tell.
		entry.started = true
		return desk.giveUp(now, shard, entry, trouble.ServerFailed)
	}
	desk.market.Avoid(now, stall.server.Name)
	decisions := desk.cancelCurrent(entry)
	entry.everRan = true
	if entry.pieces > 0 {
		return append(decisions, desk.finish(now, shard, entry, Failed, trouble.ServerFailed)...)
	}
	desk.release(entry)
	entry.tried[stall.server.Name] = true
	return append(decisions, desk.again(now, shard, entry, Uncertain)...)
}
