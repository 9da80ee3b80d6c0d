package seamloom

// Options configure a Core.
type Options struct {
	// Router is the router's name in the fleet. It seeds the core's choice among servers, so
	// that routers with the same view of the fleet do not all choose the same server.
	Router string
	// Zone is the router's own zone. A route may prefer servers of this zone.
	Zone string
	// MaxRequests is the maximum number of requests in flight, not counting opaque calls; further
	// requests are refused as busy. Zero means DefaultMaxRequests.
	MaxRequests int
	// Supported are the feature flags that this build supports.
	Supported FlagList
	// LeastLoaded selects the least loaded server instead of running the auction, for comparison.
	LeastLoaded bool
	// FixedRoles keeps the first role of each server: the core never orders a change of roles. For
	// comparison.
	FixedRoles bool
	// StoredConfiguration converts the stored text of a configuration, which an earlier
	// release may have written in another format, to the current format. If it fails, the
	// configuration doesn't come into force. Nil means that no conversion is needed.
	StoredConfiguration func(text []byte) ([]byte, error)
	// Retries limits the retries that all routers together send for opaque calls. Zero fields get
	// the values of scheduler.DefaultRetryAllowance.
	Retries RetryAllowance
}

// DefaultMaxRequests is the default of Options.MaxRequests.
const DefaultMaxRequests = 512
