package wire

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

// ClaimRequest claims the id of a request that must not run twice, before its dispatch. Made
// is the time in the id.
type ClaimRequest struct {
	Made  time.Time   `msgpack:"made"`
	Entry codec.Entry `msgpack:"entry"`
}

// OrdersRequest records orders to servers, under the fencing token of the role.
type OrdersRequest struct {
	Role   lease.Role    `msgpack:"duty"`
	Orders []codec.Order `msgpack:"orders"`
	// Supported are the feature flags that the sender supports.
	Supported features.List `msgpack:"supported"`
}

// LeaderResponse says whether its sender leads, and the membership that it knows.
type LeaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}

// RelayRequest asks a router to relay an encoded message to the primary.
type RelayRequest struct {
	Path string `msgpack:"path"`
	Body []byte `msgpack:"body"`
}

// Forwarding identifies one forwarding of a request between routers: the network may deliver
// it twice, or to another process than it was meant for.
type Forwarding struct {
	// Nonce is new for each forwarding.
	Nonce string
	// Incarnation is that of the process it is meant for; empty when that one does not tell,
	// as the first release did not.
	Incarnation string
}

// IncarnationResponse is a router's present incarnation.
type IncarnationResponse struct {
	Incarnation string `msgpack:"incarnation"`
}
