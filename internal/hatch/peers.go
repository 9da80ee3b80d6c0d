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

// peers reaches the other expediters over the hotline.
type peers struct{ line Hotline }

func (peers *peers) Hello(address string, own replication.Hello) (replication.Hello, error) {
	var answer replication.Hello
	err := Call(peers.line, address, HelloPath, own, &answer, peerPatience)
	return answer, err
}

func (peers *peers) ask(address, path string, question keeperQuestion) (replication.Promise, error) {
	var promise replication.Promise
	err := Call(peers.line, address, path, question, &promise, peerPatience)
	return promise, err
}

func (peers *peers) Prepare(address string, witness replication.Identity, epoch uint64, candidate replication.Identity) (replication.Promise, error) {
	return peers.ask(address, PreparePath, keeperQuestion{To: witness, From: candidate, Epoch: epoch})
}

func (peers *peers) Accept(address string, witness replication.Identity, membership replication.Membership) (replication.Promise, error) {
	return peers.ask(address, AcceptPath, keeperQuestion{To: witness, Membership: membership})
}

func (peers *peers) Confirm(address string, witness replication.Identity, epoch uint64, primary replication.Identity) (replication.Promise, error) {
	return peers.ask(address, ConfirmPath, keeperQuestion{To: witness, From: primary, Epoch: epoch})
}

func (peers *peers) Replicate(address string, backup replication.Identity, epoch uint64, batch replication.Batch) error {
	return Call(peers.line, address, ReplicatePath, replicateQuestion{To: backup, Epoch: epoch, Batch: batch}, nil, batchPatience)
}

func (peers *peers) Install(address string, backup replication.Identity, snapshot replication.Snapshot) error {
	return Call(peers.line, address, InstallPath, installQuestion{To: backup, Snapshot: snapshot}, nil, installPatience)
}
