package controlplane

import (
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Controller is the control plane's conduct at one node: the copy and the epoch
// keeper on its disk, and, while it is primary, the answers to nodes and
// operators.
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
	pending       runtime.Cond
	confirmations runtime.Cond
	editDone      runtime.Cond

	submitted          atomic.Uint64
	updateAnswers      atomic.Uint64
	updateBytes        atomic.Uint64
	configurationsSent atomic.Uint64

	acknowledgeWait atomic.Int64

	mutex sync.Mutex
	term  *Term
	// epoch is that of the newest membership that was told to those who ask for news.
	epoch      uint64
	nodes      []string
	members    map[string]membership.Member
	repairing  bool
	repairedAt time.Time
	editing    bool
}

// The pauses of a controller's rounds. The values are ours.
const (
	tickInterval         = 150 * time.Millisecond
	housekeepingInterval = 300 * time.Millisecond
	sweepInterval        = 5 * time.Second
	commitInterval       = 100 * time.Millisecond
	// idleInterval lies between two looks when there is nothing to do.
	idleInterval   = time.Second
	repairInterval = time.Second
	// leaveInterval lies between two looks of a controller that leaves.
	leaveInterval = 20 * time.Millisecond
	// horizonInterval is the time between two moves of the claims' horizon.
	horizonInterval = 10 * time.Second
)

// Open opens what the disk holds. A blank or damaged keeper's storage is
// a new identity, for which the copy that may lie there is emptied.
func Open(rt runtime.Runtime, client wire.Client, keeping, c replication.Storage, options Options, observe func(string, ...any)) (*Controller, bool, error) {
	replica := replication.Replica{Address: options.Address, Name: options.Name}
	witness, blank, err := replication.OpenWitness(rt.Now(), keeping, replica, options.Fresh)
	if err != nil {
		return nil, false, err
	}
	if blank {
		// Whatever copy lies here belonged to an identity that is gone.
		if err := empty(c); err != nil {
			return nil, true, err
		}
	}
	copied, err := replication.OpenLocalReplica(c)
	if err != nil {
		return nil, blank, err
	}
	if damage := copied.Damage(); damage != "" {
		observe("copy_damaged", "damage", damage)
	}
	witness.SetLock(runtime.NewLock(rt))
	copied.SetLock(runtime.NewLock(rt))
	controller := &Controller{runtime: rt, client: client, options: options, observe: observe, witness: witness, store: replication.NewStore(copied, witness),
		updated: rt.NewCond(), termBegan: rt.NewCond(), pending: rt.NewCond(), confirmations: rt.NewCond(), editDone: rt.NewCond()}
	controller.store.SetLock(runtime.NewLock(rt))
	controller.coordinator = replication.NewCoordinator(rt, options.Seeds, witness, controller.store, &peers{client: client}, observe)
	if options.JoinsOnly {
		controller.coordinator.SetJoinOnly()
	}
	timing := replication.TimingFor(options.CatchUp)
	controller.coordinator.SetTiming(timing)
	controller.coordinator.SetTolerance(options.ToleratedLosses, options.Zone)
	observe("timing", "catch_up", timing.CatchUp.String(), "lease", timing.Lease.String(), "repair", timing.RepairTime().String(), "margin", timing.Margin().String())
	member := membership.Member{Name: options.Name, Kind: membership.Controller, Address: options.Address, Zone: options.Zone, Supported: options.Supported}
	controller.follower = follower.New(rt, client, member, options.Seeds, func() replication.Version { return replication.Version{} }, controller.applyUpdate)
	controller.follower.Follow(options.Directory != nil, false)
	controller.SetAcknowledgeWait(options.AcknowledgeWait)
	// Who was recorded when this disk was written last may know where the core is now.
	controller.applyMembers(follower.Update{Changed: copied.Sections()})
	controller.handlerTable = controller.handlers()
	return controller, blank, nil
}

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

// Loops are what a controller does over and over, each in a thread of its own.
func (c *Controller) Loops() []func() {
	every := func(pause time.Duration, task func()) func() {
		return func() { runtime.Every(c.runtime, pause, task) }
	}
	rounds := []func(){every(tickInterval, c.tick), c.housekeepWhileLeading, every(sweepInterval, c.sweep),
		c.commit, c.follower.Run}
	if c.options.Directory != nil {
		rounds = append(rounds, c.readServers, c.readNodes)
	}
	if c.options.LoadReader != nil {
		rounds = append(rounds, c.readReports)
	}
	return rounds
}

// Leave hands over what this controller has, the lead, its copy and its witness's seat, and
// returns when nothing depends on it any more or the patience ends. It goes on as before
// until then. What was not answered yet has no known outcome.
func (c *Controller) Leave(timeout time.Duration) {
	deadline := c.runtime.Now().Add(timeout)
	c.coordinator.Leave()
	for !c.coordinator.ReadyToStop() && c.runtime.Now().Before(deadline) {
		runtime.Sleep(c.runtime, leaveInterval)
	}
	c.observe("left", "released", c.coordinator.ReadyToStop())
}

// SetSeeds exchanges the seeds, after a reload.
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

// Heard is when a primary answered this node last.
func (c *Controller) Heard() time.Time { return c.follower.Heard() }

// UpdateCounts tells how many answers, bytes of sections and configurations went
// out.
func (c *Controller) UpdateCounts() (answers, bytes, configurations uint64) {
	return c.updateAnswers.Load(), c.updateBytes.Load(), c.configurationsSent.Load()
}

// Supported is the node's own list of flags.
func (c *Controller) Supported() features.List { return c.options.Supported }
