package hatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// Courier is the data plane's conduct at one node: it follows the primary, has
// inquiries decided by the core, and carries the decisions out.
type Courier struct {
	turns   runtime.Runtime
	line    Hotline
	stove   Stove
	passing Passing
	options CourierOptions
	observe func(event string, detail ...any)
	core    *seamloom.Core
	board   Board
	// stirred rings when there is more to do than before, crumbs when records are to
	// go to a neighbour.
	stirred runtime.Cond
	resting atomic.Int64
	// couriers is how many share the servers.
	couriers    atomic.Int64
	crumbs      runtime.Cond
	followed    *Follower
	journal     *Journal
	answers     Answers
	passages    passages
	incarnation string
	keepers     *CountKeepers

	mutex   sync.Mutex
	streams map[string]*stream
	tokens  map[string]string
	members map[string]membership.Member
	nodes   []membership.Node

	listMutex sync.Mutex
	listing   membership.Listing
	watched   map[string]bool
}

// The pauses of a courier's rounds. The values are ours.
const (
	courierTick = 20 * time.Millisecond
	// dutyTick is the tick of a courier that has duties and no inquiries, and
	// restTick of one that has neither.
	dutyTick    = 200 * time.Millisecond
	restTick    = time.Minute
	crumbsPause = 250 * time.Millisecond
	neighbours  = 3
	// claimTime is how long a claim is tried for altogether: a pair that was
	// broken is whole again in about a second. Longer would only hold the caller
	// back.
	claimTime = 3 * time.Second
	// claimPause is the time between two tries of a claim.
	claimPause = 60 * time.Millisecond
	// actPatience is how long an order or a command may take.
	actPatience = time.Second
)

// NewCourier makes the conduct of one courier.
func NewCourier(turns runtime.Runtime, line Hotline, stove Stove, passing Passing, options CourierOptions, observe func(string, ...any)) *Courier {
	courier := &Courier{turns: turns, line: line, stove: stove, passing: passing, options: options, observe: observe,
		core: seamloom.New(options.Options), stirred: turns.NewCond(), crumbs: turns.NewCond(), journal: newJournal(), incarnation: options.Nonce(),
		streams: map[string]*stream{}, tokens: map[string]string{}, members: map[string]membership.Member{}, watched: map[string]bool{}}
	member := membership.Member{Name: options.Courier, Kind: membership.Courier, Address: options.Address, District: options.District, Supported: options.Supported}
	courier.followed = NewFollower(turns, line, member, options.Seeds, courier.InForce, courier.takeNews)
	if options.Board != nil {
		courier.board = options.Board(courier.core.Calls())
		courier.keepers = NewCountKeepers(turns, line, courier.core.Calls(), options.Courier, courier.incarnation)
		courier.core.Calls().SetAsks(true)
		courier.followed.TellFailing(courier.core.Calls().TakeFailing)
		courier.board.SetKeepers(courier.keepers)
	}
	courier.followed.Follow(options.Directory != nil, courier.board != nil)
	courier.followed.SetApplyWithin(options.ApplyWithin)
	courier.SetServeWithoutHold(options.ServeWithoutHold)
	courier.answers = courier.table()
	return courier
}

// Rounds are what a courier does over and over, each in a thread of its own.
func (courier *Courier) Rounds() []func() {
	rounds := []func(){
		courier.tick,
		courier.leaveCrumbs,
		courier.followed.Run,
	}
	if courier.options.Directory != nil {
		rounds = append(rounds, courier.readList, courier.readNodes)
	}
	if courier.keepers != nil {
		rounds = append(rounds, courier.keepers.Tell)
	}
	return rounds
}

// tick lets the core see the time go on: often while inquiries are under way, seldom
// while there are only duties, and hardly ever otherwise.
func (courier *Courier) tick() {
	for courier.turns.Alive() {
		courier.Apply(auction.Event{Kind: auction.Ticked})
		pause := courier.tickPause()
		// Whoever gives the core more to do looks at this after it has, and rings.
		courier.resting.Store(int64(pause))
		courier.stirred.Wait(pause, func() bool { return courier.tickPause() < pause })
	}
}

