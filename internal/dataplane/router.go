// Package dataplane implements the data plane. A router receives requests and calls from
// clients, has the core (package seamloom) schedule them onto prefill and decode servers, and
// carries out the core's decisions. It receives the state of the control plane through package
// follower, and depends only on the messages of package wire. Time, threads, the network, model
// servers and clients are ports, so that the simulation runs the same code.
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

// Router is one node of the data plane. It follows the primary, feeds requests and updates to
// the core as events, and carries out the core's decisions.
type Router struct {
	runtime     runtime.Runtime
	client      wire.Client
	modelServer ModelServer
	forwarder   Forwarder
	options     Options
	observe     func(event string, detail ...any)
	core        *seamloom.Core
	callService CallService
	// moreWork wakes the ticker when a shorter tick is due. currentTick is the interval for which
	// the ticker currently waits, in nanoseconds.
	moreWork    runtime.Cond
	currentTick atomic.Int64
	// routers is the number of routers that share the servers.
	routers atomic.Int64
	// recordsAdded wakes the replication of records.
	recordsAdded    runtime.Cond
	follower        *follower.Follower
	journal         *Journal
	handlerTable    wire.Handlers
	seenForwardings seenForwardings
	incarnation     string
	backlogCounts   *BacklogCounts
	quotas          *Quotas

	// mutex guards the fields up to nodes.
	mutex sync.Mutex
	// streams holds the streams of the requests in flight by ID.
	streams map[string]*stream
	// tokens holds the token of each run's latest dispatch, by runKey.
	tokens  map[string]string
	members map[string]membership.Member
	nodes   []membership.Node

	// listMutex guards listing and watched.
	listMutex sync.Mutex
	listing   membership.ServerList
	// watched holds "name@address" of the servers whose loads the router reads.
	watched map[string]bool
}

// Intervals of a router's loops and timeouts of its requests to other nodes.
const (
	// busyTick is the tick while requests are in flight.
	busyTick = 20 * time.Millisecond
	// roleTick is the tick of a router with roles and without requests in flight.
	roleTick = 200 * time.Millisecond
	// idleTick is the tick of a router without roles and without requests in flight.
	idleTick = time.Minute
	// recordsInterval is the time between two replications of records.
	recordsInterval = 250 * time.Millisecond
	// claimTimeout is how long a claim is retried. The control plane recovers from the loss
	// of a replica in about a second; a longer timeout would only delay the client.
	claimTimeout = 3 * time.Second
	// claimRetryAfter is the time between two attempts of a claim.
	claimRetryAfter = 60 * time.Millisecond
	// sendTimeout is the timeout of a request with orders or records.
	sendTimeout = time.Second
)

// NewRouter returns a router, which serves requests once its Loops run. The function
// observe logs an event and its attributes.
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
		core:        seamloom.New(options.Options), moreWork: rt.NewCond(), recordsAdded: rt.NewCond(),
		journal: newJournal(), incarnation: options.Nonce(),
		streams: map[string]*stream{}, tokens: map[string]string{},
		members: map[string]membership.Member{}, watched: map[string]bool{}}
	member := membership.Member{
		Name:      options.Router,
		Kind:      membership.Router,
		Address:   options.Address,
		Zone:      options.Zone,
		Supported: options.Supported,
	}
	router.follower = follower.New(rt, client, member, options.Seeds, router.InForce, router.applyUpdate)
	if options.CallService != nil {
		router.callService = options.CallService(router.core.Calls())
		router.backlogCounts = NewBacklogCounts(rt, client, router.core.Calls(), options.Router, router.incarnation)
		router.core.Calls().SetBacklogQueries(true)
		router.follower.SetFailing(router.core.Calls().TakeFailures)
		router.callService.SetBacklogCounts(router.backlogCounts)
		router.quotas = NewQuotas(
			rt,
			client,
			options.QuotaTolerance,
			router.incarnation,
			router.follower.Membership,
			router.follower.LearnMembership,
			observe,
		)
		router.callService.SetQuotas(router.quotas)
	}
	router.follower.Follow(options.Directory != nil, router.callService != nil)
	router.setContacts()
	router.follower.SetApplyWithin(options.ApplyWithin)
	router.SetServeWithoutLease(options.ServeWithoutLease)
	router.handlerTable = router.handlers()
	return router
}

