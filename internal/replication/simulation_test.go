package replication

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
)

// memoryStorage is a disk in memory. Every save is synced; while failing is set, saves fail.
type memoryStorage struct {
	mutex   sync.Mutex
	files   map[string][]byte
	failing bool
}

func newMemoryStorage() *memoryStorage { return &memoryStorage{files: map[string][]byte{}} }

func (m *memoryStorage) Save(name string, content []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.failing {
		return failure.New(failure.Disk, "the disk fails")
	}
	m.files[name] = append([]byte(nil), content...)
	return nil
}

func (m *memoryStorage) Load() (map[string][]byte, []string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	files := map[string][]byte{}
	for name, content := range m.files {
		files[name] = content
	}
	return files, nil, nil
}

func (m *memoryStorage) Remove(names []string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, name := range names {
		delete(m.files, name)
	}
	return nil
}

// testRuntime runs real goroutines under the clock that the test advances.
type testRuntime struct {
	now   func() time.Time
	calls *callCount
}

func (t testRuntime) Now() time.Time  { return t.now() }
func (t testRuntime) Wall() time.Time { return t.now() }
func (t testRuntime) Go(f func()) {
	t.calls.begin()
	go func() {
		defer t.calls.end()
		f()
	}()
}

// callCount counts the running goroutines of a cluster.
type callCount struct {
	mutex sync.Mutex
	idle  *sync.Cond
	count int
}

func newCallCount() *callCount {
	c := &callCount{}
	c.idle = sync.NewCond(&c.mutex)
	return c
}

func (c *callCount) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count++
}

func (c *callCount) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.count--; c.count == 0 {
		c.idle.Broadcast()
	}
}

// wait waits until no goroutine of the cluster runs. It returns, because every call of the test's
// network ends.
func (c *callCount) wait() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.count > 0 {
		c.idle.Wait()
	}
}
func (t testRuntime) Alive() bool { return true }
func (t testRuntime) NewCond() runtime.Cond {
	cond := &testCond{}
	cond.cond = sync.NewCond(&cond.mutex)
	return cond
}

// testCond is a condition without a time-out: every call of the test's network ends.
type testCond struct {
	mutex sync.Mutex
	cond  *sync.Cond
}

func (c *testCond) Wait(_ time.Duration, done func() bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !done() {
		c.cond.Wait()
	}
	return true
}

func (c *testCond) Broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cond.Broadcast()
}

// lockedSource is a source of random numbers for the test and the calls of its machines, which draw
// from it on goroutines of their own.
type lockedSource struct {
	mutex  sync.Mutex
	source rand.Source
}

func (l *lockedSource) Uint64() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.source.Uint64()
}

// machine is one controller of the simulated core.
type machine struct {
	address      string
	zone         string
	witnessDisk  *memoryStorage
	replicaDisk  *memoryStorage
	witness      *Witness
	store        *Store
	coordinator  *Coordinator
	up           atomic.Bool
	frozen       bool
	incarnations int
}

// cluster is a core of machines under a clock that the test advances.
type cluster struct {
	test     *testing.T
	mutex    sync.Mutex
	now      time.Time
	random   *rand.Rand
	calls    *callCount
	machines []*machine
	// cutLinks holds the links that deliver nothing, as "sender>recipient".
	cutLinks map[string]bool
	// delayed holds the duplicates that deliver may deliver.
	delayed  []func()
	noFaults atomic.Bool
	// acknowledgedRevision is the highest acknowledged revision, submittedRevision the last submitted
	// one, and acknowledgedWrites the number of acknowledged writes.
	acknowledgedRevision int
	submittedRevision    int
	acknowledgedWrites   int
	// shownRevision is the revision that the last primary with a lease showed.
	shownRevision int
	log           []string
	// tolerated is how many disks may be lost at once. lossesLeft is how many more disks may be lost
	// before the core has recovered, and lostSpares are the spares whose disks were lost since the
	// core last recovered.
	tolerated  int
	lossesLeft int
	lostSpares []Identity
	// catchUp is the CatchUpLimit of the core's timing.
	catchUp time.Duration
	// diskLosses holds the machines whose disks have to be wiped.
	diskLosses []*machine
	zones      int
	// seeds holds the seed addresses of machines that start.
	seeds []string
	// joined is the number of machines that join and replace have added, and wiped is the number of
	// lost disks.
	joined int
	wiped  int
	// joinOnly prevents machines that start for the first time from forming a core. It has an effect
	// only with tolerated > 1, where machines that start again never form one.
	joinOnly bool
	// beforeInstall, if set, is called with the sender's address before each installation of a snapshot.
	// mutex guards it.
	beforeInstall func(from string)
}

