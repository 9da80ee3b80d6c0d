package replication

// Peers is the port to the other controllers. Each call ends by itself, within
// a few hundred milliseconds when the other does not answer.
type Peers interface {
	Hello(address string, own Hello) (Hello, error)
	Prepare(address string, keeper Identity, epoch uint64, c Identity) (Promise, error)
	Accept(address string, keeper Identity, membership Membership) (Promise, error)
	Confirm(address string, keeper Identity, epoch uint64, primary Identity) (Promise, error)
	Replicate(address string, backup Identity, epoch uint64, batch Batch) error
	Install(address string, backup Identity, snapshot Snapshot) error
}
