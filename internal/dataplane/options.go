package dataplane

import (
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Options are a router's settings and ports. Zero values are the defaults named.
type Options struct {
	// ApplyWithin is how soon after its acknowledgement a change has to be in force here;
	// zero: the default.
	ApplyWithin time.Duration
	seamloom.Options
	Address string
	Seeds   []string
	// Neighbours are addresses of other processes that may know the core, such as the controller on
	// the same machine. They are asked besides the seeds and are no seeds.
	Neighbours []string
	// Directory reads the platform's lists while there is no list from a primary; nil: it
	// does not.
	Directory discovery.Directory
	// LoadReader reads the servers' loads for the auction of requests; nil: it has no loads.
	LoadReader LoadReader
	// CallService makes the service of opaque calls over the core's scheduler; nil: this router
	// serves no calls, and does not follow load reports.
	CallService func(deciding *scheduler.Scheduler) CallService
	// ServeWithoutLease is for how long the router goes on admitting requests after its last
	// lease ended; zero: it does not, and takes no provisional configuration.
	ServeWithoutLease time.Duration
	// QuotaTolerance is how far the calls of a tenant may go beyond its limit.
	QuotaTolerance QuotaTolerance
	// ObserveAge is called with how old an update is when it is applied; nil: nobody observes.
	ObserveAge func(kind UpdateKind, age time.Duration)
	// Nonce gives a unique string.
	Nonce func() string
	// OnEnded is called with the final decision on each request.
	OnEnded func(request *auction.Request, decision auction.Decision)
}

// LoadReader is the port by which a router reads a model server's load itself, for the auction
// of requests.
type LoadReader interface {
	ReadAuctionLoad(server membership.Server, timeout time.Duration) (auction.Load, error)
}
