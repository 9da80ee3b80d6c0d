package dataplane

import (
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Options are a router's settings and ports. If a field is optional, its comment states the
// meaning of the zero value.
type Options struct {
	// ApplyWithin is the maximum time from the acknowledgement of a change until the change is in
	// force at this router; zero means the default.
	ApplyWithin time.Duration
	seamloom.Options
	Address string
	Seeds   []string
	// Neighbours are addresses of other processes that may know the controllers, such as the
	// controller on the same machine. They are asked in addition to the seeds.
	Neighbours []string
	// Directory reads the platform's lists while the primary sends none; with nil the router
	// does not read them.
	Directory discovery.Directory
	// LoadReader reads the servers' loads for the auction of requests; with nil the auction
	// has no loads.
	LoadReader LoadReader
	// CallService returns the service of opaque calls, which uses the scheduler of the router's
	// core. If CallService is nil, the router serves no calls and does not follow load reports.
	CallService func(callScheduler *scheduler.Scheduler) CallService
	// ServeWithoutLease is how long the router continues to admit requests after its last
	// lease has expired. With zero, the router admits no requests without a lease and accepts no
	// provisional configuration.
	ServeWithoutLease time.Duration
	// QuotaTolerance is how far the calls of a tenant may exceed its rate limit.
	QuotaTolerance QuotaTolerance
	// ObserveAge is called with the age of an update when it is applied; it may be nil.
	ObserveAge func(kind UpdateKind, age time.Duration)
	// Nonce returns a unique string.
	Nonce func() string
	// OnEnded is called with the final decision on each request.
	OnEnded func(request *auction.Request, decision auction.Decision)
}

// LoadReader is the port with which a router reads a model server's load directly, for the
// auction of requests.
type LoadReader interface {
	ReadAuctionLoad(server membership.Server, timeout time.Duration) (auction.Load, error)
}