// Loops returns the router's loops; each runs in a thread of its own until the process ends.
func (r *Router) Loops() []func() {
	loops := []func(){
		r.tick,
		r.replicateRecords,
		r.follower.Run,
	}
	if r.options.Directory != nil {
		loops = append(loops, r.readList, r.readNodes)
	}
	if r.backlogCounts != nil {
		loops = append(loops, r.backlogCounts.Run, r.quotas.Run)
	}
	return loops
}

// tick applies Ticked events to the core at intervals of tickInterval.
func (r *Router) tick() {
	for r.runtime.Alive() {
		r.Apply(auction.Event{Kind: auction.Ticked})
		interval := r.tickInterval()
		// wakeTicker, which is called after new work for the core, compares with this value.
		r.currentTick.Store(int64(interval))
		r.moreWork.Wait(interval, func() bool { return r.tickInterval() < interval })
	}
}

// wakeTicker wakes the ticker if a shorter tick is due than the current one.
func (r *Router) wakeTicker() {
	if int64(r.tickInterval()) < r.currentTick.Load() {
		r.moreWork.Broadcast()
	}
}

// tickInterval returns busyTick while requests are in flight, roleTick while the router only has
// roles, and idleTick otherwise.
func (r *Router) tickInterval() time.Duration {
	switch {
	case r.core.InFlight() > 0:
		return busyTick
	case r.core.HasRoles():
		return roleTick
	}
	return idleTick
}

// Core returns the core, which decides on requests and calls.
func (r *Router) Core() *seamloom.Core { return r.core }

// Journal returns the records of recent requests.
func (r *Router) Journal() *Journal { return r.journal }

// Follower returns the router's follower of the primary.
func (r *Router) Follower() *follower.Follower { return r.follower }

// Quotas returns the rate limits of tenants; nil for a router without a call service.
func (r *Router) Quotas() *Quotas { return r.quotas }

// LastUpdateAt returns when the last response of a primary was applied.
func (r *Router) LastUpdateAt() time.Time { return r.follower.LastUpdateAt() }

// SetSeeds replaces the seeds, after a reload of the settings.
func (r *Router) SetSeeds(seeds []string) { r.follower.SetSeeds(seeds) }

// SetServeWithoutLease sets how long the router continues to admit requests after its last
// lease has expired. Roles always need a lease.
func (r *Router) SetServeWithoutLease(length time.Duration) {
	r.core.SetServeWithoutLease(length)
	r.follower.SetProvisional(length > 0)
	r.updateServing()
}

// updateServing sets the time until which the call service may admit calls.
func (r *Router) updateServing() {
	if r.callService != nil {
		r.callService.SetServing(r.core.ServesUntil())
	}
}

// InForce returns the version of the configuration in force.
func (r *Router) InForce() replication.Version {
	epoch, number := r.core.InForce()
	return replication.Version{Epoch: epoch, Number: number}
}

// Apply feeds one event to the core and carries out the core's decisions. An event without a
// time gets the current time.
func (r *Router) Apply(event auction.Event) {
	if event.At.IsZero() {
		event.At = r.runtime.Now()
	}
	for _, decision := range r.core.Apply(event) {
		r.carryOut(decision)
	}
}

// Handlers returns the router's handlers of messages from other processes.
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
		// Another process may have this router as a seed. The response has the membership.
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
	if r.backlogCounts != nil {
		handlers[wire.CountsPath] = wire.HandlerFor(r.backlogCounts.Answer)
	}
	return handlers
}

func (r *Router) nonce() string { return r.options.Nonce() }
