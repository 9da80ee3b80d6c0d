package seamloom

import "seamloom.example/seamloom/internal/scheduler"

// Options say which router a core decides for.
type Options struct {
	// Router is the node's name, and Zone the zone that it serves first.
	Router string
	Zone   string
	// MaxRequests bounds the requests that are admitted at once.
	MaxRequests int
	// Supported is the build's list of flags.
	Supported FlagList
	// LeastLoaded replaces the market by a plain least-loaded choice.
	LeastLoaded bool
	// FixedParts leaves every server the part that it was given first.
	FixedParts bool
	// Retries bounds what all routers send beyond the first dispatch of each
	// opaque call; what is left out is scheduler.DefaultAllowance.
	Retries scheduler.RetryAllowance
}

// DefaultMaxRequests is how many requests a router admits at once.
const DefaultMaxRequests = 512
