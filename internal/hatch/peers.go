package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
)

const (
	peerPatience    = 450 * time.Millisecond
	batchPatience   = 1200 * time.Millisecond
	installPatience = 6 * time.Second
)

// peers reaches the other expediters over the hotline.
type peers struct{ line Hotline }

func (peers *peers) Hello(address string, own larder.Hello) (larder.Hello, error) {
	var answer larder.Hello
	err := Call(peers.line, address, HelloPath, own, &answer, peerPatience)
	return answer, err
}

func (peers *peers) ask(address, path string, question keeperQuestion) (larder.Promise, error) {
	var promise larder.Promise
	err := Call(peers.line, address, path, question, &promise, peerPatience)
	return promise, err
}

func (peers *peers) Prepare(address string, keeper larder.Identity, epoch uint64, candidate larder.Identity) (larder.Promise, error) {
	return peers.ask(address, PreparePath, keeperQuestion{To: keeper, From: candidate, Epoch: epoch})
}

func (peers *peers) Accept(address string, keeper larder.Identity, charter larder.Charter) (larder.Promise, error) {
	return peers.ask(address, AcceptPath, keeperQuestion{To: keeper, Charter: charter})
}

func (peers *peers) Confirm(address string, keeper larder.Identity, epoch uint64, primary larder.Identity) (larder.Promise, error) {
	return peers.ask(address, ConfirmPath, keeperQuestion{To: keeper, From: primary, Epoch: epoch})
}

func (peers *peers) Replicate(address string, backup larder.Identity, epoch uint64, batch larder.Batch) error {
	return Call(peers.line, address, ReplicatePath, replicateQuestion{To: backup, Epoch: epoch, Batch: batch}, nil, batchPatience)
}

func (peers *peers) Install(address string, backup larder.Identity, snapshot larder.Snapshot) error {
	return Call(peers.line, address, InstallPath, installQuestion{To: backup, Snapshot: snapshot}, nil, installPatience)
}
