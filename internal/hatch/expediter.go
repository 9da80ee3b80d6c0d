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

// Expediter is the control plane's conduct at one node: the copy and the epoch
// keeper on its disk, and, while it is primary, the answers to nodes and
// operators.
type Expediter struct {
	turns       runtime.Runtime
	line        Hotline
	options     ExpediterOptions
	observe     func(event string, detail ...any)
	witness     *replication.Witness
	store       *replication.Store
	coordinator *replication.Coordinator
	followed    *Follower
	answers     Answers
	news        runtime.Cond
	reigns      runtime.Cond
	lists       lists
	work        runtime.Cond
	confirmed   runtime.Cond
	edits       runtime.Cond

	submitted   atomic.Uint64
	newsAnswers atomic.Uint64
	newsBytes   atomic.Uint64
	menusSent   atomic.Uint64

	acknowledgeWait atomic.Int64

	mutex sync.Mutex
	reign *Reign
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

// OpenExpediter opens what the disk holds. A blank or damaged keeper's shelf is
// a new identity, for which the copy that may lie there is emptied.
func OpenExpediter(turns runtime.Runtime, line Hotline, keeping, copies replication.Shelf, options ExpediterOptions, observe func(string, ...any)) (*Expediter, bool, error) {
	replica := replication.Replica{Address: options.Address, Name: options.Name}
	witness, blank, err := replication.OpenWitness(turns.Now(), keeping, replica, options.Fresh)
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
	witness.Guard(runtime.NewLock(turns))
	copied.Guard(runtime.NewLock(turns))
	expediter := &Expediter{turns: turns, line: line, options: options, observe: observe, witness: witness, store: replication.NewStore(copied, witness),
		news: turns.NewCond(), reigns: turns.NewCond(), work: turns.NewCond(), confirmed: turns.NewCond(), edits: turns.NewCond()}
	expediter.store.Guard(runtime.NewLock(turns))
	expediter.coordinator = replication.NewCoordinator(turns, options.Seeds, witness, expediter.store, &peers{line: line}, observe)
	if options.JoinsOnly {
		expediter.coordinator.JoinOnly()
	}
	timing := replication.TimingFor(options.CatchUp)
	expediter.coordinator.SetTiming(timing)
	expediter.coordinator.Bear(options.BorneLosses, options.District)
	observe("timing", "catch_up", timing.CatchUp.String(), "lease", timing.Lease.String(), "repair", timing.Repair().String(), "margin", timing.Margin().String())
	member := membership.Member{Name: options.Name, Kind: membership.Expediter, Address: options.Address, District: options.District, Supported: options.Supported}
	expediter.followed = NewFollower(turns, line, member, options.Seeds, func() replication.Version { return replication.Version{} }, expediter.takeNews)
	expediter.followed.Follow(options.Directory != nil, false)
	expediter.SetAcknowledgeWait(options.AcknowledgeWait)
	// Who was recorded when this disk was written last may know where the core is now.
	expediter.takeMembers(News{Changed: copied.Drawers()})
	expediter.answers = expediter.table()
	return expediter, blank, nil
}

func empty(shelf replication.Shelf) error {
	files, damaged, err := shelf.Load()
	if err != nil {
		return err
	}
	for name := range files {
		damaged = append(damaged, name)
	}
	return shelf.Remove(damaged)
}

// Rounds are what an expediter does over and over, each in a thread of its own.
func (expediter *Expediter) Rounds() []func() {
	every := func(pause time.Duration, task func()) func() {
		return func() { runtime.Every(expediter.turns, pause, task) }
	}
	rounds := []func(){every(tickPause, expediter.tick), expediter.keepHouse, every(sweepPause, expediter.sweep),
		expediter.commit, expediter.followed.Run}
	if expediter.options.Directory != nil {
		rounds = append(rounds, expediter.readServers, expediter.readNodes)
	}
	if expediter.options.Reports != nil {
		rounds = append(rounds, expediter.readReports)
	}
	return rounds
}

// Leave hands over what this expediter has, the lead, its copy and its witness's seat, and
// returns when nothing depends on it any more or the patience ends. It goes on as before
// until then. What was not answered yet has no known outcome.
func (expediter *Expediter) Leave(patience time.Duration) {
	ends := expediter.turns.Now().Add(patience)
	expediter.coordinator.Leave()
	for !expediter.coordinator.Released() && expediter.turns.Now().Before(ends) {
		runtime.Sleep(expediter.turns, leavePause)
	}
	expediter.observe("left", "released", expediter.coordinator.Released())
}

// SetSeeds exchanges the seeds, after a reload.
func (expediter *Expediter) SetSeeds(seeds []string) {
	expediter.coordinator.SetSeeds(seeds)
	expediter.followed.SetSeeds(seeds)
}

// Servers is the platform's list as it was read last.
func (expediter *Expediter) Servers() []membership.Server {
	return expediter.lists.servers(expediter.turns.Now())
}

// setNodes takes the platform's list of nodes.
func (expediter *Expediter) setNodes(nodes []membership.Node) {
	var addresses []string
	for _, node := range nodes {
		if node.Kind == membership.Expediter && node.Address != expediter.options.Address {
			addresses = append(addresses, node.Address)
		}
	}
	expediter.mutex.Lock()
	expediter.nodes = addresses
	expediter.mutex.Unlock()
	expediter.setContacts()
}

// setMembers takes the recorded members.
func (expediter *Expediter) setMembers(members map[string]membership.Member) {
	expediter.mutex.Lock()
	expediter.members = members
	expediter.mutex.Unlock()
	expediter.setContacts()
}

// setContacts names the other expediters that the platform or the record knows, and the
// recorded couriers, the nearest first: when the seeds and all that this expediter knew
// are replaced, one of these tells where the core is.
func (expediter *Expediter) setContacts() {
	expediter.mutex.Lock()
	contacts := slices.Clone(expediter.nodes)
	var recorded []string
	for _, name := range slices.Sorted(maps.Keys(expediter.members)) {
		if member := expediter.members[name]; member.Kind == membership.Expediter && name != expediter.options.Name {
			recorded = append(recorded, member.Address)
		}
	}
	var peers []string
	for _, name := range membership.Ranked(expediter.options.Name, couriersOf(expediter.members)) {
		peers = append(peers, expediter.members[name].Address)
	}
	expediter.mutex.Unlock()
	expediter.coordinator.SetContacts(contacts)
	expediter.coordinator.SetRecorded(append(slices.Clone(recorded), peers...))
	for _, address := range recorded {
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	expediter.followed.SetContacts(contacts, peers)
}

// Witness is the epoch keeper on this disk.
func (expediter *Expediter) Witness() *replication.Witness { return expediter.witness }

// Store is this disk's part in the larder.
func (expediter *Expediter) Store() *replication.Store { return expediter.store }

// Coordinator decides who is primary, from this node's point of view.
func (expediter *Expediter) Coordinator() *replication.Coordinator { return expediter.coordinator }

// Heard is when a primary answered this node last.
func (expediter *Expediter) Heard() time.Time { return expediter.followed.Heard() }

// NewsCounts tells how many answers, bytes of drawers and configurations went
// out.
func (expediter *Expediter) NewsCounts() (answers, bytes, menus uint64) {
	return expediter.newsAnswers.Load(), expediter.newsBytes.Load(), expediter.menusSent.Load()
}

func (expediter *Expediter) tick() {
	expediter.coordinator.Tick()
	// It may wait for the disk, and nobody may wait for that here.
	leading := expediter.store.Leading()
	epoch := expediter.coordinator.Charter().Epoch
	expediter.mutex.Lock()
	moved := epoch != expediter.epoch
	expediter.epoch = epoch
	begun, ended := leading && expediter.reign == nil, !leading && expediter.reign != nil
	if begun {
		expediter.reign = newReign(expediter.turns.Now())
	}
	if ended {
		expediter.reign = nil
	}
	expediter.mutex.Unlock()
	if begun {
		expediter.lists.begin(expediter.coordinator.Charter().Epoch)
		expediter.reigns.Broadcast()
	}
	if ended {
		expediter.lists.end()
	}
	if ended || moved {
		expediter.news.Broadcast()
	}
}

// Ruling gives the reign and the committed view if this expediter is primary at
// this moment.
func (expediter *Expediter) Ruling() (*Reign, *replication.View, error) {
	expediter.mutex.Lock()
	current := expediter.reign
	expediter.mutex.Unlock()
	view := expediter.store.View()
	if current == nil || view == nil || !expediter.coordinator.Holds() {
		return nil, nil, failure.New(failure.NoPrimary, "this expediter is not primary")
	}
	return current, view, nil
}

// Read is the committed state for a reader: the hold is checked after the view
// was taken, so that it was the newest at some moment of the call. The copies
// that it finds old are mended.
func (expediter *Expediter) Read() (*Reign, *replication.View, *replication.State, error) {
	current, view, err := expediter.Ruling()
	if err != nil {
		return nil, nil, nil, err
	}
	state, err := expediter.state(current, view)
	if err != nil {
		return nil, nil, nil, err
	}
	if !expediter.coordinator.Holds() {
		return nil, nil, nil, failure.New(failure.NoPrimary, "the hold ran out")
	}
	expediter.turns.Go(func() { expediter.mendCopies(view) })
	return current, view, state, nil
}

// state is the committed state, decoded once for each version.
func (expediter *Expediter) state(current *Reign, view *replication.View) (*replication.State, error) {
	expediter.mutex.Lock()
	defer expediter.mutex.Unlock()
	if current.state != nil && current.stateAt == view.Version {
		return current.state, nil
	}
	// Claims are many and asked for nowhere but in their own changes.
	sections := map[string]replication.Section{}
	for _, name := range []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.DutiesSection, replication.OrdersSection, replication.ChangesSection} {
		if section, found := view.Drawers[name]; found {
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
func (expediter *Expediter) commit() {
	for expediter.turns.Alive() {
		seen := expediter.submitted.Load()
		if expediter.commitOne() {
			continue
		}
		pause := idlePause
		if expediter.store.Waiting() {
			pause = commitPause
		}
		expediter.work.Wait(pause, func() bool { return expediter.submitted.Load() != seen })
	}
}

func (expediter *Expediter) commitOne() bool {
	charter := expediter.coordinator.Charter()
	if charter.Backup.Empty() || !expediter.coordinator.Holds() {
		return false
	}
	batch, found := expediter.store.Begin()
	if !found || batch.Version.Epoch != charter.Epoch {
		return false
	}
	if !batch.Empty() && !expediter.sync(charter, batch) {
		return false
	}
	if !expediter.store.Commit(batch) {
		return false
	}
	if !batch.Empty() {
		expediter.news.Broadcast()
	}
	return true
}

// sync brings a batch to all disks at once and tells whether it is on each.
func (expediter *Expediter) sync(charter replication.Membership, batch replication.Batch) bool {
	var mutex sync.Mutex
	var own error
	kept := false
	bell := expediter.turns.NewCond()
	expediter.turns.Go(func() {
		expediter.coordinator.OwnDisk(true)
		err := expediter.store.KeepOwn(batch)
		expediter.coordinator.OwnDisk(err != nil)
		mutex.Lock()
		own, kept = err, true
		mutex.Unlock()
		bell.Broadcast()
	})
	var missing error
	waits := 0
	replicate := func(backup replication.Replica) {
		err := (&peers{line: expediter.line}).Replicate(expediter.coordinator.Address(backup), backup.Identity, charter.Epoch, batch)
		expediter.coordinator.BackupAnswered(backup.Identity, err == nil)
		mutex.Lock()
		missing = multierr.Append(missing, err)
		mutex.Unlock()
	}
	for _, further := range charter.Further {
		waits++
		expediter.turns.Go(func() {
			replicate(further)
			mutex.Lock()
			waits--
			mutex.Unlock()
			bell.Broadcast()
		})
	}
	replicate(charter.Backup)
	ended := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return kept && waits == 0
	}
	// The own disk may stall for as long as it likes: nothing else is written
	// meanwhile.
	for !bell.Wait(time.Second, ended) {
		if !expediter.turns.Alive() {
			return false
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	if missing != nil || own != nil {
		expediter.observe("write_not_synced", "version", batch.Version.String(), "backup", missing, "own", own)
		return false
	}
	return true
}

// queue hands a change to the next batch.
func (expediter *Expediter) queue(change replication.Change, done replication.Done) {
	expediter.store.Submit(change, done)
	expediter.submitted.Add(1)
	expediter.work.Broadcast()
}

// submit waits until a change is synced on every copy in sync. When that can't be
// known in time the outcome is called unknown.
func (expediter *Expediter) submit(change replication.Change, patience time.Duration) (replication.Version, error) {
	var mutex sync.Mutex
	var version replication.Version
	var err error
	answered := false
	bell := expediter.turns.NewCond()
	expediter.queue(change, func(committed replication.Version, ended error) {
		mutex.Lock()
		version, err, answered = committed, ended, true
		mutex.Unlock()
		bell.Broadcast()
	})
	bell.Wait(patience, func() bool {
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
	case !expediter.coordinator.Holds():
		// A refusal is an answer too: without the lease it may rest on an old state.
		return version, failure.New(failure.Unknown, "the hold ran out while the change was under way")
	case err != nil:
		return version, err
	}
	return version, nil
}

// takeNews follows the enabled set as every node does, and the list of servers, to
// lead with it at once.
func (expediter *Expediter) takeNews(news News) {
	if news.Servers != nil && !expediter.lists.leading() {
		expediter.lists.take(news.Servers.At, news.Servers.Servers)
	}
	expediter.takeMembers(news)
	section, found := news.Changed[replication.FlagsSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.FlagsSection: section})
	if err != nil {
		expediter.observe("flags_unreadable", "cause", err)
		return
	}
	lacking := expediter.options.Supported.Lacks(state.Flags.Enabled)
	expediter.coordinator.SetRestricted(len(lacking) > 0)
	expediter.coordinator.SetBackupList(state.Flags.Enabled.Has(features.BackupList))
	expediter.observe("flags_read", "enabled", state.Flags.Enabled, "lacking", lacking)
}

// takeMembers takes the recorded members from news, or from the own copy.
func (expediter *Expediter) takeMembers(news News) {
	section, found := news.Changed[replication.MembersSection]
	if !found {
		return
	}
	state, err := replication.ReadState(map[string]replication.Section{replication.MembersSection: section})
	if err != nil {
		expediter.observe("members_unreadable", "cause", err)
		return
	}
	expediter.setMembers(state.Members)
}

// Supported is the node's own list of flags.
func (expediter *Expediter) Supported() features.List { return expediter.options.Supported }