// stir wakes the ticking if it rests for longer than it should.
func (courier *Courier) stir() {
	if int64(courier.tickPause()) < courier.resting.Load() {
		courier.stirred.Broadcast()
	}
}

func (courier *Courier) tickPause() time.Duration {
	switch {
	case courier.core.InFlight() > 0:
		return courierTick
	case courier.core.Dutiful():
		return dutyTick
	}
	return restTick
}

// Core is the deciding core.
func (courier *Courier) Core() *seamloom.Core { return courier.core }

// Journal is what is known of recent inquiries.
func (courier *Courier) Journal() *Journal { return courier.journal }

// Heard is when a primary answered last.
func (courier *Courier) Heard() time.Time { return courier.followed.Heard() }

// SetSeeds exchanges the seeds, after a reload.
func (courier *Courier) SetSeeds(seeds []string) { courier.followed.SetSeeds(seeds) }

// SetServeWithoutHold chooses how long the courier goes on letting in after its last
// hold. Duties always need a hold.
func (courier *Courier) SetServeWithoutHold(length time.Duration) {
	courier.core.SetServeWithoutHold(length)
	courier.followed.SetProvisional(length > 0)
	courier.showServing()
}

// showServing tells the board until when calls may be let in.
func (courier *Courier) showServing() {
	if courier.board != nil {
		courier.board.SetServing(courier.core.ServesUntil())
	}
}

// InForce is the version of the configuration in force.
func (courier *Courier) InForce() replication.Version {
	epoch, number := courier.core.InForce()
	return replication.Version{Epoch: epoch, Number: number}
}

// Apply feeds one event to the core and carries its decisions out.
func (courier *Courier) Apply(event auction.Event) {
	if event.At.IsZero() {
		event.At = courier.turns.Now()
	}
	for _, decision := range courier.core.Apply(event) {
		courier.carryOut(decision)
	}
}

// Answers is what the courier answers on the hotline.
func (courier *Courier) Answers() Answers { return courier.answers }

func (courier *Courier) table() Answers {
	answers := Answers{
		RelayPath: answering(courier.followed.Relay),
		CrumbsPath: answering(func(records []codec.Record) (bool, error) {
			for _, record := range records {
				courier.journal.append(record, false)
			}
			return true, nil
		}),
		// A courier may stand among another process's seeds: it says where the
		// core is.
		HelloPath: answering(func(replication.Hello) (replication.Hello, error) {
			return replication.Hello{Kind: membership.Courier, Charter: courier.followed.Charter()}, nil
		}),
		NewsPath: answering(func(NewsQuestion) (NewsAnswer, error) {
			return NewsAnswer{Charter: courier.followed.Charter()}, nil
		}),
		IncarnationPath: answering(func(nothing) (Incarnation, error) {
			return Incarnation{Incarnation: courier.incarnation}, nil
		}),
	}
	if courier.keepers != nil {
		answers[CountsPath] = answering(courier.keepers.Answer)
	}
	return answers
}

