package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// The timeouts of calls to other controllers.
const (
	peerTimeout    = 450 * time.Millisecond
	batchTimeout   = 1200 * time.Millisecond
	installTimeout = 6 * time.Second
)

// peers is the client for the coordinators, witnesses and stores of other controllers. It implements
// the network port of package replication.
type peers struct{ client wire.Client }

// Hello exchanges hello messages with the process at an address. The response identifies that
// process and contains the membership that it knows.
func (p *peers) Hello(address string, own replication.Hello) (replication.Hello, error) {
	var response replication.Hello
	err := wire.Call(p.client, address, wire.HelloPath, own, &response, peerTimeout)
	return response, err
}

// askWitness sends a request to a witness and returns its vote.
func (p *peers) askWitness(address, path string, request wire.WitnessRequest) (replication.Vote, error) {
	var vote replication.Vote
	err := wire.Call(p.client, address, path, request, &vote, peerTimeout)
	return vote, err
}

// Prepare asks a witness for its vote in an epoch.
func (p *peers) Prepare(
	address string,
	witness replication.Identity,
	epoch uint64,
	candidate replication.Identity,
) (replication.Vote, error) {
	return p.askWitness(address, wire.PreparePath, wire.WitnessRequest{To: witness, From: candidate, Epoch: epoch})
}

// Accept asks a witness to accept a membership.
func (p *peers) Accept(address string, witness replication.Identity, membership replication.Membership) (replication.Vote, error) {
	return p.askWitness(address, wire.AcceptPath, wire.WitnessRequest{To: witness, Membership: membership})
}

// RenewLease asks a witness to renew the primary's lease.
func (p *peers) RenewLease(
	address string,
	witness replication.Identity,
	epoch uint64,
	primary replication.Identity,
) (replication.Vote, error) {
	return p.askWitness(address, wire.RenewLeasePath, wire.WitnessRequest{To: witness, From: primary, Epoch: epoch})
}

// Replicate sends a batch to a backup.
func (p *peers) Replicate(address string, backup replication.Identity, epoch uint64, batch replication.Batch) error {
	return wire.Call(p.client, address, wire.ReplicatePath, wire.ReplicateRequest{To: backup, Epoch: epoch, Batch: batch}, nil, batchTimeout)
}

// Install sends a complete copy of the state to a backup.
func (p *peers) Install(address string, backup replication.Identity, snapshot replication.Snapshot) error {
	return wire.Call(p.client, address, wire.InstallPath, wire.InstallRequest{To: backup, Snapshot: snapshot}, nil, installTimeout)
}
