package hatch

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// Controller is the control plane's conduct at one node: the copy and the epoch
// keeper on its disk, and, while it is primary, the answers to nodes and
// operators.
type Controller struct {
	runtime     runtime.Runtime
	line        Hotline
	options     ControllerOptions
	observe     func(event string, detail ...any)
	witness     *replication.Witness
	store       *replication.Store
	coordinator *replication.Coordinator
	followed    *Follower
	answers     Answers
	update      runtime.Cond
	terms       runtime.Cond
	lists       lists
	work        runtime.Cond
	confirmed   runtime.Cond
	edits       runtime.Cond

	submitted          atomic.Uint64
	updateAnswers      atomic.Uint64
	updateBytes        atomic.Uint64
	configurationsSent atomic.Uint64

	acknowledgeWait atomic.Int64

	mutex sync.Mutex
	term  *Term
	// epoch is that of the newest charter that was told to those who ask for news.
	epoch    uint64
	nodes    []string
	members  map[string]membership.Member
	mending  bool
	mendedAt time.Time
	editing  bool
}

// The pauses of an expediter's rounds. The values are ours.
const (
	tickPause         = 150 * time.Millisecond
	housekeepingPause = 300 * time.Millisecond
	sweepPause        = 5 * time.Second
	commitPause       = 100 * time.Millisecond
	// idlePause lies between two looks when there is nothing to do.
	idlePause = time.Second
	mendPause = time.Second
	// leavePause lies between two looks of an expediter that leaves.
	leavePause = 20 * time.Millisecond
	// horizonPause is the time between two moves of the claims' horizon.
	horizonPause = 10 * time.Second
)

