// Package controlplane implements the control plane. A Controller holds a copy of the replicated
// state and a witness of the election (package replication). While it is primary, it also sends
// updates and leases to the nodes, commits the edits of operators, and polls the loads of the
// servers for the whole fleet. A Redirector finds the controller that is primary. The data plane
// reaches the control plane through package follower and the messages of package wire. Time,
// threads, disks and the network are used through interfaces, so that the simulation runs the same
// code.
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

// Controller is one node of the control plane. It owns the copy and the witness on its disk and,
// while it is primary, responds to nodes and operators.
type Controller struct {
	runtime      runtime.Runtime
	client       wire.Client
	options      Options
	observe      func(event string, detail ...any)
	witness      *replication.Witness
	store        *replication.Store
	coordinator  *replication.Coordinator
	follower     *follower.Follower
	handlerTable wire.Handlers
	// updated wakes waiting polls and the responses that wait for a provisional list of servers.
	// termBegan wakes the loops that run only on a primary.
	updated    runtime.Cond
	termBegan  runtime.Cond
	serverList serverList
	ledger     *quota.Ledger
	// pending wakes the commit loop when a change is queued, confirmations wakes the edits that wait for
	// routers, and editDone wakes the next edit of a large configuration.
	pending       runtime.Cond
	confirmations runtime.Cond
	editDone      runtime.Cond

	// submitted counts the queued changes. UpdateCounts and UpdateBytes return the other counters.
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
	// epoch is the epoch of the newest membership for which waiting polls were woken.
	epoch uint64
	// nodes are the addresses of the other controllers on the platform's list, and members the recorded
	// members.
	nodes   []string
	members map[string]membership.Member
	// repairing is set during a run of repairCopies, and repairedAt is when the last run began.
	repairing  bool
	repairedAt time.Time
	// editing is set while an edit of a large configuration is in progress.
	editing bool
	// configurationCommit is the last commit of a configuration by this process.
	configurationCommit configurationCommit
}

// configurationCommit records when a version of the configuration became visible.
type configurationCommit struct {
	version replication.Version
	at      time.Time
}

// The intervals of a controller's loops.
const (
	tickInterval         = 150 * time.Millisecond
	housekeepingInterval = 300 * time.Millisecond
	sweepInterval        = 5 * time.Second
	commitInterval       = 100 * time.Millisecond
	// syncCheckInterval is how often a write that waits for backups checks whether a newer
	// membership has replaced them.
	syncCheckInterval = 50 * time.Millisecond
	// idleInterval is how long the commit loop waits when there is nothing to commit.
	idleInterval = time.Second
	// repairInterval is the minimum time between two repair runs. repairBytesPerSecond limits the average
	// rate at which repair runs send the state to a copy that is not in sync, under steady writes.
	repairInterval       = time.Second
	repairBytesPerSecond = 64 << 10
	// leaveInterval is how often a leaving controller checks whether it may stop.
	leaveInterval = 20 * time.Millisecond
	// announceInterval is how often a leaving controller announces this to the other controllers.
	announceInterval = 100 * time.Millisecond
	// horizonInterval is the time between two advances of the claims' horizon.
	horizonInterval = 10 * time.Second
)

