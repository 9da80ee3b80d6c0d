package controlplane

import (
	"slices"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// serveQuota grants tokens as a witness of the newest membership that this disk has accepted.
//
// Its invariant: whoever asks by an older membership is granted nothing once this witness has accepted a newer
// one. A newer set of witnesses is accepted by a majority of the older one, so no majority of that is left
// that could grant beside the newer set's. It fails with NotAdmitted for another disk, or one that is no witness.
func (c *Controller) serveQuota(request wire.QuotaRequest) (wire.QuotaResponse, error) {
	if err := c.checkIdentity(request.To); err != nil {
		return wire.QuotaResponse{}, err
	}
	current := c.witness.AcceptedMembership()
	if request.Epoch < current.Epoch {
		return wire.QuotaResponse{Membership: current}, nil
	}
	if request.Epoch == current.Epoch && !current.HasVoter(request.To) {
		return wire.QuotaResponse{}, failure.New(failure.NotAdmitted, "this controller is no witness")
	}
	return wire.QuotaResponse{Response: c.ledger.Apply(c.runtime.Now(), request.Request)}, nil
}

// resetLedger keeps the ledger empty for as long as this controller is no witness, or is one only in the set that
// comes in: until the older set has ended, it grants without this one.
func (c *Controller) resetLedger() {
	self := c.witness.Replica().Identity
	if !slices.ContainsFunc(c.witness.AcceptedMembership().Witnesses, func(replica replication.Replica) bool { return replica.Identity == self }) {
		c.ledger.Reset(c.runtime.Now())
	}
}

// Quotas lists what this witness knows of the limits that hold over all routers.
func (c *Controller) Quotas() []quota.Status { return c.ledger.Statuses(c.runtime.Now()) }
