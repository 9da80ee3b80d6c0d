package wire

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

// ClaimRequest claims the id of a request that must not run twice, before the request is dispatched. Made is
// the time that the id contains.
type ClaimRequest struct {
	Made  time.Time   `msgpack:"made"`
	Entry codec.Entry `msgpack:"entry"`
}

// OrdersRequest records orders to servers under the fencing token of a role.
type OrdersRequest struct {
	Role   lease.Role    `msgpack:"duty"`
	Orders []codec.Order `msgpack:"orders"`
	// Supported are the feature flags that the sender supports.
	Supported features.List `msgpack:"supported"`
}

// LeaderResponse states whether its sender is primary, and contains the membership that the sender knows.
type LeaderResponse struct {
	Leads      bool                   `msgpack:"leads"`
	Membership replication.Membership `msgpack:"charter"`
}

// RelayRequest asks a router to relay an encoded message to the primary.
type RelayRequest struct {
	Path string `msgpack:"path"`
	Body []byte `msgpack:"body"`
}

// Forwarding identifies one forwarding of a request between routers. The network may deliver a forwarded
// request twice, or to a process other than the intended recipient.
type Forwarding struct {
	// Nonce is new for each forwarding.
	Nonce string
	// Incarnation is the incarnation of the intended recipient. It is empty if the recipient does not
	// send its incarnation, as in the first release.
	Incarnation string
}

// IncarnationResponse contains a router's current incarnation.
type IncarnationResponse struct {
	Incarnation string `msgpack:"incarnation"`
}
