package wire

import (
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
)

// QuotaRequest asks a witness for tokens of limits that hold over all routers. It names the disk that it is
// for, and the epoch of the membership by which the router chose the witnesses.
type QuotaRequest struct {
	To      replication.Identity `msgpack:"to"`
	Epoch   uint64               `msgpack:"epoch"`
	Request quota.Request        `msgpack:"request"`
}

// QuotaResponse has what the witness grants, or the newer membership by which the router is to ask.
type QuotaResponse struct {
	Response   quota.Response         `msgpack:"response"`
	Membership replication.Membership `msgpack:"charter,omitempty"`
}
