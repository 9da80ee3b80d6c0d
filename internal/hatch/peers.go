package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
)

const (
	peerPatience    = 450 * time.Millisecond
	batchPatience   = 1200 * time.Millisecond
	installPatience = 6 * time.Second
)

// peers reaches the other controllers over the hotline.
type peers struct{ client Client }

func (p *peers) Hello(address string, own replication.Hello) (replication.Hello, error) {
	var answer replication.Hello
	err := Call(p.client, address, HelloPath, own, &answer, peerPatience)
	return answer, err
}

func (p *peers) ask(address, path string, question WitnessRequest) (replication.Promise, error) {
	var promise replication.Promise
	err := Call(p.client, address, path, question, &promise, peerPatience)
	return promise, err
}

func (p *peers) Prepare(address string, witness replication.Identity, epoch uint64, candidate replication.Identity) (replication.Promise, error) {
	return p.ask(address, PreparePath, WitnessRequest{To: witness, From: candidate, Epoch: epoch})
}

func (p *peers) Accept(address string, witness replication.Identity, membership replication.Membership) (replication.Promise, error) {
	return p.ask(address, AcceptPath, WitnessRequest{To: witness, Membership: membership})
}

func (p *peers) Confirm(address string, witness replication.Identity, epoch uint64, primary replication.Identity) (replication.Promise, error) {
	return p.ask(address, ConfirmPath, WitnessRequest{To: witness, From: primary, Epoch: epoch})
}

func (p *peers) Replicate(address string, backup replication.Identity, epoch uint64, batch replication.Batch) error {
	return Call(p.client, address, ReplicatePath, ReplicateRequest{To: backup, Epoch: epoch, Batch: batch}, nil, batchPatience)
}

func (p *peers) Install(address string, backup replication.Identity, snapshot replication.Snapshot) error {
	return Call(p.client, address, InstallPath, InstallRequest{To: backup, Snapshot: snapshot}, nil, installPatience)
}
