// Package controlplane is the control plane: a controller holds a copy of the replicated state
// and a witness of the election (package replication), and, while it is primary, sends updates
// and leases to the nodes, commits the operators' edits, and reads the servers' loads for the
// whole fleet. A redirector knows which controller is primary. The data plane reaches it by
// package follower and the messages of package wire. Time, threads, disks and the network are
// ports, so that the simulation runs this very code.
package controlplane

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Controller is one node of the control plane: the copy and the witness on its disk, and, while
// it is primary, the responses to nodes and operators.
type Controller struct {
	runtime       runtime.Runtime
	client        wire.Client
	options       Options
	observe       func(event string, detail ...any)
	witness       *replication.Witness
	store         *replication.Store
	coordinator   *replication.Coordinator
	follower      *follower.Follower
	handlerTable  wire.Handlers
	updated       runtime.Cond
	termBegan     runtime.Cond
	serverList    serverList
	ledger        *quota.Ledger
	pending       runtime.Cond
	confirmations runtime.Cond
	editDone      runtime.Cond

	submitted          atomic.Uint64
	updateAnswers      atomic.Uint64
	updateBytes        atomic.Uint64
	configurationBytes atomic.Uint64
	configurationsSent atomic.Uint64

	acknowledgeWait atomic.Int64
	batchTimings    batchTimings
	changeMeter     changeMeter
	joining         joinNotices

	mutex sync.Mutex
	term  *Term
	// epoch is that of the newest membership for which waiting polls were woken.
	epoch      uint64
	nodes      []string
	members    map[string]membership.Member
	repairing  bool
	repairedAt time.Time
	editing    bool
	// configurationCommit is the newest commit of a configuration in this process.
	configurationCommit configurationCommit
}

// configurationCommit is when a version of the configuration became visible.
type configurationCommit struct {
	version replication.Version
	at      time.Time
}

// The intervals of a controller's loops. The values are ours.
const (
	tickInterval         = 150 * time.Millisecond
	housekeepingInterval = 300 * time.Millisecond
	sweepInterval        = 5 * time.Second
	commitInterval       = 100 * time.Millisecond
	// syncCheckInterval is how often a write that waits for backups looks whether others have their
	// place.
	syncCheckInterval = 50 * time.Millisecond
	// idleInterval is how long the commit loop waits when there is nothing to commit.
	idleInterval = time.Second
	// repairInterval is the least time between two loops of repairs, and repairBytesPerSecond the
	// rate at which they send the state to a copy out of the pair under steady writes.
	repairInterval       = time.Second
	repairBytesPerSecond = 64 << 10
	// leaveInterval is how often a controller that leaves checks whether it is released.
	leaveInterval = 20 * time.Millisecond
	// announceInterval is how often it tells the other controllers that it leaves.
	announceInterval = 100 * time.Millisecond
	// horizonInterval is the time between two moves of the claims' horizon.
	horizonInterval = 10 * time.Second
)

// Open opens the witness and the copy on the disk, and tells whether the witness was blank. A
// blank or damaged witness takes a new identity: the copy beside it belonged to the old one and
// is emptied. Errors are the storages' own.
func Open(
	rt runtime.Runtime,
	client wire.Client,
	witnessStorage, copyStorage replication.Storage,
	options Options,
	observe func(event string, detail ...any),
) (*Controller, bool, error) {
	replica := replication.Replica{Address: options.Address, Name: options.Name}
	witness, blank, err := replication.OpenWitness(rt.Now(), witnessStorage, replica, options.Fresh)
	if err != nil {
		return nil, false, err
	}
	if blank {
		if err := empty(copyStorage); err != nil {
			return nil, true, err
		}
	}
	copied, err := replication.OpenLocalReplica(copyStorage)
	if err != nil {
		return nil, blank, err
	}
	if damage := copied.Damage(); damage != "" {
		observe("replica_damaged", "damage", damage)
	}
	witness.SetLock(runtime.NewLock(rt))
	copied.SetLock(runtime.NewLock(rt))
	controller := &Controller{
		runtime:       rt,
		client:        client,
		options:       options,
		observe:       observe,
		witness:       witness,
		store:         replication.NewStore(copied, witness),
		updated:       rt.NewCond(),
		termBegan:     rt.NewCond(),
		pending:       rt.NewCond(),
		confirmations: rt.NewCond(),
		editDone:      rt.NewCond(),
		ledger:        quota.NewLedger(rt.Now()),
	}
	controller.store.SetLock(runtime.NewLock(rt))
	controller.newCoordinator()
	member := membership.Member{
		Name:      options.Name,
		Kind:      membership.Controller,
		Address:   options.Address,
		Zone:      options.Zone,
		Supported: options.Supported,
	}
	noVersion := func() replication.Version { return replication.Version{} }
	controller.follower = follower.New(rt, client, member, options.Seeds, noVersion, controller.applyUpdate)
	controller.follower.Follow(options.Directory != nil, false)
	controller.SetAcknowledgeWait(options.AcknowledgeWait)
	// The members recorded in the copy may know the present membership, and so may neighbours.
	controller.setContacts()
	controller.applyMembers(follower.Update{Changed: copied.Sections()})
	controller.handlerTable = controller.handlers()
	return controller, blank, nil
}

