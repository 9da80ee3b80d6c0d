package dataplane

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Router is the data plane's conduct at one node: it follows the primary, has
// requests decided by the core, and carries the decisions out.
type Router struct {
	runtime     runtime.Runtime
	client      wire.Client
	modelServer ModelServer
	forwarder   Forwarder
	options     Options
	observe     func(event string, detail ...any)
	core        *seamloom.Core
	callService CallService
	// stirred rings when there is more to do than before, crumbs when records are to
	// go to a neighbour.
	moreWork    runtime.Cond
	currentTick atomic.Int64
	// routers is how many share the servers.
	routers         atomic.Int64
	recordsAdded    runtime.Cond
	follower        *follower.Follower
	journal         *Journal
	handlerTable    wire.Handlers
	seenForwardings seenForwardings
	incarnation     string
	countOwners     *CountOwners

	mutex   sync.Mutex
	streams map[string]*stream
	tokens  map[string]string
	members map[string]membership.Member
	nodes   []membership.Node

	listMutex sync.Mutex
	listing   membership.ServerList
	watched   map[string]bool
}

// The pauses of a router's rounds. The values are ours.
const (
	busyTick = 20 * time.Millisecond
	// roleTick is the tick of a router that has duties and no requests, and
	// idleTick of one that has neither.
	roleTick        = 200 * time.Millisecond
	idleTick        = time.Minute
	recordsInterval = 250 * time.Millisecond
	// claimTimeout is how long a claim is tried for altogether: a pair that was
	// broken is whole again in about a second. Longer would only hold the caller
	// back.
	claimTimeout = 3 * time.Second
	// claimRetryAfter is the time between two tries of a claim.
	claimRetryAfter = 60 * time.Millisecond
	// sendTimeout is how long an order or a command may take.
	sendTimeout = time.Second
)

// NewRouter makes the conduct of one router.
func NewRouter(rt runtime.Runtime, client wire.Client, modelServer ModelServer, forwarder Forwarder, options Options, observe func(string, ...any)) *Router {
	router := &Router{runtime: rt, client: client, modelServer: modelServer, forwarder: forwarder, options: options, observe: observe,
		core: seamloom.New(options.Options), moreWork: rt.NewCond(), recordsAdded: rt.NewCond(), journal: newJournal(), incarnation: options.Nonce(),
		streams: map[string]*stream{}, tokens: map[string]string{}, members: map[string]membership.Member{}, watched: map[string]bool{}}
	member := membership.Member{Name: options.Router, Kind: membership.Router, Address: options.Address, Zone: options.Zone, Supported: options.Supported}
	router.follower = follower.New(rt, client, member, options.Seeds, router.InForce, router.applyUpdate)
	if options.CallService != nil {
		router.callService = options.CallService(router.core.Calls())
		router.countOwners = NewCountOwners(rt, client, router.core.Calls(), options.Router, router.incarnation)
		router.core.Calls().SetBacklogQueries(true)
		router.follower.SetFailing(router.core.Calls().TakeFailures)
		router.callService.SetCountOwners(router.countOwners)
	}
	router.follower.Follow(options.Directory != nil, router.callService != nil)
	router.follower.SetApplyWithin(options.ApplyWithin)
	router.SetServeWithoutLease(options.ServeWithoutLease)
	router.handlerTable = router.handlers()
	return router
}

// Loops are what a router does over and over, each in a thread of its own.
func (r *Router) Loops() []func() {
	rounds := []func(){
		r.tick,
		r.replicateRecords,
		r.follower.Run,
	}
	if r.options.Directory != nil {
		rounds = append(rounds, r.readList, r.readNodes)
	}
	if r.countOwners != nil {
		rounds = append(rounds, r.countOwners.Run)
	}
	return rounds
}

