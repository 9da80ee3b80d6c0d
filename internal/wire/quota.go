package wire

import (
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
)

// QuotaRequest asks a witness for tokens of fleet-wide limits. To identifies the disk of the witness, and
// Epoch is the epoch of the membership from which the router selected its witnesses.
type QuotaRequest struct {
	To      replication.Identity `msgpack:"to"`
	Epoch   uint64               `msgpack:"epoch"`
	Request quota.Request        `msgpack:"request"`
}

// QuotaResponse contains the tokens that the witness grants, or a newer membership. The router must then
// repeat its request under that membership.
type QuotaResponse struct {
	Response   quota.Response         `msgpack:"response"`
	Membership replication.Membership `msgpack:"charter,omitempty"`
}
