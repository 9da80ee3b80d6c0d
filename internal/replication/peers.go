package replication

// Peers is the port to the other controllers. Each call ends by itself, within
// a few hundred milliseconds when the other does not answer.
type Peers interface {
	Hello(address string, own Hello) (Hello, error)
	Prepare(address string, keeper Identity, epoch uint64, candidate Identity) (Vote, error)
	Accept(address string, witness Identity, membership Membership) (Vote, error)
	RenewLease(address string, keeper Identity, epoch uint64, primary Identity) (Vote, error)
	Replicate(address string, backup Identity, epoch uint64, batch Batch) error
	Install(address string, backup Identity, snapshot Snapshot) error
}