// Open opens the witness and the copy on the disk and reports whether the witness was blank. A
// blank or damaged witness gets a new identity, and the files of the copy, which belonged to the
// old identity, are removed. Errors come from the storages.
func Open(
	rt runtime.Runtime,
	client wire.Client,
	witnessStorage, copyStorage replication.Storage,
	options Options,
	observe func(event string, detail ...any),
) (*Controller, bool, error) {
	replica := replication.Replica{Address: options.Address, Name: options.Name}
	witness, blank, err := replication.OpenWitness(rt.Now(), witnessStorage, replica, options.NewIdentity)
	if err != nil {
		return nil, false, err
	}
	if blank {
		if err := clearStorage(copyStorage); err != nil {
			return nil, true, err
		}
	}
	localReplica, err := replication.OpenLocalReplica(copyStorage)
	if err != nil {
		return nil, blank, err
	}
	if damage := localReplica.Damage(); damage != "" {
		observe("replica_damaged", "damage", damage)
	}
	witness.SetLock(runtime.NewLock(rt))
	localReplica.SetLock(runtime.NewLock(rt))
	controller := &Controller{
		runtime:       rt,
		client:        client,
		options:       options,
		observe:       observe,
		witness:       witness,
		store:         replication.NewStore(localReplica, witness),
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
	// The neighbours, and the members that are recorded in the copy, may know the current membership.
	controller.setContacts()
	controller.applyMembers(follower.Update{Changed: localReplica.Sections()})
	controller.handlerTable = controller.handlers()
	return controller, blank, nil
}

// newCoordinator creates the coordinator from the options and logs the timing derived from them.
func (c *Controller) newCoordinator() {
	options := c.options
	c.coordinator = replication.NewCoordinator(c.runtime, options.Seeds, c.witness, c.store, &peers{client: c.client}, c.observe)
	if options.JoinsOnly {
		c.coordinator.SetJoinOnly()
	}
	timing := replication.TimingFor(options.CatchUp)
	c.coordinator.SetTiming(timing)
	c.coordinator.SetTolerance(options.ToleratedLosses, options.Zone)
	c.observe("timing", "catch_up", timing.CatchUpLimit.String(), "lease", timing.Lease.String(),
		"repair", timing.RepairTime().String(), "margin", timing.Margin().String())
}

// clearStorage removes all files of a storage.
func clearStorage(storage replication.Storage) error {
	files, damaged, err := storage.Load()
	if err != nil {
		return err
	}
	for name := range files {
		damaged = append(damaged, name)
	}
	return storage.Remove(damaged)
}

// Loops returns the controller's loops. Each runs in its own thread until the process ends, except for
// readNodes, which returns if the platform has no list of nodes.
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

// Leave transfers the roles of this controller as primary, copy and witness to other controllers.
// It returns when nothing depends on this controller, when no other controller can take over, or
// when the timeout passes. The controller continues to operate until then. The outcome of a change
// to which this controller has not responded by then is unknown.
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

// announceLeave announces to the other controllers that this one leaves, until it may stop or the
// deadline passes.
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

// Servers returns the platform's list of servers as it was last read.
func (c *Controller) Servers() []membership.Server {
	return c.serverList.servers(c.runtime.Now())
}

// Witness returns the witness on this disk.
func (c *Controller) Witness() *replication.Witness { return c.witness }

// Store returns the store of the replicated state on this disk.
func (c *Controller) Store() *replication.Store { return c.store }

// Coordinator returns the coordinator, which takes part in the election of the primary.
func (c *Controller) Coordinator() *replication.Coordinator { return c.coordinator }

// LastUpdateAt returns when a response of a primary was last applied.
func (c *Controller) LastUpdateAt() time.Time { return c.follower.LastUpdateAt() }

// UpdateCounts returns the number of responses to polls, and the section bytes and the number of
// configurations that they contained.
func (c *Controller) UpdateCounts() (answers, bytes, configurations uint64) {
	return c.updateAnswers.Load(), c.updateBytes.Load(), c.configurationsSent.Load()
}

// UpdateBytes counts the bytes of responses to polls by kind, before compression: contents of
// configurations and of other sections, encoded lists of servers and encoded loads.
type UpdateBytes struct {
	Configuration, OtherSections, Servers, Loads uint64
}

// UpdateBytes returns the bytes of responses to polls by kind.
func (c *Controller) UpdateBytes() UpdateBytes {
	configuration := c.configurationBytes.Load()
	sent := UpdateBytes{Configuration: configuration, OtherSections: c.updateBytes.Load() - configuration}
	sent.Servers, sent.Loads = c.serverList.sentBytes()
	return sent
}

// Supported returns the feature flags that this controller supports.
func (c *Controller) Supported() features.List { return c.options.Supported }