// tick lets the core see the time go on: often while requests are under way, seldom
// while there are only duties, and hardly ever otherwise.
func (r *Router) tick() {
	for r.runtime.Alive() {
		r.Apply(auction.Event{Kind: auction.Ticked})
		pause := r.tickInterval()
		// Whoever gives the core more to do looks at this after it has, and rings.
		r.currentTick.Store(int64(pause))
		r.moreWork.Wait(pause, func() bool { return r.tickInterval() < pause })
	}
}

// stir wakes the ticking if it rests for longer than it should.
func (r *Router) wakeTicker() {
	if int64(r.tickInterval()) < r.currentTick.Load() {
		r.moreWork.Broadcast()
	}
}

func (r *Router) tickInterval() time.Duration {
	switch {
	case r.core.InFlight() > 0:
		return busyTick
	case r.core.HasRoles():
		return roleTick
	}
	return idleTick
}

// Core is the deciding core.
func (r *Router) Core() *seamloom.Core { return r.core }

// Journal is what is known of recent requests.
func (r *Router) Journal() *Journal { return r.journal }

// Follower is the part that follows the primary.
func (r *Router) Follower() *follower.Follower { return r.follower }

// Heard is when a primary answered last.
func (r *Router) Heard() time.Time { return r.follower.Heard() }

// SetSeeds exchanges the seeds, after a reload.
func (r *Router) SetSeeds(seeds []string) { r.follower.SetSeeds(seeds) }

// SetServeWithoutLease chooses how long the router goes on letting in after its last
// hold. Duties always need a hold.
func (r *Router) SetServeWithoutLease(length time.Duration) {
	r.core.SetServeWithoutLease(length)
	r.follower.SetProvisional(length > 0)
	r.updateServing()
}

// updateServing tells the board until when calls may be admitted.
func (r *Router) updateServing() {
	if r.callService != nil {
		r.callService.SetServing(r.core.ServesUntil())
	}
}

// InForce is the version of the configuration in force.
func (r *Router) InForce() replication.Version {
	epoch, number := r.core.InForce()
	return replication.Version{Epoch: epoch, Number: number}
}

// Apply feeds one event to the core and carries its decisions out.
func (r *Router) Apply(event auction.Event) {
	if event.At.IsZero() {
		event.At = r.runtime.Now()
	}
	for _, decision := range r.core.Apply(event) {
		r.carryOut(decision)
	}
}

// Handlers is what the router answers on the hotline.
func (r *Router) Handlers() wire.Handlers { return r.handlerTable }

func (r *Router) handlers() wire.Handlers {
	answers := wire.Handlers{
		wire.RelayPath: wire.HandlerFor(r.follower.Relay),
		wire.RecordsPath: wire.HandlerFor(func(records []codec.Record) (bool, error) {
			for _, record := range records {
				r.journal.append(record, false)
			}
			return true, nil
		}),
		// A router may stand among another process's seeds: it says where the
		// core is.
		wire.HelloPath: wire.HandlerFor(func(replication.Hello) (replication.Hello, error) {
			return replication.Hello{Kind: membership.Router, Membership: r.follower.Membership()}, nil
		}),
		wire.UpdatesPath: wire.HandlerFor(func(wire.UpdateRequest) (wire.UpdateResponse, error) {
			return wire.UpdateResponse{Membership: r.follower.Membership()}, nil
		}),
		wire.IncarnationPath: wire.HandlerFor(func(wire.Empty) (wire.IncarnationResponse, error) {
			return wire.IncarnationResponse{Incarnation: r.incarnation}, nil
		}),
	}
	if r.countOwners != nil {
		answers[wire.CountsPath] = wire.HandlerFor(r.countOwners.Answer)
	}
	return answers
}

