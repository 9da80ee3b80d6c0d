package dataplane

import (
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Options say which router a core is.
type Options struct {
	// ApplyWithin is how soon after its acknowledgement a change has to be in force here;
	// zero: the default.
	ApplyWithin time.Duration
	seamloom.Options
	Address string
	Seeds   []string
	// Directory reads the platform's lists where the news does not tell them.
	Directory discovery.Directory
	// LoadReader reads servers' loads for the market of requests; none: it has none.
	LoadReader LoadReader
	// CallService makes who serves opaque calls over the core's window; none: this router
	// takes no calls, and follows no reports.
	CallService func(deciding *scheduler.Scheduler) CallService
	// ServeWithoutLease is how long the router goes on letting in after its last hold.
	ServeWithoutLease time.Duration
	// Nonce gives a text that is new each time.
	Nonce func() string
	// OnEnded is told how each request ended that this router decided on.
	OnEnded func(request *auction.Request, decision auction.Decision)
}

// LoadReader is the port by which a router asks a model server itself, for the
// market of requests.
type LoadReader interface {
	ReadAuctionLoad(server membership.Server, timeout time.Duration) (auction.Load, error)
}
