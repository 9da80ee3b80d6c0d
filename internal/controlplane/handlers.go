package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

const (
	registerTimeout = 1200 * time.Millisecond
	claimTimeout    = 1200 * time.Millisecond
	// maxUpdateWait bounds how long a poll is held back.
	maxUpdateWait = 2 * time.Second
)

// Handlers are the controller's handlers of messages from other processes.
func (c *Controller) Handlers() wire.Handlers { return c.handlerTable }

func (c *Controller) handlers() wire.Handlers {
	return wire.Handlers{
		wire.HelloPath: wire.HandlerFor(func(hello replication.Hello) (replication.Hello, error) {
			return c.coordinator.HandleHello(hello), nil
		}),
		wire.PreparePath: wire.HandlerFor(func(question wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Prepare(c.runtime.Now(), question.Epoch, question.From)
		}),
		wire.AcceptPath: wire.HandlerFor(func(request wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(request.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.Accept(c.runtime.Now(), request.Membership)
		}),
		wire.ConfirmPath: wire.HandlerFor(func(req wire.WitnessRequest) (replication.Vote, error) {
			if err := c.checkIdentity(req.To); err != nil {
				return replication.Vote{}, err
			}
			return c.witness.RenewLease(c.runtime.Now(), req.Epoch, req.From), nil
		}),
		wire.ReplicatePath: wire.HandlerFor(func(question wire.ReplicateRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Replicate(question.Epoch, question.Batch)
		}),
		wire.InstallPath: wire.HandlerFor(func(question wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.Install(question.Snapshot)
		}),
		wire.RefreshPath: wire.HandlerFor(func(question wire.InstallRequest) (wire.Empty, error) {
			if err := c.checkIdentity(question.To); err != nil {
				return wire.Empty{}, err
			}
			return wire.Empty{}, c.store.CatchUp(question.Snapshot)
		}),
		wire.QuotaPath:   wire.HandlerFor(c.serveQuota),
		wire.UpdatesPath: wire.HandlerFor(c.serveUpdate),
		wire.ClaimPath: wire.HandlerFor(func(question wire.ClaimRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.ClaimRequest(question.Made, question.Entry))
		}),
		wire.OrdersPath: wire.HandlerFor(func(question wire.OrdersRequest) (wire.LeaderResponse, error) {
			return c.submitAsLeader(replication.IssueOrders(question.Role, question.Orders, question.Supported))
		}),
	}
}

// checkIdentity fails with NotAdmitted for a message to another disk at the same address.
func (c *Controller) checkIdentity(identity replication.Identity) error {
	if own := c.witness.Replica().Identity; identity != own {
		return failure.New(failure.NotAdmitted, "another disk is at this address now")
	}
	return nil
}

// submitAsLeader commits a node's change if this controller is primary.
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