// takeNews puts a configuration in force before it uses the hold that
// confirms it.
func (courier *Courier) takeNews(news News) {
	if news.Provisional {
		courier.takeProvisional(news)
		return
	}
	if section, found := news.Changed[replication.ConfigurationSection]; found {
		courier.Apply(auction.Event{Kind: auction.MenuReceived, Menu: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
		courier.observe("configuration_in_force", "version", section.Version.String())
	}
	state, err := replication.ReadState(news.Changed)
	if err != nil {
		courier.observe("news_unreadable", "cause", err)
		return
	}
	if _, found := news.Changed[replication.FlagsSection]; found {
		courier.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
		courier.observe("flags_read", "enabled", state.Flags.Enabled, "restricted", courier.core.Restricted())
	}
	if _, found := news.Changed[replication.OrdersSection]; found {
		courier.Apply(auction.Event{Kind: auction.OrdersRead, Orders: courier.core.ReadOrders(state.Orders.Records)})
	}
	courier.takeMembers(news, state)
	courier.takeLists(news)
	if news.Answer.Hold > 0 {
		courier.Apply(auction.Event{Kind: auction.HoldRenewed, HoldEnds: news.Asked.Add(news.Answer.Hold), Epoch: news.Answer.Menu.Epoch,
			Number: news.Answer.Menu.Number, Duties: news.Answer.Duties})
		courier.showServing()
		courier.stir()
	}
}

// takeProvisional serves by what the copies hold, before there is a primary: what the
// configuration is read by comes first. It is no hold, and allows no duty.
func (courier *Courier) takeProvisional(news News) {
	state, err := replication.ReadState(news.Changed)
	if err != nil {
		courier.observe("news_unreadable", "cause", err)
		return
	}
	courier.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
	courier.takeMembers(news, state)
	courier.takeLists(news)
	section := news.Changed[replication.ConfigurationSection]
	courier.Apply(auction.Event{Kind: auction.MenuLent, Menu: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
	courier.showServing()
	courier.stir()
	courier.observe("configuration_lent", "version", section.Version.String())
}

// takeMembers takes the recorded members, if there are others.
func (courier *Courier) takeMembers(news News, state *replication.State) {
	if _, found := news.Changed[replication.MembersSection]; !found {
		return
	}
	courier.mutex.Lock()
	courier.members = state.Members
	courier.mutex.Unlock()
	if courier.keepers != nil {
		courier.keepers.SetNodes(state.Members)
	}
	if news.Answer.Couriers == 0 {
		// Nobody counts them: an older release's primary, or a copy.
		courier.Apply(auction.Event{Kind: auction.CouriersCounted, Number: uint64(len(couriersOf(state.Members)))})
	}
	courier.setContacts()
}

// takeLists takes what the news says of servers and of those who share them.
func (courier *Courier) takeLists(news News) {
	if count := news.Answer.Couriers; count > 0 {
		courier.couriers.Store(int64(count))
		courier.Apply(auction.Event{Kind: auction.CouriersCounted, Number: uint64(count)})
	}
	if news.Servers != nil {
		courier.takeServers(news.Servers.At, news.Servers.Servers)
	}
	if len(news.Loads) > 0 {
		courier.core.Calls().SetOutliers(courier.turns.Now(), news.Outliers)
		courier.Apply(auction.Event{Kind: auction.LoadsReported, Loads: news.Loads})
	}
}

// setNodes takes the platform's list of nodes.
func (courier *Courier) setNodes(nodes []membership.Node) {
	courier.mutex.Lock()
	courier.nodes = nodes
	courier.mutex.Unlock()
	courier.setContacts()
}

// setContacts names the expediters that the platform or the record knows, and
// the few others that this courier knows: by rendezvous hashing over the
// recorded couriers.
func (courier *Courier) setContacts() {
	courier.mutex.Lock()
	var contacts []string
	for _, node := range courier.nodes {
		if node.Kind == membership.Expediter {
			contacts = append(contacts, node.Address)
		}
	}
	var names []string
	for name := range courier.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		member := courier.members[name]
		if member.Kind == membership.Expediter && !slices.Contains(contacts, member.Address) {
			contacts = append(contacts, member.Address)
		}
	}
	courier.mutex.Unlock()
	var peers []string
	for _, member := range courier.nearest(len(names)) {
		peers = append(peers, member.Address)
	}
	courier.followed.SetContacts(contacts, peers)
}

// couriersOf are the names of the couriers among recorded members.
func couriersOf(members map[string]membership.Member) []string {
	var names []string
	for name, member := range members {
		if member.Kind == membership.Courier {
			names = append(names, name)
		}
	}
	return names
}

// nearest are the other recorded couriers, by rendezvous, no more than so many.
func (courier *Courier) nearest(most int) []membership.Member {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	names := couriersOf(courier.members)
	var members []membership.Member
	for _, name := range membership.Neighbours(courier.options.Courier, names, most) {
		members = append(members, courier.members[name])
	}
	return members
}

// leaveCrumbs does so whenever there are any.
func (courier *Courier) leaveCrumbs() {
	for courier.turns.Alive() {
		courier.crumbs.Wait(restTick, courier.journal.outgoing)
		courier.dropCrumbs()
		runtime.Sleep(courier.turns, crumbsPause)
	}
}

// dropCrumbs gives the newest records to a neighbour, which can tell of them
// when this courier is gone.
func (courier *Courier) dropCrumbs() {
	records := courier.journal.takeOutbox()
	if len(records) == 0 {
		return
	}
	for _, member := range courier.nearest(neighbours) {
		var answer bool
		if Call(courier.line, member.Address, CrumbsPath, records, &answer, actPatience) == nil {
			return
		}
	}
}

func (courier *Courier) nonce() string { return courier.options.Nonce() }

// Serve takes one inquiry and answers its origin; it returns when the reply is
// over.
func (courier *Courier) Serve(arrival Arrival, reply Reply) {
	inquiry := arrival.Inquiry
	if !courier.meant(arrival) {
		sayLine(reply, ReplyLine{Inquiry: inquiry.ID, Final: auction.Unknown, Type: failure.Duplicate, Detail: "this passing-on was brought before, or to another life of this courier"})
		return
	}
	stream := newStream(courier.turns)
	courier.mutex.Lock()
	_, busy := courier.streams[inquiry.ID]
	if !busy {
		courier.streams[inquiry.ID] = stream
	}
	courier.mutex.Unlock()
	if busy {
		sayLine(reply, ReplyLine{Inquiry: inquiry.ID, Final: auction.Refused, Type: failure.Duplicate, Detail: "the inquiry is under way"})
		return
	}
	defer func() {
		courier.mutex.Lock()
		defer courier.mutex.Unlock()
		delete(courier.streams, inquiry.ID)
	}()
	reply.WhenLeft(stream.leave)
	courier.Apply(auction.Event{Kind: auction.InquiryArrived, Inquiry: inquiry})
	courier.stir()
	courier.answer(arrival, reply, stream)
}

// meant tells whether a passed-on inquiry was meant for this life of the
// courier and comes for the first time.
func (courier *Courier) meant(arrival Arrival) bool {
	passage := arrival.Passage
	if passage == nil || passage.Nonce == "" {
		return true
	}
	if passage.Incarnation != "" && passage.Incarnation != courier.incarnation {
		return false
	}
	return courier.passages.first(courier.turns.Now(), passage.Nonce)
}

func (courier *Courier) answer(arrival Arrival, reply Reply, stream *stream) {
	inquiry := arrival.Inquiry
	for {
		decision, found := stream.next()
		if !found {
			if stream.gone() {
				courier.Apply(auction.Event{Kind: auction.OriginLeft, ID: inquiry.ID})
				return
			}
			stream.bell.Wait(time.Minute, stream.news)
			if !courier.turns.Alive() {
				// The process ends in the middle: what happened to the run is
				// not known here any more.
				if stream.sent == 0 {
					sayLine(reply, ReplyLine{Inquiry: inquiry.ID, Final: auction.Unknown, Type: failure.Draining})
				} else {
					_ = reply.Line(ReplyLine{Inquiry: inquiry.ID, Final: auction.Failed, Type: failure.Draining, Pieces: stream.sent}.encode())
				}
				return
			}
			continue
		}
		if decision.Kind == auction.PassOn {
			courier.passOn(arrival, reply)
			return
		}
		line := lineOf(decision)
		if decision.Kind == auction.SendPiece {
			if decision.Piece == 1 {
				reply.Begin(line.Status(), 0)
			}
			if reply.Line(line.encode()) != nil {
				stream.leave()
			}
			continue
		}
		courier.options.Ended(inquiry, decision)
		if decision.Pieces > 0 {
			_ = reply.Line(line.encode())
		} else {
			sayLine(reply, line)
		}
		return
	}
}
