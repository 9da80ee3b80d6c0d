package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

const (
	// registerTimeout limits the commit of a new member, and claimTimeout the commit of a claim or of orders.
	registerTimeout = 1200 * time.Millisecond
	claimTimeout    = 1200 * time.Millisecond
	// maxUpdateWait limits how long a poll is held back.
	maxUpdateWait = 2 * time.Second
)

// Handlers returns the controller's handlers of messages from other processes.
func (c *Controller) Handlers() wire.Handlers { return c.handlerTable }

// handlers creates the table that Handlers returns.
func (c *Controller) handlers() wire.Handlers {
	return wire.Handlers{
		wire.HelloPath: wire.HandlerFor(func(hello replication.Hello) (replication.Hello, error) {
			return c.coordinator.HandleHello(hello), nil
		}),
		wire.PreparePath: wire.HandlerFor(func(request wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Prepare(c.runtime.Now(), request.Epoch, request.From)
		}),
		wire.AcceptPath: wire.HandlerFor(func(request wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Accept(c.runtime.Now(), request.Membership)
		}),
		wire.RenewLeasePath: wire.HandlerFor(func(request wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.RenewLease(c.runtime.Now(), request.Epoch, request.From), nil
		}),
		wire.ReplicatePath: wire.HandlerFor(func(request wire.ReplicateRequest) (wire.Empty, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Replicate(request.Epoch, request.Batch)
		}),
		wire.InstallPath: wire.HandlerFor(func(request wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Install(request.Snapshot)
		}),
		wire.RefreshPath: wire.HandlerFor(func(request wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.CatchUp(request.Snapshot)
		}),
		wire.QuotaPath:   wire.HandlerFor(c.serveQuota),
		wire.UpdatesPath: wire.HandlerFor(c.serveUpdate),
		wire.ClaimPath: wire.HandlerFor(func(request wire.ClaimRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.ClaimRequest(request.Made, request.Entry))
		}),
		wire.OrdersPath: wire.HandlerFor(func(request wire.OrdersRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.IssueOrders(request.Role, request.Orders, request.Supported))
		}),
	}
}

// checkIdentity fails with NotAdmitted for a request to another disk at the same address.
func (c *Controller) checkIdentity(identity replication.Identity) error {
	if own := c.witness.Replica().Identity; identity != own {
		return failure.New(failure.NotAdmitted, "this address now belongs to another disk")
	}
	return nil
}

// submitAsLeader commits a node's change if this controller is primary. Otherwise the response
// contains the membership that this controller knows.
func (c *Controller) submitAsLeader(change replication.Change) (wire.LeaderResponse, error) {
	if _, _, err := c.Leading(); err != nil {
		return wire.LeaderResponse{Membership: c.coordinator.Membership()}, nil
	}
	_, err := c.submit(change, claimTimeout)
	if failure.CodeOf(err) == failure.NotPrimary {
		return wire.LeaderResponse{Membership: c.coordinator.Membership()}, nil
	}
	return wire.LeaderResponse{Leads: true}, err
}
