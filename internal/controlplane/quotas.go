package controlplane

import (
	"slices"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// serveQuota grants tokens as a witness of the newest membership that this disk has accepted. It fails
// with NotAdmitted if the request is for another disk, or if the request has the epoch of the accepted
// membership and this controller is not a witness in it. If the request has a newer epoch, this controller
// does not know the membership and does not check whether it is a witness.
//
// Invariant: once this witness has accepted a newer membership, a request under an older membership
// is granted nothing. A newer set of witnesses is accepted by a majority of the older set, so the older
// set has no majority left that could grant tokens in addition to the newer set.
func (c *Controller) serveQuota(request wire.QuotaRequest) (wire.QuotaResponse, error) {
	if err := c.checkIdentity(request.To); err != nil {
		return wire.QuotaResponse{}, err
	}
	current := c.witness.AcceptedMembership()
	if request.Epoch < current.Epoch {
		return wire.QuotaResponse{Membership: current}, nil
	}
	if request.Epoch == current.Epoch && !current.HasVoter(request.To) {
		return wire.QuotaResponse{}, failure.New(failure.NotAdmitted, "this controller is not a witness")
	}
	return wire.QuotaResponse{Response: c.ledger.Apply(c.runtime.Now(), request.Request)}, nil
}

// resetLedger keeps the ledger empty while this controller is not a witness, or only a witness of the
// incoming set: until the older set is replaced, its members grant tokens without this controller.
func (c *Controller) resetLedger() {
	self := c.witness.Replica().Identity
	if !slices.ContainsFunc(c.witness.AcceptedMembership().Witnesses, func(replica replication.Replica) bool {
		return replica.Identity == self
	}) {
		c.ledger.Reset(c.runtime.Now())
	}
}

// Quotas returns the status of the fleet-wide limits, as far as this witness knows it.
func (c *Controller) Quotas() []quota.Status { return c.ledger.Statuses(c.runtime.Now()) }