func newCluster(t *testing.T, seed uint64) *cluster { return newClusterOf(t, seed, 3, 3, 1) }

// newClusterOf returns a core with the given numbers of machines and zones, which tolerates the given
// number of losses at once.
func newClusterOf(t *testing.T, seed uint64, machines, zones, tolerated int) *cluster {
	c := &cluster{
		test:      t,
		now:       time.Unix(1_000_000, 0),
		random:    rand.New(&lockedSource{source: rand.NewPCG(seed, 3)}),
		calls:     newCallCount(),
		cutLinks:  map[string]bool{},
		tolerated: tolerated,
		zones:     zones,
		seeds:     []string{"m0", "m1", "m2"},
	}
	for number := range machines {
		c.machines = append(c.machines, &machine{
			address:     "m" + strconv.Itoa(number),
			zone:        "d" + strconv.Itoa(number%zones),
			witnessDisk: newMemoryStorage(),
			replicaDisk: newMemoryStorage(),
		})
	}
	for _, m := range c.machines {
		c.start(m)
	}
	return c
}

func (c *cluster) clock() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *cluster) logf(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.log = append(c.log, fmt.Sprintf("%6.2f ", c.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, values...))
}

func (c *cluster) start(m *machine) {
	c.wipeLostDisks()
	m.incarnations++
	replica := Replica{Address: m.address, Name: m.address}
	witness, blank, err := OpenWitness(c.clock(), m.witnessDisk, replica, Identity(m.address+"/"+strconv.Itoa(m.incarnations)))
	if err != nil {
		c.test.Fatal(err)
	}
	if blank {
		m.replicaDisk = newMemoryStorage()
	}
	local, err := OpenLocalReplica(m.replicaDisk)
	if err != nil {
		c.test.Fatal(err)
	}
	store := NewStore(local, witness)
	coordinator := NewCoordinator(testRuntime{c.clock, c.calls}, c.seeds, witness, store,
		&network{cluster: c, from: m.address, incarnation: m.incarnations}, func(event string, detail ...any) {
			c.logf("%s %s %v", m.address, event, detail)
		})
	if c.tolerated > 1 && (m.incarnations > 1 || c.joinOnly) {
		coordinator.SetJoinOnly()
	}
	coordinator.SetTiming(TimingFor(c.catchUp))
	coordinator.SetTolerance(c.tolerated, m.zone)
	coordinator.SetBackupList(c.tolerated > 1)
	c.mutex.Lock()
	m.witness, m.store, m.coordinator = witness, store, coordinator
	m.up.Store(true)
	m.frozen = false
	c.mutex.Unlock()
	c.logf("%s starts, blank %v, version %s", m.address, blank, local.Version())
}

// network is the Peers of one machine: a call reaches a machine that is up and not cut off.
type network struct {
	cluster *cluster
	from    string
	// incarnation is the number of the machine's process that sends. A process that has stopped
	// sends nothing. Calls of the test itself have incarnation zero.
	incarnation int
}

// endpoint holds the parts of a machine's process that a call may reach.
type endpoint struct {
	witness     *Witness
	store       *Store
	coordinator *Coordinator
}