// applyUpdate puts a configuration in force before it uses the hold that
// confirms it.
func (r *Router) applyUpdate(update follower.Update) {
	if update.Provisional {
		r.applyProvisional(update)
		return
	}
	if section, found := update.Changed[replication.ConfigurationSection]; found {
		r.Apply(auction.Event{Kind: auction.ConfigurationReceived, Configuration: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
		r.observe("configuration_in_force", "version", section.Version.String())
	}
	state, err := replication.ReadState(update.Changed)
	if err != nil {
		r.observe("news_unreadable", "cause", err)
		return
	}
	if _, found := update.Changed[replication.FlagsSection]; found {
		r.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
		r.observe("flags_read", "enabled", state.Flags.Enabled, "restricted", r.core.Restricted())
	}
	if _, found := update.Changed[replication.OrdersSection]; found {
		r.Apply(auction.Event{Kind: auction.OrdersRead, Orders: r.core.ReadOrders(state.Orders.Records)})
	}
	r.applyMembers(update, state)
	r.applyLists(update)
	if update.Response.Lease > 0 {
		r.Apply(auction.Event{Kind: auction.LeaseRenewed, LeaseEnds: update.RequestedAt.Add(update.Response.Lease), Epoch: update.Response.Configuration.Epoch,
			Number: update.Response.Configuration.Number, Roles: update.Response.Roles})
		r.updateServing()
		r.wakeTicker()
	}
}

// applyProvisional serves by what the copies hold, before there is a primary: what the
// configuration is read by comes first. It is no hold, and allows no duty.
func (r *Router) applyProvisional(update follower.Update) {
	state, err := replication.ReadState(update.Changed)
	if err != nil {
		r.observe("news_unreadable", "cause", err)
		return
	}
	r.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: state.Flags.Enabled})
	r.applyMembers(update, state)
	r.applyLists(update)
	section := update.Changed[replication.ConfigurationSection]
	r.Apply(auction.Event{Kind: auction.ConfigurationProvisional, Configuration: section.Content, Epoch: section.Version.Epoch, Number: section.Version.Number})
	r.updateServing()
	r.wakeTicker()
	r.observe("configuration_lent", "version", section.Version.String())
}

// applyMembers takes the recorded members, if there are others.
func (r *Router) applyMembers(update follower.Update, state *replication.State) {
	if _, found := update.Changed[replication.MembersSection]; !found {
		return
	}
	r.mutex.Lock()
	r.members = state.Members
	r.mutex.Unlock()
	if r.countOwners != nil {
		r.countOwners.SetMembers(state.Members)
	}
	if update.Response.Routers == 0 {
		// Nobody counts them: an older release's primary, or a copy.
		r.Apply(auction.Event{Kind: auction.RoutersCounted, Number: uint64(len(membership.RouterNames(state.Members)))})
	}
	r.setContacts()
}

// applyLists takes what the news says of servers and of those who share them.
func (r *Router) applyLists(update follower.Update) {
	if count := update.Response.Routers; count > 0 {
		r.routers.Store(int64(count))
		r.Apply(auction.Event{Kind: auction.RoutersCounted, Number: uint64(count)})
	}
	if update.Servers != nil {
		r.applyServers(update.Servers.ReadAt, update.Servers.Servers)
	}
	if len(update.Loads) > 0 {
		r.core.Calls().SetOutliers(r.runtime.Now(), update.Outliers)
		r.Apply(auction.Event{Kind: auction.LoadsReported, Loads: update.Loads})
	}
}

// setNodes takes the platform's list of nodes.
func (r *Router) setNodes(nodes []membership.Node) {
	r.mutex.Lock()
	r.nodes = nodes
	r.mutex.Unlock()
	r.setContacts()
}

// setContacts names the controllers that the platform or the record knows, and
// the few others that this router knows: by rendezvous hashing over the
// recorded routers.
func (r *Router) setContacts() {
	r.mutex.Lock()
	var contacts []string
	for _, node := range r.nodes {
		if node.Kind == membership.Controller {
			contacts = append(contacts, node.Address)
		}
	}
	var names []string
	for name := range r.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		member := r.members[name]
		if member.Kind == membership.Controller && !slices.Contains(contacts, member.Address) {
			contacts = append(contacts, member.Address)
		}
	}
	r.mutex.Unlock()
	var p []string
	for _, member := range r.nearest(len(names)) {
		p = append(p, member.Address)
	}
	r.follower.SetContacts(contacts, p)
}