// OpenController opens what the disk holds. A blank or damaged keeper's shelf is
// a new identity, for which the copy that may lie there is emptied.
func OpenController(rt runtime.Runtime, line Hotline, keeping, copies replication.Storage, options ControllerOptions, observe func(string, ...any)) (*Controller, bool, error) {
	replica := replication.Replica{Address: options.Address, Name: options.Name}
	witness, blank, err := replication.OpenWitness(rt.Now(), keeping, replica, options.Fresh)
	if err != nil {
		return nil, false, err
	}
	if blank {
		// Whatever copy lies here belonged to an identity that is gone.
		if err := empty(copies); err != nil {
			return nil, true, err
		}
	}
	copied, err := replication.OpenCopy(copies)
	if err != nil {
		return nil, blank, err
	}
	if damage := copied.Damage(); damage != "" {
		observe("copy_damaged", "damage", damage)
	}
	witness.Guard(runtime.NewLock(rt))
	copied.Guard(runtime.NewLock(rt))
	controller := &Controller{runtime: rt, line: line, options: options, observe: observe, witness: witness, store: replication.NewStore(copied, witness),
		update: rt.NewCond(), terms: rt.NewCond(), work: rt.NewCond(), confirmed: rt.NewCond(), edits: rt.NewCond()}
	controller.store.Guard(runtime.NewLock(rt))
	controller.coordinator = replication.NewCoordinator(rt, options.Seeds, witness, controller.store, &peers{line: line}, observe)
	if options.JoinsOnly {
		controller.coordinator.JoinOnly()
	}
	timing := replication.TimingFor(options.CatchUp)
	controller.coordinator.SetTiming(timing)
	controller.coordinator.Bear(options.BorneLosses, options.Zone)
	observe("timing", "catch_up", timing.CatchUp.String(), "lease", timing.Lease.String(), "repair", timing.Repair().String(), "margin", timing.Margin().String())
	member := membership.Member{Name: options.Name, Kind: membership.Controller, Address: options.Address, Zone: options.Zone, Supported: options.Supported}
	controller.followed = NewFollower(rt, line, member, options.Seeds, func() replication.Version { return replication.Version{} }, controller.takeUpdate)
	controller.followed.Follow(options.Directory != nil, false)
	controller.SetAcknowledgeWait(options.AcknowledgeWait)
	// Who was recorded when this disk was written last may know where the core is now.
	controller.takeMembers(Update{Changed: copied.Sections()})
	controller.answers = controller.table()
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

// Rounds are what an expediter does over and over, each in a thread of its own.
func (controller *Controller) Rounds() []func() {
	every := func(pause time.Duration, task func()) func() {
		return func() { runtime.Every(controller.runtime, pause, task) }
	}
	rounds := []func(){every(tickPause, controller.tick), controller.keepHouse, every(sweepPause, controller.sweep),
		controller.commit, controller.followed.Run}
	if controller.options.Directory != nil {
		rounds = append(rounds, controller.readServers, controller.readNodes)
	}
	if controller.options.Reports != nil {
		rounds = append(rounds, controller.readReports)
	}
	return rounds
}

// Leave hands over what this expediter has, the lead, its copy and its witness's seat, and
// returns when nothing depends on it any more or the patience ends. It goes on as before
// until then. What was not answered yet has no known outcome.
func (controller *Controller) Leave(patience time.Duration) {
	ends := controller.runtime.Now().Add(patience)
	controller.coordinator.Leave()
	for !controller.coordinator.Released() && controller.runtime.Now().Before(ends) {
		runtime.Sleep(controller.runtime, leavePause)
	}
	controller.observe("left", "released", controller.coordinator.Released())
}

// SetSeeds exchanges the seeds, after a reload.
func (controller *Controller) SetSeeds(seeds []string) {
	controller.coordinator.SetSeeds(seeds)
	controller.followed.SetSeeds(seeds)
}

// Servers is the platform's list as it was read last.
func (controller *Controller) Servers() []membership.Server {
	return controller.lists.servers(controller.runtime.Now())
}

// setNodes takes the platform's list of nodes.
func (controller *Controller) setNodes(nodes []membership.Node) {
	var addresses []string
	for _, node := range nodes {
		if node.Kind == membership.Controller && node.Address != controller.options.Address {
			addresses = append(addresses, node.Address)
		}
	}
	controller.mutex.Lock()
	controller.nodes = addresses
	controller.mutex.Unlock()
	controller.setContacts()
}

// setMembers takes the recorded members.
func (controller *Controller) setMembers(members map[string]membership.Member) {
	controller.mutex.Lock()
	controller.members = members
	controller.mutex.Unlock()
	controller.setContacts()
}

// setContacts names the other expediters that the platform or the record knows, and the
// recorded couriers, the nearest first: when the seeds and all that this expediter knew
// are replaced, one of these tells where the core is.
func (controller *Controller) setContacts() {
	controller.mutex.Lock()
	contacts := slices.Clone(controller.nodes)
	var recorded []string
	for _, name := range slices.Sorted(maps.Keys(controller.members)) {
		if member := controller.members[name]; member.Kind == membership.Controller && name != controller.options.Name {
			recorded = append(recorded, member.Address)
		}
	}
	var peers []string
	for _, name := range membership.Ranked(controller.options.Name, routersOf(controller.members)) {
		peers = append(peers, controller.members[name].Address)
	}
	controller.mutex.Unlock()
	controller.coordinator.SetContacts(contacts)
	controller.coordinator.SetRecorded(append(slices.Clone(recorded), peers...))
	for _, address := range recorded {
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	controller.followed.SetContacts(contacts, peers)
}

// Witness is the epoch keeper on this disk.
func (controller *Controller) Witness() *replication.Witness { return controller.witness }

// Store is this disk's part in the larder.
func (controller *Controller) Store() *replication.Store { return controller.store }

// Coordinator decides who is primary, from this node's point of view.
func (controller *Controller) Coordinator() *replication.Coordinator { return controller.coordinator }

// Heard is when a primary answered this node last.
func (controller *Controller) Heard() time.Time { return controller.followed.Heard() }

// UpdateCounts tells how many answers, bytes of drawers and configurations went
// out.
func (controller *Controller) UpdateCounts() (answers, bytes, configurations uint64) {
	return controller.updateAnswers.Load(), controller.updateBytes.Load(), controller.configurationsSent.Load()
}

func (controller *Controller) tick() {
	controller.coordinator.Tick()
	// It may wait for the disk, and nobody may wait for that here.
	leading := controller.store.Leading()
	epoch := controller.coordinator.Membership().Epoch
	controller.mutex.Lock()
	moved := epoch != controller.epoch
	controller.epoch = epoch
	begun, ended := leading && controller.term == nil, !leading && controller.term != nil
	if begun {
		controller.term = newTerm(controller.runtime.Now())
	}
	if ended {
		controller.term = nil
	}
	controller.mutex.Unlock()
	if begun {
		controller.lists.begin(controller.coordinator.Membership().Epoch)
		controller.terms.Broadcast()
	}
	if ended {
		controller.lists.end()
	}
	if ended || moved {
		controller.update.Broadcast()
	}
}

// Ruling gives the reign and the committed view if this expediter is primary at
// this moment.
func (controller *Controller) Ruling() (*Term, *replication.View, error) {
	controller.mutex.Lock()
	current := controller.term
	controller.mutex.Unlock()
	view := controller.store.View()
	if current == nil || view == nil || !controller.coordinator.Holds() {
		return nil, nil, failure.New(failure.NoPrimary, "this expediter is not primary")
	}
	return current, view, nil
}

// Read is the committed state for a reader: the hold is checked after the view
// was taken, so that it was the newest at some moment of the call. The copies
// that it finds old are mended.
func (controller *Controller) Read() (*Term, *replication.View, *replication.State, error) {
	current, view, err := controller.Ruling()
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := controller.state(current, view)
	if err != nil {
		return nil, nil, nil, err
	}
	if !controller.coordinator.Holds() {
		return nil, nil, nil, failure.New(failure.NoPrimary, "the hold ran out")
	}
	controller.runtime.Go(func() { controller.mendCopies(view) })
	return current, view, state, nil
}

// state is the committed state, decoded once for each version.
func (controller *Controller) state(current *Term, view *replication.View) (*replication.State, error) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if current.state != nil && current.stateAt == view.Version {
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
	current.state, current.stateAt = state, view.Version
	return state, nil
}

// commit syncs batches on every copy in sync, one after another.
func (controller *Controller) commit() {
	for controller.runtime.Alive() {
		seen := controller.submitted.Load()
		if controller.commitOne() {
			continue
		}
		pause := idlePause
		if controller.store.Waiting() {
			pause = commitPause
		}
		controller.work.Wait(pause, func() bool { return controller.submitted.Load() != seen })
	}
}

func (controller *Controller) commitOne() bool {
	membership := controller.coordinator.Membership()
	if membership.Backup.Empty() || !controller.coordinator.Holds() {
		return false
	}
	batch, found := controller.store.Begin()
	if !found || batch.Version.Epoch != membership.Epoch {
		return false
	}
	if !batch.Empty() && !controller.sync(membership, batch) {
		return false
	}
	if !controller.store.Commit(batch) {
		return false
	}
	if !batch.Empty() {
		controller.update.Broadcast()
	}
	return true
}

// sync brings a batch to all disks at once and tells whether it is on each.
func (controller *Controller) sync(membership replication.Membership, batch replication.Batch) bool {
	var mutex sync.Mutex
	var own error
	kept := false
	cond := controller.runtime.NewCond()
	controller.runtime.Go(func() {
		controller.coordinator.OwnDisk(true)
		err := controller.store.KeepOwn(batch)
		controller.coordinator.OwnDisk(err != nil)
		mutex.Lock()
		own, kept = err, true
		mutex.Unlock()
		cond.Broadcast()
	})
	var missing error
	waits := 0
	replicate := func(backup replication.Replica) {
		err := (&peers{line: controller.line}).Replicate(controller.coordinator.Address(backup), backup.Identity, membership.Epoch, batch)
		controller.coordinator.BackupAnswered(backup.Identity, err == nil)
		mutex.Lock()
		missing = multierr.Append(missing, err)
		mutex.Unlock()
	}
	for _, further := range membership.Further {
		waits++
		controller.runtime.Go(func() {
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
		if !controller.runtime.Alive() {
			return false
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	if missing != nil || own != nil {
		controller.observe("write_not_synced", "version", batch.Version.String(), "backup", missing, "own", own)
		return false
	}
	return true
}

// queue hands a change to the next batch.
func (controller *Controller) queue(change replication.Change, done replication.Done) {
	controller.store.Submit(change, done)
	controller.submitted.Add(1)
	controller.work.Broadcast()
}

// submit waits until a change is synced on every copy in sync. When that can't be
// known in time the outcome is called unknown.
func (controller *Controller) submit(change replication.Change, patience time.Duration) (replication.Version, error) {
	var mutex sync.Mutex
	var version replication.Version
	var err error
	answered := false
	cond := controller.runtime.NewCond()
	controller.queue(change, func(committed replication.Version, ended error) {
		mutex.Lock()
		version, err, answered = committed, ended, true
		mutex.Unlock()
		cond.Broadcast()
	})
	cond.Wait(patience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return answered
	})
	mutex.Lock()
	defer mutex.Unlock()
	switch {
	case !answered:
		return replication.Version{}, failure.New(failure.Unknown, "the change was not synced on both copies in time")
	case failure.KindOf(err) == failure.NotPrimary:
		return version, err
	case !controller.coordinator.Holds():
		// A refusal is an answer too: without the lease it may rest on an old state.
		return version, failure.New(failure.Unknown, "the hold ran out while the change was under way")
	case err != nil:
		return version, err
	}
	return version, nil
}

// takeUpdate follows the enabled set as every node does, and the list of servers, to
// lead with it at once.
func (controller *Controller) takeUpdate(update Update) {
	if update.Servers != nil && !controller.lists.leading() {
		controller.lists.take(update.Servers.At, update.Servers.Servers)
	}
	controller.takeMembers(update)
	section, found := update.Changed[replication.FlagsSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.FlagsSection: section})
	if err != nil {
		controller.observe("flags_unreadable", "cause", err)
		return
	}
	lacking := controller.options.Supported.Lacks(state.Flags.Enabled)
	controller.coordinator.SetRestricted(len(lacking) > 0)
	controller.coordinator.SetBackupList(state.Flags.Enabled.Has(features.BackupList))
	controller.observe("flags_read", "enabled", state.Flags.Enabled, "lacking", lacking)
}

// takeMembers takes the recorded members from news, or from the own copy.
func (controller *Controller) takeMembers(update Update) {
	section, found := update.Changed[replication.MembersSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.MembersSection: section})
	if err != nil {
		controller.observe("members_unreadable", "cause", err)
		return
	}
	controller.setMembers(state.Members)
}

// Supported is the node's own list of flags.
func (controller *Controller) Supported() features.List { return controller.options.Supported }