func (n *network) endpointAt(address string) (*endpoint, error) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if n.incarnation > 0 && m.address == n.from && (!m.up.Load() || m.incarnations != n.incarnation) {
			return nil, failure.New(failure.Unreachable, "the sender has stopped")
		}
	}
	for _, m := range c.machines {
		if m.address == address && m.up.Load() && !m.frozen && !c.cutLinks[n.from+">"+address] {
			// A duplicate that is delivered late still reaches the process to which it was sent.
			return &endpoint{witness: m.witness, store: m.store, coordinator: m.coordinator}, nil
		}
	}
	return nil, failure.New(failure.Unreachable, address)
}

func (n *network) witnessAt(address string, identity Identity) (*endpoint, error) {
	m, err := n.endpointAt(address)
	if err == nil && m.witness.Replica().Identity != identity {
		return nil, failure.New(failure.NotAdmitted, "another disk")
	}
	return m, err
}

func (n *network) Hello(address string, own Hello) (Hello, error) {
	m, err := n.endpointAt(address)
	if err != nil {
		return Hello{}, err
	}
	return m.coordinator.HandleHello(own), nil
}

func (n *network) Prepare(address string, witness Identity, epoch uint64, candidate Identity) (Vote, error) {
	m, err := n.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.Prepare(n.cluster.clock(), epoch, candidate)
}

func (n *network) Accept(address string, witness Identity, membership Membership) (Vote, error) {
	m, err := n.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.Accept(n.cluster.clock(), membership)
}

func (n *network) RenewLease(address string, witness Identity, epoch uint64, primary Identity) (Vote, error) {
	m, err := n.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.RenewLease(n.cluster.clock(), epoch, primary), nil
}

func (n *network) Replicate(address string, backup Identity, epoch uint64, batch Batch) error {
	m, err := n.witnessAt(address, backup)
	if err != nil {
		return err
	}
	n.cluster.maybeDuplicate(func() { _ = m.store.Replicate(epoch, batch) })
	return m.store.Replicate(epoch, batch)
}

func (n *network) Install(address string, backup Identity, snapshot Snapshot) error {
	n.maybeCrash()
	m, err := n.witnessAt(address, backup)
	if err != nil {
		return err
	}
	n.cluster.maybeDuplicate(func() { _ = m.store.Install(snapshot) })
	return m.store.Install(snapshot)
}

// maybeCrash may crash the sender before its snapshot is installed, sometimes with the loss of its
// disk, if the core tolerates more than one loss. It may run after the tick that began the
// installation has returned.
func (n *network) maybeCrash() {
	c := n.cluster
	c.mutex.Lock()
	beforeInstall := c.beforeInstall
	c.mutex.Unlock()
	if beforeInstall != nil {
		beforeInstall(n.from)
	}
	if c.tolerated == 1 || c.noFaults.Load() {
		return
	}
	drawn := c.random.IntN(24)
	if drawn > 1 {
		return
	}
	if m, _ := c.machineAt(n.from); m != nil && m.up.Load() {
		c.crashNow(m, drawn == 0)
	}
}

// machineAt returns the machine at an address and the store of its newest process, from any
// goroutine. Both are nil if no machine has the address.
func (c *cluster) machineAt(address string) (*machine, *Store) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if m.address == address {
			return m, m.store
		}
	}
	return nil, nil
}

