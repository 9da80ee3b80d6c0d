package controlplane

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
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

// setNodes takes the platform's list of nodes.
func (c *Controller) setNodes(nodes []membership.Node) {
	var addresses []string
	for _, node := range nodes {
		if node.Kind == membership.Controller && node.Address != c.options.Address {
			addresses = append(addresses, node.Address)
		}
	}
	c.mutex.Lock()
	c.nodes = addresses
	c.mutex.Unlock()
	c.setContacts()
}

// setMembers takes the recorded members.
func (c *Controller) setMembers(members map[string]membership.Member) {
	c.mutex.Lock()
	c.members = members
	c.mutex.Unlock()
	c.setContacts()
}

// setContacts names the other controllers that the platform or the record knows, and the
// recorded routers, the nearest first: when the seeds and all that this controller knew
// are replaced, one of these tells where the core is.
func (c *Controller) setContacts() {
	c.mutex.Lock()
	contacts := slices.Clone(c.nodes)
	var recorded []string
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if member := c.members[name]; member.Kind == membership.Controller && name != c.options.Name {
			recorded = append(recorded, member.Address)
		}
	}
	var p []string
	for _, name := range membership.Ranked(c.options.Name, membership.RouterNames(c.members)) {
		p = append(p, c.members[name].Address)
	}
	c.mutex.Unlock()
	c.coordinator.SetDiscovered(contacts)
	c.coordinator.SetMemberAddresses(append(slices.Clone(recorded), p...))
	for _, address := range recorded {
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	c.follower.SetContacts(contacts, p)
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

func (c *Controller) tick() {
	c.coordinator.Tick()
	// It may wait for the disk, and nobody may wait for that here.
	leading := c.store.Leading()
	epoch := c.coordinator.Membership().Epoch
	c.mutex.Lock()
	moved := epoch != c.epoch
	c.epoch = epoch
	begun, ended := leading && c.term == nil, !leading && c.term != nil
	if begun {
		c.term = newTerm(c.runtime.Now())
	}
	if ended {
		c.term = nil
	}
	c.mutex.Unlock()
	if begun {
		c.serverList.beginTerm(c.coordinator.Membership().Epoch)
		c.termBegan.Broadcast()
	}
	if ended {
		c.serverList.endTerm()
	}
	if ended || moved {
		c.updated.Broadcast()
	}
}

// Leading gives the term and the committed view if this controller is primary at
// this moment.
func (c *Controller) Leading() (*Term, *replication.View, error) {
	c.mutex.Lock()
	current := c.term
	c.mutex.Unlock()
	view := c.store.View()
	if current == nil || view == nil || !c.coordinator.HasLease() {
		return nil, nil, failure.New(failure.NoPrimary, "this expediter is not primary")
	}
	return current, view, nil
}

// Read is the committed state for a reader: the hold is checked after the view
// was taken, so that it was the newest at some moment of the call. The copies
// that it finds old are mended.
func (c *Controller) Read() (*Term, *replication.View, *replication.State, error) {
	current, view, err := c.Leading()
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := c.state(current, view)
	if err != nil {
		return nil, nil, nil, err
	}
	if !c.coordinator.HasLease() {
		return nil, nil, nil, failure.New(failure.NoPrimary, "the hold ran out")
	}
	c.runtime.Go(func() { c.repairCopies(view) })
	return current, view, state, nil
}

// state is the committed state, decoded once for each version.
func (c *Controller) state(current *Term, view *replication.View) (*replication.State, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if current.state != nil && current.stateVersion == view.Version {
		return current.state, nil
	}
	// Claims are many and asked for nowhere but in their own changes.
	sections := map[string]replication.Section{}
	for _, name := range []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.RolesSection, replication.OrdersSection, replication.ChangesSection} {
		if section, found := view.Sections[name]; found {
			sections[name] = section
		}
	}
	state, err := replication.ReadState(sections)
	if err != nil {
		return nil, err
	}
	current.state, current.stateVersion = state, view.Version
	return state, nil
}

// commit syncs batches on every copy in sync, one after another.
func (c *Controller) commit() {
	for c.runtime.Alive() {
		seen := c.submitted.Load()
		if c.commitOne() {
			continue
		}
		pause := idleInterval
		if c.store.HasPending() {
			pause = commitInterval
		}
		c.pending.Wait(pause, func() bool { return c.submitted.Load() != seen })
	}
}