// nearest are the other recorded routers, by rendezvous, no more than so many.
func (r *Router) nearest(most int) []membership.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := membership.RouterNames(r.members)
	var members []membership.Member
	for _, name := range membership.Neighbours(r.options.Router, names, most) {
		members = append(members, r.members[name])
	}
	return members
}

// replicateRecords does so whenever there are any.
func (r *Router) replicateRecords() {
	for r.runtime.Alive() {
		r.recordsAdded.Wait(idleTick, r.journal.hasOutgoing)
		r.sendRecords()
		runtime.Sleep(r.runtime, recordsInterval)
	}
}

// sendRecords gives the newest records to a neighbour, which can tell of them
// when this router is gone.
func (r *Router) sendRecords() {
	records := r.journal.takeOutbox()
	if len(records) == 0 {
		return
	}
	for _, member := range r.nearest(follower.Neighbours) {
		var response bool
		if wire.Call(r.client, member.Address, wire.RecordsPath, records, &response, sendTimeout) == nil {
			return
		}
	}
}

func (r *Router) nonce() string { return r.options.Nonce() }

// Serve takes one request and answers its origin; it returns when the reply is
// over.
func (r *Router) Serve(arrival Arrival, reply Reply) {
	request := arrival.Request
	if !r.acceptsForwarding(arrival) {
		writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Unknown, Type: failure.Duplicate, Detail: "this passing-on was brought before, or to another life of this courier"})
		return
	}
	s := newStream(r.runtime)
	r.mutex.Lock()
	_, busy := r.streams[request.ID]
	if !busy {
		r.streams[request.ID] = s
	}
	r.mutex.Unlock()
	if busy {
		writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Refused, Type: failure.Duplicate, Detail: "the inquiry is under way"})
		return
	}
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.streams, request.ID)
	}()
	reply.OnClientGone(s.markClientGone)
	r.Apply(auction.Event{Kind: auction.RequestArrived, Request: request})
	r.wakeTicker()
	r.answer(arrival, reply, s)
}

// meant tells whether a passed-on request was meant for this life of the
// router and comes for the first time.
func (r *Router) acceptsForwarding(arrival Arrival) bool {
	forwarding := arrival.Forwarding
	if forwarding == nil || forwarding.Nonce == "" {
		return true
	}
	if forwarding.Incarnation != "" && forwarding.Incarnation != r.incarnation {
		return false
	}
	return r.seenForwardings.first(r.runtime.Now(), forwarding.Nonce)
}

func (r *Router) answer(arrival Arrival, reply Reply, s *stream) {
	request := arrival.Request
	for {
		decision, found := s.next()
		if !found {
			if s.isClientGone() {
				r.Apply(auction.Event{Kind: auction.ClientDisconnected, ID: request.ID})
				return
			}
			s.cond.Wait(time.Minute, s.ready)
			if !r.runtime.Alive() {
				// The process ends in the middle: what happened to the run is
				// not known here any more.
				if s.sent == 0 {
					writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Unknown, Type: failure.Draining})
				} else {
					_ = reply.Line(ReplyLine{Request: request.ID, Final: auction.Failed, Type: failure.Draining, Chunks: s.sent}.encode())
				}
				return
			}
			continue
		}
		if decision.Kind == auction.ForwardToPeer {
			r.forward(arrival, reply)
			return
		}
		client := lineOf(decision)
		if decision.Kind == auction.SendChunk {
			if decision.Chunk == 1 {
				reply.Begin(client.Status(), 0)
			}
			if reply.Line(client.encode()) != nil {
				s.markClientGone()
			}
			continue
		}
		r.options.OnEnded(request, decision)
		if decision.Chunks > 0 {
			_ = reply.Line(client.encode())
		} else {
			writeLine(reply, client)
		}
		return
	}
}