// crashNow crashes a machine at once, from any goroutine. If wiped is set, wipeLostDisks wipes the
// disk later, on the test's own goroutine, before the machine starts again.
func (c *cluster) crashNow(m *machine, wiped bool) {
	c.crash(m)
	if !wiped {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.diskLosses = append(c.diskLosses, m)
}

// wipeLostDisks wipes the disks that crashNow has recorded as lost.
func (c *cluster) wipeLostDisks() {
	c.mutex.Lock()
	lost := c.diskLosses
	c.diskLosses = nil
	c.mutex.Unlock()
	for _, m := range lost {
		if c.lossesLeft == 0 {
			continue
		}
		c.recordLoss(m)
		c.logf("%s loses its disk during an installation", m.address)
		m.witnessDisk = newMemoryStorage()
	}
}

// maybeDuplicate keeps some messages, so that deliver can deliver them a second time later.
func (c *cluster) maybeDuplicate(message func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.random.IntN(8) == 0 {
		c.delayed = append(c.delayed, message)
	}
}

// deliver delivers one of the messages that maybeDuplicate kept.
func (c *cluster) deliver() {
	c.mutex.Lock()
	if len(c.delayed) == 0 {
		c.mutex.Unlock()
		return
	}
	i := c.random.IntN(len(c.delayed))
	message := c.delayed[i]
	c.delayed = append(c.delayed[:i], c.delayed[i+1:]...)
	c.mutex.Unlock()
	message()
}

// revisionIn returns the revision that write has put into a configuration, as the name of a route, or
// -1 for an invalid configuration.
func revisionIn(text []byte) int {
	configuration, err := config.Check(text)
	if err != nil {
		return -1
	}
	revision := 0
	for _, route := range configuration.Routes {
		revision, _ = strconv.Atoi(route.Name)
	}
	return revision
}

// submitRevision submits a configuration with the revision to a machine.
func (c *cluster) submitRevision(m *machine, revision int, done Done) {
	m.store.Submit(ChangeConfiguration("", "", nil, PreparedConfiguration{}, func([]byte) ([]byte, error) {
		return []byte(`{"routes":{"` + strconv.Itoa(revision) + `":{"to":{"refuse":true}}}}`), nil
	}), done)
}

// write submits the next revision to a machine and commits it. The machine may crash between any
// two steps.
func (c *cluster) write(m *machine) {
	if !m.coordinator.HasLease() {
		return
	}
	c.submittedRevision++
	revision := c.submittedRevision
	c.submitRevision(m, revision, func(_ Version, err error) {
		if err == nil && m.coordinator.HasLease() {
			c.acknowledgedWrites++
			c.acknowledgedRevision = max(c.acknowledgedRevision, revision)
		}
	})
	membership := m.coordinator.Membership()
	if membership.Backup.Empty() {
		return
	}
	batch, found := m.store.NextBatch()
	if !found || batch.Version.Epoch != membership.Epoch {
		return
	}
	if m.store.WriteLocal(batch) != nil {
		return
	}
	if !c.noFaults.Load() && c.random.IntN(25) == 0 {
		c.crash(m)
		return
	}
	synced := true
	for _, backup := range membership.Backups() {
		err := (&network{cluster: c, from: m.address}).Replicate(backup.Address, backup.Identity, membership.Epoch, batch)
		m.coordinator.RecordBackupResult(backup.Identity, err == nil)
		synced = synced && err == nil
		if !c.noFaults.Load() && c.random.IntN(50) == 0 {
			c.crash(m)
			return
		}
	}
	if !synced {
		return
	}
	if !c.noFaults.Load() && c.random.IntN(25) == 0 {
		c.crash(m)
		return
	}
	m.store.Commit(batch)
}

func (c *cluster) crash(m *machine) {
	c.mutex.Lock()
	m.up.Store(false)
	c.mutex.Unlock()
	c.logf("%s crashes", m.address)
}

// completeLeader returns the primary of a complete core, else nil. The core is complete, and so can
// tolerate its losses again, when all backups are up, each witness is up and has the newest
// membership, and no zone has more than c.tolerated witnesses.
func (c *cluster) completeLeader() *machine {
	for _, m := range c.machines {
		if !m.up.Load() || m.frozen || !m.coordinator.HasLease() || m.coordinator.membershipUnknown {
			continue
		}
		membership := m.coordinator.Membership()
		if len(membership.Backups()) != c.tolerated || len(membership.Incoming) > 0 ||
			len(membership.Witnesses) != 2*c.tolerated+1 {
			continue
		}
		witnesses, backups := 0, 0
		inZone := map[string]int{}
		maxInZone := 0
		for _, other := range c.machines {
			if !other.up.Load() {
				continue
			}
			if hasReplica(membership.Backups(), other.witness.Replica().Identity) {
				backups++
			}
			if hasReplica(membership.Witnesses, other.witness.Replica().Identity) &&
				other.witness.Membership().Epoch == membership.Epoch {
				witnesses++
				inZone[other.zone]++
				maxInZone = max(maxInZone, inZone[other.zone])
			}
		}
		if backups == c.tolerated && witnesses == 2*c.tolerated+1 && maxInZone <= c.tolerated {
			return m
		}
	}
	return nil
}

// check checks two invariants: at most one machine has the lease, and the machine that has it shows
// every write that was acknowledged or shown before.
func (c *cluster) check() {
	var leaders []string
	for _, m := range c.machines {
		if !m.up.Load() || m.frozen || !m.coordinator.HasLease() {
			continue
		}
		leaders = append(leaders, m.address)
		state, err := m.store.View().State()
		if err != nil {
			c.fail("%s: %v", m.address, err)
		}
		revision := revisionIn(state.Configuration)
		if revision < c.acknowledgedRevision {
			c.fail("%s shows revision %d, but revision %d was acknowledged", m.address, revision, c.acknowledgedRevision)
		}
		if revision < c.shownRevision {
			c.fail("%s shows revision %d, but revision %d was shown before", m.address, revision, c.shownRevision)
		}
		c.shownRevision = revision
	}
	if len(leaders) > 1 {
		c.fail("got several primaries at once: %v", leaders)
	}
}

// fail fails the test and prints the last log lines of the machines.
func (c *cluster) fail(format string, values ...any) {
	c.mutex.Lock()
	lines := c.log[max(0, len(c.log)-60):]
	c.mutex.Unlock()
	for _, line := range lines {
		c.test.Log(line)
	}
	c.test.Fatalf(format, values...)
}

func (c *cluster) advance(length time.Duration) {
	c.mutex.Lock()
	c.now = c.now.Add(length)
	c.mutex.Unlock()
}

// step advances the time, ticks the running machines in random order with some writes in between,
// and may deliver a duplicate and inject or end a fault.
func (c *cluster) step() {
	c.wipeLostDisks()
	c.advance(time.Duration(20+c.random.IntN(120)) * time.Millisecond)
	for _, i := range c.random.Perm(len(c.machines)) {
		m := c.machines[i]
		if m.up.Load() && !m.frozen {
			m.coordinator.Tick()
			c.check()
			if c.random.IntN(3) == 0 {
				c.write(m)
				c.check()
			}
		}
	}
	if c.random.IntN(4) == 0 {
		c.deliver()
	}
	m := c.machines[c.random.IntN(len(c.machines))]
	switch c.random.IntN(60) {
	case 0:
		if m.up.Load() {
			c.crash(m)
		}
	case 1, 2, 3:
		if !m.up.Load() {
			c.start(m)
		}
	case 4:
		other := c.machines[c.random.IntN(len(c.machines))]
		c.mutex.Lock()
		c.cutLinks[m.address+">"+other.address] = true
		c.mutex.Unlock()
		c.logf("cut %s>%s", m.address, other.address)
	case 5, 6, 7:
		c.mutex.Lock()
		c.cutLinks = map[string]bool{}
		c.mutex.Unlock()
	case 8:
		if c.completeLeader() != nil && m.up.Load() && c.wipe(m) {
			c.start(m)
		}
	case 9:
		if m.up.Load() {
			c.mutex.Lock()
			m.frozen = !m.frozen
			c.mutex.Unlock()
			c.logf("%s frozen %v", m.address, m.frozen)
		}
	case 10, 11:
		c.mutex.Lock()
		m.frozen = false
		c.mutex.Unlock()
	}
}

// heal ends all faults, starts all machines, and reports whether the core becomes complete within
// the given time.
func (c *cluster) heal(length time.Duration) bool {
	before := c.noFaults.Swap(true)
	defer c.noFaults.Store(before)
	c.mutex.Lock()
	c.cutLinks = map[string]bool{}
	for _, m := range c.machines {
		m.frozen = false
	}
	c.mutex.Unlock()
	for _, m := range c.machines {
		if !m.up.Load() {
			c.start(m)
		}
	}
	ends := c.clock().Add(length)
	for c.clock().Before(ends) {
		c.advance(100 * time.Millisecond)
		for _, m := range c.machines {
			m.coordinator.Tick()
			c.check()
		}
		// The limit is in the cluster's time. Without this wait it could pass on a busy machine
		// before the goroutines of a tick have run.
		c.calls.wait()
		if c.completeLeader() != nil {
			return true
		}
	}
	return false
}

// TestAcceptedWritesSurviveAndOnePrimaryAnswers injects crashes, cut links, frozen processes and lost
// disks into cores, and checks both invariants of check after every step.
func TestAcceptedWritesSurviveAndOnePrimaryAnswers(t *testing.T) {
	seeds := uint64(60)
	if configured, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		seeds = configured
	}
	acknowledgedWrites := 0
	for seed := range seeds {
		c := newCluster(t, seed)
		if !c.heal(10 * time.Second) {
			c.fail("seed %d: no core was formed", seed)
		}
		for range 400 {
			c.step()
		}
		if !c.heal(20 * time.Second) {
			c.fail("seed %d: the core is not complete again", seed)
		}
		acknowledgedWrites += c.acknowledgedWrites
	}
	t.Logf("%d writes were acknowledged with %d seeds", acknowledgedWrites, seeds)
	if acknowledgedWrites < 1000 {
		t.Fatalf("got %d acknowledged writes with all seeds, want 1000 at least for a meaningful test", acknowledgedWrites)
	}
}

