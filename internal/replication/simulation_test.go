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

// memoryStorage is a disk in memory: what is saved is synced, unless the disk is
// told to fail.
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

// testRuntime has real goroutines, under the clock that the test moves.
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

// callCount counts the goroutines that a cluster has under way.
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

// wait returns when no goroutine is under way: each call of the test's network ends.
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

// testCond is a condition without timeout: every call of the test's network ends.
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

// machine is one controller of the simulated core.
type machine struct {
	address      string
	zone         string
	witnessDisk  *memoryStorage
	copyDisk     *memoryStorage
	witness      *Witness
	store        *Store
	coordinator  *Coordinator
	up           atomic.Bool
	frozen       bool
	incarnations int
}

// cluster is a core of machines under a clock that the test moves.
type cluster struct {
	test     *testing.T
	mutex    sync.Mutex
	now      time.Time
	random   *rand.Rand
	calls    *callCount
	machines []*machine
	cut      map[string]bool
	delayed  []func()
	noFaults bool
	accepted int
	tried    int
	answered int
	log      []string
	// borne is how many disks may be lost at once, and spare how many may be lost
	// now, since the core was whole.
	tolerated  int
	lossesLeft int
	// catchUp is the bound that the core's waits are derived from.
	catchUp time.Duration
	// losing are machines whose disk is to be taken.
	diskLosses []*machine
	zones      int
	seeds      []string
	joined     int
	wiped      int
	formed     bool
	// installs is told who brings a snapshot, just before.
	installs func(from string)
}

func newCluster(t *testing.T, seed uint64) *cluster { return newClusterOf(t, seed, 3, 3, 1) }

// newClusterOf is a core of machines in zones, which bears some losses at once.
func newClusterOf(t *testing.T, seed uint64, machines, zones, tolerated int) *cluster {
	w := &cluster{test: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 3)), calls: newCallCount(), cut: map[string]bool{}, tolerated: tolerated, zones: zones,
		seeds: []string{"m0", "m1", "m2"}}
	for number := range machines {
		w.machines = append(w.machines, &machine{address: "m" + strconv.Itoa(number), zone: "d" + strconv.Itoa(number%zones), witnessDisk: newMemoryStorage(), copyDisk: newMemoryStorage()})
	}
	for _, m := range w.machines {
		w.start(m)
	}
	return w
}

func (w *cluster) clock() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.now
}