// newCoordinator makes the coordinator by the options, and logs the waits that follow from them.
func (c *Controller) newCoordinator() {
	options := c.options
	c.coordinator = replication.NewCoordinator(c.runtime, options.Seeds, c.witness, c.store, &peers{client: c.client}, c.observe)
	if options.JoinsOnly {
		c.coordinator.SetJoinOnly()
	}
	timing := replication.TimingFor(options.CatchUp)
	c.coordinator.SetTiming(timing)
	c.coordinator.SetTolerance(options.ToleratedLosses, options.Zone)
	c.observe("timing", "catch_up", timing.CatchUp.String(), "lease", timing.Lease.String(),
		"repair", timing.RepairTime().String(), "margin", timing.Margin().String())
}

// empty removes all files of a storage.
func empty(storage replication.Storage) error {
	files, damaged, err := storage.Load()
	if err != nil {
		return err
	}
	for name := range files {
		damaged = append(damaged, name)
	}
	return storage.Remove(damaged)
}

// Loops are the controller's loops; each runs in a thread of its own until the process ends.
func (c *Controller) Loops() []func() {
	every := func(interval time.Duration, task func()) func() {
		return func() { runtime.Every(c.runtime, interval, task) }
	}
	loops := []func(){every(tickInterval, c.tick), c.housekeepWhileLeading, every(sweepInterval, c.sweep),
		c.commit, c.follower.Run}
	if c.options.Directory != nil {
		loops = append(loops, c.readServers, c.readNodes)
	}
	if c.options.LoadReader != nil {
		loops = append(loops, c.readReports)
	}
	return loops
}

// Leave transfers what this controller has, the leadership, its copy and its witness's seat, and
// returns when nothing depends on it any more, when nobody can take what it has, or when the
// timeout passes. It goes on as before until then. Changes without a response have an unknown
// outcome.
func (c *Controller) Leave(timeout time.Duration) {
	began := c.runtime.Now()
	deadline := began.Add(timeout)
	c.coordinator.Leave()
	c.runtime.Go(func() { c.announceLeave(deadline) })
	for !c.coordinator.ReadyToStop() && c.runtime.Alive() && c.runtime.Now().Before(deadline) {
		runtime.Sleep(c.runtime, leaveInterval)
	}
	outcome := c.coordinator.LeaveOutcome()
	c.observe("left", "released", outcome != replication.StillNeeded, "outcome", string(outcome),
		"after", c.runtime.Now().Sub(began).String())
}

// announceLeave tells the other controllers that this one leaves, until it may stop.
func (c *Controller) announceLeave(deadline time.Time) {
	for !c.coordinator.ReadyToStop() && c.runtime.Alive() && c.runtime.Now().Before(deadline) {
		c.coordinator.AnnounceLeave()
		runtime.Sleep(c.runtime, announceInterval)
	}
}

// SetSeeds replaces the seeds, after a reload of the settings.
func (c *Controller) SetSeeds(seeds []string) {
	c.coordinator.SetSeeds(seeds)
	c.follower.SetSeeds(seeds)
}

// Servers is the platform's list as it was read last.
func (c *Controller) Servers() []membership.Server {
	return c.serverList.servers(c.runtime.Now())
}

// Witness is the witness on this disk.
func (c *Controller) Witness() *replication.Witness { return c.witness }

// Store is this disk's part in the replicated state.
func (c *Controller) Store() *replication.Store { return c.store }

// Coordinator decides who is primary, from this node's point of view.
func (c *Controller) Coordinator() *replication.Coordinator { return c.coordinator }

// Heard is when a response of a primary was applied last.
func (c *Controller) Heard() time.Time { return c.follower.Heard() }

// UpdateCounts counts the responses to polls, and the bytes of sections and the configurations
// in them.
func (c *Controller) UpdateCounts() (answers, bytes, configurations uint64) {
	return c.updateAnswers.Load(), c.updateBytes.Load(), c.configurationsSent.Load()
}

// UpdateBytes are the bytes of responses to polls by what they bring, before compression:
// contents of configurations and of other sections, encoded lists of servers and loads.
type UpdateBytes struct {
	Configuration, OtherSections, Servers, Loads uint64
}

// UpdateBytes counts the bytes of responses to polls by what they bring.
func (c *Controller) UpdateBytes() UpdateBytes {
	configuration := c.configurationBytes.Load()
	sent := UpdateBytes{Configuration: configuration, OtherSections: c.updateBytes.Load() - configuration}
	sent.Servers, sent.Loads = c.serverList.sentBytes()
	return sent
}

// Supported is the node's own list of flags.
func (c *Controller) Supported() features.List { return c.options.Supported }