// TestCheckDetectsASecondPrimary shows that check can fail: witnesses that forget their leases let
// two machines lead at once.
func TestCheckDetectsASecondPrimary(t *testing.T) {
	c := newCluster(t, 1)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	leader := c.completeLeader()
	membership := leader.coordinator.Membership()
	for _, m := range c.machines {
		m.witness.mutex.Lock()
		m.witness.leaseEnds = time.Time{}
		m.witness.mutex.Unlock()
	}
	var backup *machine
	for _, m := range c.machines {
		if m.witness.Replica().Identity == membership.Backup.Identity {
			backup = m
		}
	}
	// The link between the primary and the backup is cut.
	c.cutLinks = map[string]bool{leader.address + ">" + backup.address: true, backup.address + ">" + leader.address: true}
	leader.coordinator.mutex.Lock()
	leader.coordinator.leaseEnds = c.clock().Add(time.Hour)
	leader.coordinator.mutex.Unlock()
	for range 40 {
		backup.coordinator.Tick()
	}
	leaders := 0
	for _, m := range c.machines {
		if m.coordinator.HasLease() {
			leaders++
		}
	}
	if leaders != 2 {
		t.Fatalf("got %d primaries with the injected fault, want 2", leaders)
	}
}

// TestRestrictedPrimaryHandsOver restricts the primary: another controller must lead with every
// acknowledged write, and the restricted one must be neither primary nor backup.
func TestRestrictedPrimaryHandsOver(t *testing.T) {
	c := newCluster(t, 2)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	first := c.completeLeader()
	c.noFaults.Store(true)
	for c.acknowledgedWrites == 0 {
		c.write(first)
	}
	first.coordinator.SetRestricted(true)
	for range 100 {
		c.advance(100 * time.Millisecond)
		for _, m := range c.machines {
			m.coordinator.Tick()
			c.check()
		}
		leader := c.completeLeader()
		if leader != nil && leader != first && leader.coordinator.Membership().Backup.Identity != first.witness.Replica().Identity {
			return
		}
	}
	c.fail("the restricted controller is still primary or backup: %+v", first.coordinator.Membership())
}

