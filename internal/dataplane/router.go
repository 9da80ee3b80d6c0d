// Package dataplane is the data plane: a router takes requests and calls from clients, has the
// deciding core (package seamloom) schedule them onto prefill and decode servers, and carries
// its decisions out. It follows the control plane by package follower, and knows it only by the
// messages of package wire. Time, threads, the network, model servers and clients are ports, so
// that the simulation runs this very code.
package dataplane

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Router is one node of the data plane: it follows the primary, feeds requests and updates to
// the deciding core as events, and carries the core's decisions out.
type Router struct {
	runtime     runtime.Runtime
	client      wire.Client
	modelServer ModelServer
	forwarder   Forwarder
	options     Options
	observe     func(event string, detail ...any)
	core        *seamloom.Core
	callService CallService
	// moreWork wakes the ticker when a shorter tick is due, recordsAdded the replication of
	// records.
	moreWork    runtime.Cond
	currentTick atomic.Int64
	// routers is how many routers share the servers.
	routers         atomic.Int64
	recordsAdded    runtime.Cond
	follower        *follower.Follower
	journal         *Journal
	handlerTable    wire.Handlers
	seenForwardings seenForwardings
	incarnation     string
	countOwners     *CountOwners
	quotas          *Quotas

	mutex   sync.Mutex
	streams map[string]*stream
	tokens  map[string]string
	members map[string]membership.Member
	nodes   []membership.Node

	listMutex sync.Mutex
	listing   membership.ServerList
	watched   map[string]bool
}

// The intervals of a router's loops. The values are ours.
const (
	// busyTick is the tick while requests are in flight.
	busyTick = 20 * time.Millisecond
	// roleTick is the tick of a router that has roles and no requests, and idleTick of one
	// that has neither.
	roleTick        = 200 * time.Millisecond
	idleTick        = time.Minute
	recordsInterval = 250 * time.Millisecond
	// claimTimeout is how long a claim is retried for: a core that lost a replica is complete
	// again in about a second. Longer would only delay the client.
	claimTimeout = 3 * time.Second
	// claimRetryAfter lies between two attempts of a claim.
	claimRetryAfter = 60 * time.Millisecond
	// sendTimeout is how long a call with orders or records may take.
	sendTimeout = time.Second
)

// NewRouter makes a router, which serves once its Loops run. Observe logs an event and its
// attributes.
func NewRouter(
	rt runtime.Runtime,
	client wire.Client,
	modelServer ModelServer,
	forwarder Forwarder,
	options Options,
	observe func(event string, detail ...any),
) *Router {
	router := &Router{
		runtime:     rt,
		client:      client,
		modelServer: modelServer,
		forwarder:   forwarder,
		options:     options,
		observe:     observe,
		core:        seamloom.New(options.Options), moreWork: rt.NewCond(), recordsAdded: rt.NewCond(), journal: newJournal(), incarnation: options.Nonce(),
		streams: map[string]*stream{}, tokens: map[string]string{}, members: map[string]membership.Member{}, watched: map[string]bool{}}
	member := membership.Member{Name: options.Router, Kind: membership.Router, Address: options.Address, Zone: options.Zone, Supported: options.Supported}
	router.follower = follower.New(rt, client, member, options.Seeds, router.InForce, router.applyUpdate)
	if options.CallService != nil {
		router.callService = options.CallService(router.core.Calls())
		router.countOwners = NewCountOwners(rt, client, router.core.Calls(), options.Router, router.incarnation)
		router.core.Calls().SetBacklogQueries(true)
		router.follower.SetFailing(router.core.Calls().TakeFailures)
		router.callService.SetCountOwners(router.countOwners)
		router.quotas = NewQuotas(rt, client, options.QuotaTolerance, router.incarnation, router.follower.Membership, router.follower.LearnMembership, observe)
		router.callService.SetQuotas(router.quotas)
	}
	router.follower.Follow(options.Directory != nil, router.callService != nil)
	router.setContacts()
	router.follower.SetApplyWithin(options.ApplyWithin)
	router.SetServeWithoutLease(options.ServeWithoutLease)
	router.handlerTable = router.handlers()
	return router
}

// Loops are the router's loops; each runs in a thread of its own until the process ends.
func (r *Router) Loops() []func() {
	loops := []func(){
		r.tick,
		r.replicateRecords,
		r.follower.Run,
	}
	if r.options.Directory != nil {
		loops = append(loops, r.readList, r.readNodes)
	}
	if r.countOwners != nil {
		loops = append(loops, r.countOwners.Run, r.quotas.Run)
	}
	return loops
}

// tick tells the core the time: often while requests are in flight, seldom while there are
// only roles, and hardly ever otherwise.
func (r *Router) tick() {
	for r.runtime.Alive() {
		r.Apply(auction.Event{Kind: auction.Ticked})
		interval := r.tickInterval()
		// Whoever gives the core more to do compares with this afterwards, and wakes the ticker.
		r.currentTick.Store(int64(interval))
		r.moreWork.Wait(interval, func() bool { return r.tickInterval() < interval })
	}
}

// wakeTicker wakes the ticker if a shorter tick is due than the one it waits for.
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

// Journal has the records of recent requests.
func (r *Router) Journal() *Journal { return r.journal }

// Follower is the part that follows the primary.
func (r *Router) Follower() *follower.Follower { return r.follower }

// Quotas keep the limits of tenants over all routers; nil at a router without a call service.
func (r *Router) Quotas() *Quotas { return r.quotas }

// Heard is when a response of a primary was applied last.
func (r *Router) Heard() time.Time { return r.follower.Heard() }

// SetSeeds replaces the seeds, after a reload of the settings.
func (r *Router) SetSeeds(seeds []string) { r.follower.SetSeeds(seeds) }

// SetServeWithoutLease sets for how long the router goes on admitting requests after its last
// lease ended. Roles always need a lease.
func (r *Router) SetServeWithoutLease(length time.Duration) {
	r.core.SetServeWithoutLease(length)
	r.follower.SetProvisional(length > 0)
	r.updateServing()
}

// updateServing tells the call service until when calls may be admitted.
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

// Apply feeds one event to the core, at the present time if it has none, and carries the
// core's decisions out.
func (r *Router) Apply(event auction.Event) {
	if event.At.IsZero() {
		event.At = r.runtime.Now()
	}
	for _, decision := range r.core.Apply(event) {
		r.carryOut(decision)
	}
}

// Handlers are the router's handlers of messages from other processes.
func (r *Router) Handlers() wire.Handlers { return r.handlerTable }

func (r *Router) handlers() wire.Handlers {
	handlers := wire.Handlers{
		wire.RelayPath: wire.HandlerFor(r.follower.Relay),
		wire.RecordsPath: wire.HandlerFor(func(records []codec.Record) (bool, error) {
			for _, record := range records {
				r.journal.append(record, false)
			}
			return true, nil
		}),
		// A router may be among another process's seeds: it responds with the membership.
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
		handlers[wire.CountsPath] = wire.HandlerFor(r.countOwners.Answer)
	}
	return handlers
}

func (r *Router) nonce() string { return r.options.Nonce() }