func (w *cluster) logf(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.log = append(w.log, fmt.Sprintf("%6.2f ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, values...))
}

func (w *cluster) start(m *machine) {
	w.wipeLostDisks()
	m.incarnations++
	replica := Replica{Address: m.address, Name: m.address}
	witness, blank, err := OpenWitness(w.clock(), m.witnessDisk, replica, Identity(m.address+"/"+strconv.Itoa(m.incarnations)))
	if err != nil {
		w.test.Fatal(err)
	}
	if blank {
		m.copyDisk = newMemoryStorage()
	}
	copied, err := OpenLocalReplica(m.copyDisk)
	if err != nil {
		w.test.Fatal(err)
	}
	store := NewStore(copied, witness)
	coordinator := NewCoordinator(testRuntime{w.clock, w.calls}, w.seeds, witness, store, &network{cluster: w, from: m.address, incarnation: m.incarnations}, func(event string, detail ...any) {
		w.logf("%s %s %v", m.address, event, detail)
	})
	if w.tolerated > 1 && (m.incarnations > 1 || w.formed) {
		coordinator.SetJoinOnly()
	}
	coordinator.SetTiming(TimingFor(w.catchUp))
	coordinator.SetTolerance(w.tolerated, m.zone)
	coordinator.SetBackupList(w.tolerated > 1)
	w.mutex.Lock()
	m.witness, m.store, m.coordinator = witness, store, coordinator
	m.up.Store(true)
	m.frozen = false
	w.mutex.Unlock()
	w.logf("%s starts, blank %v, version %s", m.address, blank, copied.Version())
}

// network brings calls: a call reaches a machine that is up and not cut off.
type network struct {
	cluster *cluster
	from    string
	// incarnation is which of the machine's processes sends; one that has ended sends
	// nothing. None is a test's own.
	incarnation int
}

// endpoint is one incarnation of a machine, as a call meets it.
type endpoint struct {
	witness     *Witness
	store       *Store
	coordinator *Coordinator
}

func (w *network) endpointAt(address string) (*endpoint, error) {
	cl := w.cluster
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for _, m := range cl.machines {
		if w.incarnation > 0 && m.address == w.from && (!m.up.Load() || m.incarnations != w.incarnation) {
			return nil, failure.New(failure.Unreachable, "the sender has ended")
		}
	}
	for _, ma := range cl.machines {
		if ma.address == address && ma.up.Load() && !ma.frozen && !cl.cut[w.from+">"+address] {
			// A late call reaches the life that it was sent to.
			return &endpoint{witness: ma.witness, store: ma.store, coordinator: ma.coordinator}, nil
		}
	}
	return nil, failure.New(failure.Unreachable, address)
}

func (w *network) witnessAt(address string, identity Identity) (*endpoint, error) {
	m, err := w.endpointAt(address)
	if err == nil && m.witness.Replica().Identity != identity {
		return nil, failure.New(failure.NotAdmitted, "another disk")
	}
	return m, err
}

func (w *network) Hello(address string, own Hello) (Hello, error) {
	m, err := w.endpointAt(address)
	if err != nil {
		return Hello{}, err
	}
	return m.coordinator.HandleHello(own), nil
}

func (w *network) Prepare(address string, witness Identity, epoch uint64, c Identity) (Vote, error) {
	m, err := w.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.Prepare(w.cluster.clock(), epoch, c)
}

func (w *network) Accept(address string, witness Identity, membership Membership) (Vote, error) {
	m, err := w.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.Accept(w.cluster.clock(), membership)
}

func (w *network) RenewLease(address string, witness Identity, epoch uint64, primary Identity) (Vote, error) {
	m, err := w.witnessAt(address, witness)
	if err != nil {
		return Vote{}, err
	}
	return m.witness.RenewLease(w.cluster.clock(), epoch, primary), nil
}

func (w *network) Replicate(address string, backup Identity, epoch uint64, batch Batch) error {
	m, err := w.witnessAt(address, backup)
	if err != nil {
		return err
	}
	w.cluster.maybeDuplicate(func() { _ = m.store.Replicate(epoch, batch) })
	return m.store.Replicate(epoch, batch)
}

func (w *network) Install(address string, backup Identity, snapshot Snapshot) error {
	w.maybeCrash()
	m, err := w.witnessAt(address, backup)
	if err != nil {
		return err
	}
	w.cluster.maybeDuplicate(func() { _ = m.store.Install(snapshot) })
	return m.store.Install(snapshot)
}

// maybeCrash has the sender lose its power and at times its disk in the middle of what
// it does, where more than one loss is borne.
func (w *network) maybeCrash() {
	cl := w.cluster
	if cl.installs != nil {
		cl.installs(w.from)
	}
	if cl.tolerated == 1 || cl.noFaults {
		return
	}
	cl.mutex.Lock()
	drawn := cl.random.IntN(24)
	cl.mutex.Unlock()
	if drawn > 1 {
		return
	}
	for _, m := range cl.machines {
		if m.address != w.from || !m.up.Load() {
			continue
		}
		cl.crashNow(m, drawn == 0)
	}
}

// crashNow has a machine lose its power at once, in whatever thread. Its disk is
// lost before it starts again: the world's own thread takes that away.
func (w *cluster) crashNow(m *machine, wiped bool) {
	w.crash(m)
	if !wiped {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.diskLosses = append(w.diskLosses, m)
}

// wipeLostDisks takes the disks that were lost in the middle of something.
func (w *cluster) wipeLostDisks() {
	w.mutex.Lock()
	losing := w.diskLosses
	w.diskLosses = nil
	w.mutex.Unlock()
	for _, m := range losing {
		if w.lossesLeft == 0 {
			continue
		}
		w.lossesLeft--
		w.wiped++
		w.logf("%s loses its disk in the middle", m.address)
		m.witnessDisk = newMemoryStorage()
	}
}

// again keeps a message back that the network will bring a second time.
func (w *cluster) maybeDuplicate(message func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.random.IntN(8) == 0 {
		w.delayed = append(w.delayed, message)
	}
}

// deliver brings one of the messages that were kept back.
func (w *cluster) deliver() {
	w.mutex.Lock()
	if len(w.delayed) == 0 {
		w.mutex.Unlock()
		return
	}
	i := w.random.IntN(len(w.delayed))
	message := w.delayed[i]
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	w.mutex.Unlock()
	message()
}

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

// write asks a machine for the next revision and carries the commit out, with
// a crash of the world possible between any two of its steps.
func (w *cluster) write(m *machine) {
	if !m.coordinator.HasLease() {
		return
	}
	w.tried++
	revision := w.tried
	m.store.Submit(ChangeConfiguration("", "", nil, PreparedConfiguration{}, func([]byte) ([]byte, error) {
		return []byte(`{"routes":{"` + strconv.Itoa(revision) + `":{"to":{"refuse":true}}}}`), nil
	}), func(version Version, err error) {
		if err == nil && m.coordinator.HasLease() {
			w.answered++
			w.accepted = max(w.accepted, revision)
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
	if !w.noFaults && w.random.IntN(25) == 0 {
		w.crash(m)
		return
	}
	synced := true
	for _, backup := range membership.Backups() {
		err := (&network{cluster: w, from: m.address}).Replicate(backup.Address, backup.Identity, membership.Epoch, batch)
		m.coordinator.RecordBackupResult(backup.Identity, err == nil)
		synced = synced && err == nil
		if !w.noFaults && w.random.IntN(50) == 0 {
			w.crash(m)
			return
		}
	}
	if !synced {
		return
	}
	if !w.noFaults && w.random.IntN(25) == 0 {
		w.crash(m)
		return
	}
	m.store.Commit(batch)
}

func (w *cluster) crash(m *machine) {
	w.mutex.Lock()
	m.up.Store(false)
	w.mutex.Unlock()
	w.logf("%s crashes", m.address)
}

// whole tells whether a primary with a backup leads and every witness is the
// disk that is at its address now, so that one more loss can be borne.
func (w *cluster) completeLeader() *machine {
	for _, m := range w.machines {
		if !m.up.Load() || m.frozen || !m.coordinator.HasLease() || m.coordinator.membershipUnknown {
			continue
		}
		membership := m.coordinator.Membership()
		if len(membership.Backups()) != w.tolerated || len(membership.Incoming) > 0 || len(membership.Witnesses) != 2*w.tolerated+1 {
			continue
		}
		healthy, there := 0, 0
		inZone := map[string]int{}
		most := 0
		for _, other := range w.machines {
			if !other.up.Load() {
				continue
			}
			if hasReplica(membership.Backups(), other.witness.Replica().Identity) {
				there++
			}
			if hasReplica(membership.Witnesses, other.witness.Replica().Identity) && other.witness.Membership().Epoch == membership.Epoch {
				healthy++
				inZone[other.zone]++
				most = max(most, inZone[other.zone])
			}
		}
		if there == w.tolerated && healthy == 2*w.tolerated+1 && most <= w.tolerated {
			return m
		}
	}
	return nil
}

// check holds the two rules: one machine at a time may answer, and whoever may
// answer has everything that was answered before.
func (w *cluster) check() {
	var holders []string
	for _, m := range w.machines {
		if !m.up.Load() || m.frozen || !m.coordinator.HasLease() {
			continue
		}
		holders = append(holders, m.address)
		state, err := m.store.View().State()
		if err != nil {
			w.fail("%s: %v", m.address, err)
		}
		if revision := revisionIn(state.Configuration); revision < w.accepted {
			w.fail("%s shows edition %d and %d was accepted", m.address, revision, w.accepted)
		}
	}
	if len(holders) > 1 {
		w.fail("two primaries at once: %v", holders)
	}
}

func (w *cluster) fail(format string, values ...any) {
	for _, line := range w.log[max(0, len(w.log)-60):] {
		w.test.Log(line)
	}
	w.test.Fatalf(format, values...)
}

func (w *cluster) advance(length time.Duration) {
	w.mutex.Lock()
	w.now = w.now.Add(length)
	w.mutex.Unlock()
}

func (w *cluster) step() {
	w.wipeLostDisks()
	w.advance(time.Duration(20+w.random.IntN(120)) * time.Millisecond)
	for _, i := range w.random.Perm(len(w.machines)) {
		m := w.machines[i]
		if m.up.Load() && !m.frozen {
			m.coordinator.Tick()
			w.check()
			if w.random.IntN(3) == 0 {
				w.write(m)
				w.check()
			}
		}
	}
	if w.random.IntN(4) == 0 {
		w.deliver()
	}
	ma := w.machines[w.random.IntN(len(w.machines))]
	switch w.random.IntN(60) {
	case 0:
		if ma.up.Load() {
			w.crash(ma)
		}
	case 1, 2, 3:
		if !ma.up.Load() {
			w.start(ma)
		}
	case 4:
		other := w.machines[w.random.IntN(len(w.machines))]
		w.mutex.Lock()
		w.cut[ma.address+">"+other.address] = true
		w.mutex.Unlock()
		w.logf("cut %s>%s", ma.address, other.address)
	case 5, 6, 7:
		w.mutex.Lock()
		w.cut = map[string]bool{}
		w.mutex.Unlock()
	case 8:
		if w.completeLeader() != nil && ma.up.Load() && w.wipe(ma) {
			w.start(ma)
		}
	case 9:
		if ma.up.Load() {
			w.mutex.Lock()
			ma.frozen = !ma.frozen
			w.mutex.Unlock()
			w.logf("%s frozen %v", ma.address, ma.frozen)
		}
	case 10, 11:
		w.mutex.Lock()
		ma.frozen = false
		w.mutex.Unlock()
	}
}

// heal ends all faults and gives the core time.
func (w *cluster) heal(length time.Duration) bool {
	before := w.noFaults
	w.noFaults = true
	defer func() { w.noFaults = before }()
	w.mutex.Lock()
	w.cut = map[string]bool{}
	for _, m := range w.machines {
		m.frozen = false
	}
	w.mutex.Unlock()
	for _, ma := range w.machines {
		if !ma.up.Load() {
			w.start(ma)
		}
	}
	ends := w.clock().Add(length)
	for w.clock().Before(ends) {
		w.advance(100 * time.Millisecond)
		for _, mc := range w.machines {
			mc.coordinator.Tick()
			w.check()
		}
		// Healing is bounded by the cluster's time: on a busy machine it would pass while
		// the calls of a tick are not scheduled yet.
		w.calls.wait()
		if w.completeLeader() != nil {
			return true
		}
	}
	return false
}

// TestAcceptedWritesSurviveAndOnePrimaryAnswers drives cores through crashes,
// cuts, freezes and lost disks, and holds both rules after every step.
func TestAcceptedWritesSurviveAndOnePrimaryAnswers(t *testing.T) {
	seeds := uint64(60)
	if asked, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		seeds = asked
	}
	answered := 0
	for seed := range seeds {
		w := newCluster(t, seed)
		if !w.heal(10 * time.Second) {
			w.fail("seed %d: no core was formed", seed)
		}
		for range 400 {
			w.step()
		}
		if !w.heal(20 * time.Second) {
			w.fail("seed %d: the core is not whole again", seed)
		}
		answered += w.answered
	}
	t.Logf("%d writes were accepted in %d worlds", answered, seeds)
	if answered < 1000 {
		t.Fatalf("only %d writes were accepted in all worlds: the test shows nothing", answered)
	}
}

// TestSimulationSeesASecondPrimary shows that the rule can fail: a witness that
// forgets its lease lets two machines answer at once.
func TestSimulationSeesASecondPrimary(t *testing.T) {
	w := newCluster(t, 1)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	leader := w.completeLeader()
	membership := leader.coordinator.Membership()
	for _, m := range w.machines {
		m.witness.mutex.Lock()
		m.witness.leaseEnds = time.Time{}
		m.witness.mutex.Unlock()
	}
	var backup *machine
	for _, ma := range w.machines {
		if ma.witness.Replica().Identity == membership.Backup.Identity {
			backup = ma
		}
	}
	// The leader is not heard for a moment, as if cut off.
	w.cut = map[string]bool{leader.address + ">" + backup.address: true, backup.address + ">" + leader.address: true}
	leader.coordinator.mutex.Lock()
	leader.coordinator.leaseEnds = w.clock().Add(time.Hour)
	leader.coordinator.mutex.Unlock()
	for range 40 {
		backup.coordinator.Tick()
	}
	holders := 0
	for _, mc := range w.machines {
		if mc.coordinator.HasLease() {
			holders++
		}
	}
	if holders != 2 {
		t.Fatalf("the seeded fault made %d primaries, so the check of one shows nothing", holders)
	}
}

// TestRestrictedPrimaryHandsOver restricts the primary, and wants another to
// lead with everything that was accepted, and the restricted one to be neither.
func TestRestrictedPrimaryHandsOver(t *testing.T) {
	w := newCluster(t, 2)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	first := w.completeLeader()
	w.noFaults = true
	for w.answered == 0 {
		w.write(first)
	}
	first.coordinator.SetRestricted(true)
	for range 100 {
		w.advance(100 * time.Millisecond)
		for _, m := range w.machines {
			m.coordinator.Tick()
			w.check()
		}
		leader := w.completeLeader()
		if leader != nil && leader != first && leader.coordinator.Membership().Backup.Identity != first.witness.Replica().Identity {
			return
		}
	}
	w.fail("the restricted expediter still leads or backs up: %+v", first.coordinator.Membership())
}

// TestSweepRepairsFilesThatBecameDamaged damages files of a copy and of a witness
// that are in use, and wants both whole after a sweep.
func TestSweepRepairsFilesThatBecameDamaged(t *testing.T) {
	storage := newMemoryStorage()
	copied, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	for number, section := range []string{"menu", "flags"} {
		version := Version{Epoch: 1, Number: uint64(number + 1)}
		if err := copied.Write(Batch{Version: version, Base: copied.Version(), Sections: map[string]Section{section: {Version: version, Content: []byte(section)}}}); err != nil {
			t.Fatal(err)
		}
	}
	delete(storage.files, fileName(Version{1, 1}))
	if mended, err := copied.Sweep(); mended != 1 || err != nil {
		t.Fatalf("%d files were mended: %v", mended, err)
	}
	reopened, err := OpenLocalReplica(storage)
	if err != nil || reopened.Damage() != "" || string(reopened.Sections()["menu"].Content) != "menu" {
		t.Fatalf("after the sweep: %q, %v", reopened.Damage(), err)
	}
	if older := reopened.CatchUp(Snapshot{Epoch: 1, Version: Version{1, 1}}); failure.CodeOf(older) != failure.Behind || len(reopened.Sections()) != 2 {
		t.Fatalf("an older snapshot was taken: %v", older)
	}
	keeping := newMemoryStorage()
	witness, _, err := OpenWitness(time.Unix(0, 0), keeping, Replica{Address: "a"}, "a/1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := witness.Accept(time.Unix(1, 0), Membership{Epoch: 1, Primary: witness.Replica(), Witnesses: []Replica{witness.Replica()}}); err != nil {
		t.Fatal(err)
	}
	keeping.files = map[string][]byte{}
	if mended, err := witness.Sweep(); !mended || err != nil {
		t.Fatalf("the keeper's note was not mended: %v", err)
	}
	if again, blank, err := OpenWitness(time.Unix(2, 0), keeping, Replica{Address: "a"}, "a/2"); err != nil || blank || again.Membership().Epoch != 1 {
		t.Fatalf("after the sweep the keeper is blank: %v, %v", blank, err)
	}
}

func TestCopyKeepsOneFileForEachVersionStillNeeded(t *testing.T) {
	storage := newMemoryStorage()
	copied, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	write := func(number uint64, section, content string) {
		version := Version{Epoch: 1, Number: number}
		err := copied.Write(Batch{Version: version, Base: copied.Version(), Sections: map[string]Section{section: {Version: version, Content: []byte(content)}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	write(1, "menu", "a")
	write(2, "flags", "b")
	write(3, "flags", "c")
	var names []string
	for name := range storage.files {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) != 2 || names[0] != fileName(Version{1, 1}) || names[1] != fileName(Version{1, 3}) {
		t.Fatalf("files left: %v", names)
	}
	delete(storage.files, names[0])
	reopened, err := OpenLocalReplica(storage)
	if err != nil || reopened.Damage() == "" {
		t.Fatalf("a copy without a file that it needs opened undamaged: %v", err)
	}
	if err := reopened.Write(Batch{Version: Version{1, 4}, Base: reopened.Version()}); failure.CodeOf(err) != failure.Damaged {
		t.Fatalf("a damaged copy took a write: %v", err)
	}
	if err := reopened.Restore(Snapshot{Epoch: 2, Version: Version{2, 4}, Sections: copied.Sections()}); err != nil || reopened.Damage() != "" {
		t.Fatalf("a damaged copy was not replaced: %v", err)
	}
	again, err := OpenLocalReplica(storage)
	if err != nil || again.Damage() != "" || string(again.Sections()["menu"].Content) != "a" || string(again.Sections()["flags"].Content) != "c" {
		t.Fatalf("the replaced copy reads %v, %q, %v", again.Sections(), again.Damage(), err)
	}
}

// TestRestrictedControllerIsABackupBeforeNone restricts all but the primary,
// ends the backup, and wants the pair whole with the restricted one that is
// left, and with the capable one as soon as it is back.
func TestRestrictedControllerIsABackupBeforeNone(t *testing.T) {
	w := newCluster(t, 3)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	w.noFaults = true
	leader := w.completeLeader()
	var backup, third *machine
	for _, m := range w.machines {
		switch {
		case m == leader:
		case m.witness.Replica().Identity == leader.coordinator.Membership().Backup.Identity:
			backup = m
		default:
			third = m
		}
	}
	third.coordinator.SetRestricted(true)
	w.crash(backup)
	paired := func(with *machine) bool {
		for range 60 {
			w.advance(100 * time.Millisecond)
			for _, ma := range w.machines {
				if ma.up.Load() {
					ma.coordinator.Tick()
				}
			}
			w.write(leader)
			w.check()
			if leader.coordinator.HasLease() && leader.coordinator.Membership().Backup.Identity == with.witness.Replica().Identity {
				return true
			}
		}
		return false
	}
	if !paired(third) {
		w.fail("no backup is better than a restricted one: %+v", leader.coordinator.Membership())
	}
	before := w.answered
	w.write(leader)
	if w.answered == before {
		w.fail("the pair with a restricted backup takes no writes")
	}
	w.start(backup)
	if !paired(backup) {
		w.fail("the restricted backup was not exchanged for a capable one: %+v", leader.coordinator.Membership())
	}
}

// TestRestrictedTakesOverFromADamagedCopy restarts the primary on a copy that
// has become damaged while its backup is restricted: the backup must lead, since
// it has everything and the other can't.
func TestRestrictedTakesOverFromADamagedCopy(t *testing.T) {
	w := newCluster(t, 4)
	if !w.heal(10 * time.Second) {
		w.fail("no core was formed")
	}
	w.noFaults = true
	leader := w.completeLeader()
	w.write(leader)
	backup := leader.coordinator.Membership().Backup.Identity
	for _, m := range w.machines {
		if m.witness.Replica().Identity == backup {
			m.coordinator.SetRestricted(true)
		}
	}
	w.crash(leader)
	leader.copyDisk.mutex.Lock()
	for name := range leader.copyDisk.files {
		leader.copyDisk.files[name] = []byte("damage")
	}
	leader.copyDisk.mutex.Unlock()
	w.start(leader)
	for range 100 {
		w.advance(100 * time.Millisecond)
		for _, ma := range w.machines {
			ma.coordinator.Tick()
		}
		w.check()
		for _, mc := range w.machines {
			if mc.coordinator.HasLease() {
				return
			}
		}
	}
	w.fail("nobody leads, though the backup has everything")
}

// TestPrimaryDoesNotHandOverToADeadBackup has the primary hand over, since it is stopped in
// order or lacks a flag, right after the backup's machine went for good: the copy that is
// left must not be given up.
func TestPrimaryDoesNotHandOverToADeadBackup(t *testing.T) {
	for name, begin := range map[string]func(coordinator *Coordinator){
		"leaving":    func(coordinator *Coordinator) { coordinator.Leave() },
		"restricted": func(coordinator *Coordinator) { coordinator.SetRestricted(true) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, 5)
			if !w.heal(10 * time.Second) {
				w.fail("no core was formed")
			}
			w.noFaults = true
			leader := w.completeLeader()
			w.write(leader)
			for _, m := range w.machines {
				if m.witness.Replica().Identity == leader.coordinator.Membership().Backup.Identity {
					w.crash(m)
					m.witnessDisk, m.copyDisk = newMemoryStorage(), newMemoryStorage()
				}
			}
			begin(leader.coordinator)
			for range 5 {
				leader.coordinator.Tick()
				w.advance(100 * time.Millisecond)
			}
			w.crash(leader)
			if !w.heal(20 * time.Second) {
				w.fail("the core is not whole again: %+v", leader.witness.Membership())
			}
			w.check()
		})
	}
}