// TestSweepRepairsDamagedFiles removes files of a replica and of a witness that are in use: a sweep
// must write them again.
func TestSweepRepairsDamagedFiles(t *testing.T) {
	storage := newMemoryStorage()
	local, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	for number, section := range []string{ConfigurationSection, FlagsSection} {
		version := Version{Epoch: 1, Number: uint64(number + 1)}
		if err := local.Write(Batch{
			Version:  version,
			Base:     local.Version(),
			Sections: map[string]Section{section: {Version: version, Content: []byte(section)}},
		}); err != nil {
			t.Fatal(err)
		}
	}
	delete(storage.files, fileName(Version{1, 1}))
	if repaired, err := local.Sweep(); repaired != 1 || err != nil {
		t.Fatalf("got %d files repaired, error %v, want 1 file", repaired, err)
	}
	reopened, err := OpenLocalReplica(storage)
	if err != nil || reopened.Damage() != "" || string(reopened.Sections()[ConfigurationSection].Content) != ConfigurationSection {
		t.Fatalf("after the sweep: got damage %q, error %v, want neither", reopened.Damage(), err)
	}
	if older := reopened.CatchUp(Snapshot{Epoch: 1, Version: Version{1, 1}}); failure.CodeOf(older) != failure.Behind ||
		len(reopened.Sections()) != 2 {
		t.Fatalf("an older snapshot: got %v, want Behind", older)
	}
	witnessStorage := newMemoryStorage()
	witness, _, err := OpenWitness(time.Unix(0, 0), witnessStorage, Replica{Address: "a"}, "a/1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := witness.Accept(time.Unix(1, 0), Membership{
		Epoch:     1,
		Primary:   witness.Replica(),
		Witnesses: []Replica{witness.Replica()},
	}); err != nil {
		t.Fatal(err)
	}
	witnessStorage.files = map[string][]byte{}
	if repaired, err := witness.Sweep(); !repaired || err != nil {
		t.Fatalf("the record of the witness was not repaired: %v", err)
	}
	if again, blank, err := OpenWitness(time.Unix(2, 0), witnessStorage, Replica{Address: "a"}, "a/2"); err != nil ||
		blank || again.Membership().Epoch != 1 {
		t.Fatalf("after the sweep: got blank %v, error %v, want the membership of epoch 1", blank, err)
	}
}

