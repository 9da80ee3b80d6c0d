package expediter

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/larder"
)

// The paths of the messages between expediters.
const (
	helloPath     = "/hotline/hello"
	preparePath   = "/hotline/keeper/prepare"
	acceptPath    = "/hotline/keeper/accept"
	confirmPath   = "/hotline/keeper/confirm"
	replicatePath = "/hotline/larder/replicate"
	installPath   = "/hotline/larder/install"
	refreshPath   = "/hotline/larder/refresh"
)

const (
	peerPatience    = 450 * time.Millisecond
	batchPatience   = 1200 * time.Millisecond
	installPatience = 6 * time.Second
)

// peers reaches the other expediters over the hotline.
type peers struct {
	lifetime context.Context
	caller   *hotline.Caller
}

// keeperQuestion is any question to a keeper; To guards against another disk
// that has come to the same address.
type keeperQuestion struct {
	To      larder.Identity `msgpack:"to"`
	From    larder.Identity `msgpack:"from"`
	Epoch   uint64          `msgpack:"epoch"`
	Charter larder.Charter  `msgpack:"charter"`
}

type replicateQuestion struct {
	To    larder.Identity `msgpack:"to"`
	Epoch uint64          `msgpack:"epoch"`
	Batch larder.Batch    `msgpack:"batch"`
}

type installQuestion struct {
	To       larder.Identity `msgpack:"to"`
	Snapshot larder.Snapshot `msgpack:"snapshot"`
}

// nothing is an answer without content.
type nothing struct{}

func (peers *peers) Hello(address string, own larder.Hello) (larder.Hello, error) {
	var answer larder.Hello
	failure := peers.caller.Call(peers.lifetime, address, helloPath, own, &answer, peerPatience)
	return answer, failure
}

func (peers *peers) ask(address, path string, question keeperQuestion) (larder.Promise, error) {
	var promise larder.Promise
	failure := peers.caller.Call(peers.lifetime, address, path, question, &promise, peerPatience)
	return promise, failure
}

func (peers *peers) Prepare(address string, keeper larder.Identity, epoch uint64, candidate larder.Identity) (larder.Promise, error) {
	return peers.ask(address, preparePath, keeperQuestion{To: keeper, From: candidate, Epoch: epoch})
}

func (peers *peers) Accept(address string, keeper larder.Identity, charter larder.Charter) (larder.Promise, error) {
	return peers.ask(address, acceptPath, keeperQuestion{To: keeper, Charter: charter})
}

func (peers *peers) Confirm(address string, keeper larder.Identity, epoch uint64, primary larder.Identity) (larder.Promise, error) {
	return peers.ask(address, confirmPath, keeperQuestion{To: keeper, From: primary, Epoch: epoch})
}

func (peers *peers) Replicate(address string, backup larder.Identity, epoch uint64, batch larder.Batch) error {
	return peers.caller.Call(peers.lifetime, address, replicatePath, replicateQuestion{To: backup, Epoch: epoch, Batch: batch}, nil, batchPatience)
}

func (peers *peers) Install(address string, backup larder.Identity, snapshot larder.Snapshot) error {
	return peers.caller.Call(peers.lifetime, address, installPath, installQuestion{To: backup, Snapshot: snapshot}, nil, installPatience)
}