func (c *Controller) commitOne() bool {
	membership := c.coordinator.Membership()
	if membership.Backup.Empty() || !c.coordinator.HasLease() {
		return false
	}
	batch, found := c.store.NextBatch()
	if !found || batch.Version.Epoch != membership.Epoch {
		return false
	}
	if !batch.Empty() && !c.sync(membership, batch) {
		return false
	}
	if !c.store.Commit(batch) {
		return false
	}
	if !batch.Empty() {
		c.updated.Broadcast()
	}
	return true
}

// sync brings a batch to all disks at once and tells whether it is on each.
func (c *Controller) sync(membership replication.Membership, batch replication.Batch) bool {
	var mutex sync.Mutex
	var own error
	kept := false
	cond := c.runtime.NewCond()
	c.runtime.Go(func() {
		c.coordinator.SetDiskBusy(true)
		err := c.store.WriteLocal(batch)
		c.coordinator.SetDiskBusy(err != nil)
		mutex.Lock()
		own, kept = err, true
		mutex.Unlock()
		cond.Broadcast()
	})
	var missing error
	waits := 0
	replicate := func(backup replication.Replica) {
		err := (&peers{client: c.client}).Replicate(c.coordinator.Address(backup), backup.Identity, membership.Epoch, batch)
		c.coordinator.RecordBackupResult(backup.Identity, err == nil)
		mutex.Lock()
		missing = multierr.Append(missing, err)
		mutex.Unlock()
	}
	for _, further := range membership.Further {
		waits++
		c.runtime.Go(func() {
			replicate(further)
			mutex.Lock()
			waits--
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	replicate(membership.Backup)
	ended := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return kept && waits == 0
	}
	// The own disk may stall for as long as it likes: nothing else is written
	// meanwhile.
	for !cond.Wait(time.Second, ended) {
		if !c.runtime.Alive() {
			return false
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	if missing != nil || own != nil {
		c.observe("write_not_synced", "version", batch.Version.String(), "backup", missing, "own", own)
		return false
	}
	return true
}

// queue hands a change to the next batch.
func (c *Controller) queue(change replication.Change, done replication.Done) {
	c.store.Submit(change, done)
	c.submitted.Add(1)
	c.pending.Broadcast()
}

// submit waits until a change is synced on every copy in sync. When that can't be
// known in time the outcome is called unknown.
func (c *Controller) submit(change replication.Change, timeout time.Duration) (replication.Version, error) {
	var mutex sync.Mutex
	var version replication.Version
	var err error
	answered := false
	cond := c.runtime.NewCond()
	c.queue(change, func(committed replication.Version, ended error) {
		mutex.Lock()
		version, err, answered = committed, ended, true
		mutex.Unlock()
		cond.Broadcast()
	})
	cond.Wait(timeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return answered
	})
	mutex.Lock()
	defer mutex.Unlock()
	switch {
	case !answered:
		return replication.Version{}, failure.New(failure.Unknown, "the change was not synced on both copies in time")
	case failure.CodeOf(err) == failure.NotPrimary:
		return version, err
	case !c.coordinator.HasLease():
		// A refusal is an answer too: without the lease it may rest on an old state.
		return version, failure.New(failure.Unknown, "the hold ran out while the change was under way")
	case err != nil:
		return version, err
	}
	return version, nil
}

// applyUpdate follows the enabled set as every node does, and the list of servers, to
// lead with it at once.
func (c *Controller) applyUpdate(update follower.Update) {
	if update.Servers != nil && !c.serverList.leading() {
		c.serverList.update(update.Servers.ReadAt, update.Servers.Servers)
	}
	c.applyMembers(update)
	section, found := update.Changed[replication.FlagsSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.FlagsSection: section})
	if err != nil {
		c.observe("flags_unreadable", "cause", err)
		return
	}
	lacking := c.options.Supported.Lacks(state.Flags.Enabled)
	c.coordinator.SetRestricted(len(lacking) > 0)
	c.coordinator.SetBackupList(state.Flags.Enabled.Has(features.BackupList))
	c.observe("flags_read", "enabled", state.Flags.Enabled, "lacking", lacking)
}

// applyMembers takes the recorded members from news, or from the own copy.
func (c *Controller) applyMembers(update follower.Update) {
	section, found := update.Changed[replication.MembersSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.MembersSection: section})
	if err != nil {
		c.observe("members_unreadable", "cause", err)
		return
	}
	c.setMembers(state.Members)
}

// Supported is the node's own list of flags.
func (c *Controller) Supported() features.List { return c.options.Supported }