// TestReplicaKeepsOnlyNeededFiles checks that a replica keeps only the files that hold the newest
// version of a section, that a replica with a missing file counts as damaged, and that a snapshot
// repairs it.
func TestReplicaKeepsOnlyNeededFiles(t *testing.T) {
	storage := newMemoryStorage()
	local, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	write := func(number uint64, section, content string) {
		version := Version{Epoch: 1, Number: number}
		err := local.Write(Batch{
			Version:  version,
			Base:     local.Version(),
			Sections: map[string]Section{section: {Version: version, Content: []byte(content)}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	write(1, ConfigurationSection, "a")
	write(2, FlagsSection, "b")
	write(3, FlagsSection, "c")
	var names []string
	for name := range storage.files {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) != 2 || names[0] != fileName(Version{1, 1}) || names[1] != fileName(Version{1, 3}) {
		t.Fatalf("got files %v, want only those of versions 1.1 and 1.3", names)
	}
	delete(storage.files, names[0])
	reopened, err := OpenLocalReplica(storage)
	if err != nil || reopened.Damage() == "" {
		t.Fatalf("a replica without a needed file: got error %v or no damage, want damage and no error", err)
	}
	if err := reopened.Write(Batch{Version: Version{1, 4}, Base: reopened.Version()}); failure.CodeOf(err) != failure.Damaged {
		t.Fatalf("a write to a damaged replica: got %v, want Damaged", err)
	}
	if err := reopened.Restore(Snapshot{
		Epoch:    2,
		Version:  Version{2, 4},
		Sections: local.Sections(),
	}); err != nil || reopened.Damage() != "" {
		t.Fatalf("a damaged replica was not restored: %v", err)
	}
	again, err := OpenLocalReplica(storage)
	if err != nil || again.Damage() != "" ||
		string(again.Sections()[ConfigurationSection].Content) != "a" || string(again.Sections()[FlagsSection].Content) != "c" {
		t.Fatalf("the restored replica: got %v, damage %q, error %v", again.Sections(), again.Damage(), err)
	}
}

// TestRestrictedControllerBecomesBackupIfNoOtherCan restricts the third controller and crashes the backup: the
// restricted controller must become the backup. When the unrestricted controller has started again,
// it must become the backup again.
func TestRestrictedControllerBecomesBackupIfNoOtherCan(t *testing.T) {
	c := newCluster(t, 3)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	c.noFaults.Store(true)
	leader := c.completeLeader()
	var backup, third *machine
	for _, m := range c.machines {
		switch {
		case m == leader:
		case m.witness.Replica().Identity == leader.coordinator.Membership().Backup.Identity:
			backup = m
		default:
			third = m
		}
	}
	third.coordinator.SetRestricted(true)
	c.crash(backup)
	becomesBackup := func(wanted *machine) bool {
		for range 60 {
			c.advance(100 * time.Millisecond)
			for _, m := range c.machines {
				if m.up.Load() {
					m.coordinator.Tick()
				}
			}
			c.write(leader)
			c.check()
			if leader.coordinator.HasLease() && leader.coordinator.Membership().Backup.Identity == wanted.witness.Replica().Identity {
				return true
			}
		}
		return false
	}
	if !becomesBackup(third) {
		c.fail("the restricted controller did not become the backup: %+v", leader.coordinator.Membership())
	}
	before := c.acknowledgedWrites
	c.write(leader)
	if c.acknowledgedWrites == before {
		c.fail("no write was acknowledged with a restricted backup")
	}
	c.start(backup)
	if !becomesBackup(backup) {
		c.fail("the restricted backup was not replaced by an unrestricted one: %+v", leader.coordinator.Membership())
	}
}

// TestRestrictedBackupTakesOverFromADamagedReplica restarts the primary with a damaged replica
// while its backup is restricted: the backup must lead, because it alone has every acknowledged
// write.
func TestRestrictedBackupTakesOverFromADamagedReplica(t *testing.T) {
	c := newCluster(t, 4)
	if !c.heal(10 * time.Second) {
		c.fail("no core was formed")
	}
	c.noFaults.Store(true)
	leader := c.completeLeader()
	c.write(leader)
	backup := leader.coordinator.Membership().Backup.Identity
	for _, m := range c.machines {
		if m.witness.Replica().Identity == backup {
			m.coordinator.SetRestricted(true)
		}
	}
	c.crash(leader)
	leader.replicaDisk.mutex.Lock()
	for name := range leader.replicaDisk.files {
		leader.replicaDisk.files[name] = []byte("damage")
	}
	leader.replicaDisk.mutex.Unlock()
	c.start(leader)
	for range 100 {
		c.advance(100 * time.Millisecond)
		for _, m := range c.machines {
			m.coordinator.Tick()
		}
		c.check()
		for _, m := range c.machines {
			if m.coordinator.HasLease() {
				return
			}
		}
	}
	c.fail("no machine leads, although the backup has every acknowledged write")
}

// TestPrimaryDoesNotHandOverToADeadBackup gives the primary a reason to hand over (it is leaving,
// or lacks a flag) right after the backup's machine was lost with its disk: the primary must not
// give up the only replica that is left.
func TestPrimaryDoesNotHandOverToADeadBackup(t *testing.T) {
	for name, begin := range map[string]func(coordinator *Coordinator){
		"leaving":    func(coordinator *Coordinator) { coordinator.Leave() },
		"restricted": func(coordinator *Coordinator) { coordinator.SetRestricted(true) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5)
			if !c.heal(10 * time.Second) {
				c.fail("no core was formed")
			}
			c.noFaults.Store(true)
			leader := c.completeLeader()
			c.write(leader)
			for _, m := range c.machines {
				if m.witness.Replica().Identity == leader.coordinator.Membership().Backup.Identity {
					c.crash(m)
					m.witnessDisk, m.replicaDisk = newMemoryStorage(), newMemoryStorage()
				}
			}
			begin(leader.coordinator)
			for range 5 {
				leader.coordinator.Tick()
				c.advance(100 * time.Millisecond)
			}
			c.crash(leader)
			if !c.heal(20 * time.Second) {
				c.fail("the core is not complete again: %+v", leader.witness.Membership())
			}
			c.check()
		})
	}
}
