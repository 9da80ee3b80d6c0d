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

func (storage *memoryStorage) Save(name string, content []byte) error {
	storage.mutex.Lock()
	defer storage.mutex.Unlock()
	if storage.failing {
		return failure.New(failure.Disk, "the disk fails")
	}
	storage.files[name] = append([]byte(nil), content...)
	return nil
}

func (storage *memoryStorage) Load() (map[string][]byte, []string, error) {
	storage.mutex.Lock()
	defer storage.mutex.Unlock()
	files := map[string][]byte{}
	for name, content := range storage.files {
		files[name] = content
	}
	return files, nil, nil
}

func (storage *memoryStorage) Remove(names []string) error {
	storage.mutex.Lock()
	defer storage.mutex.Unlock()
	for _, name := range names {
		delete(storage.files, name)
	}
	return nil
}

// threads are real ones, under the clock that the test moves.
type threads struct{ now func() time.Time }

func (threads threads) Now() time.Time  { return threads.now() }
func (threads threads) Wall() time.Time { return threads.now() }
func (threads threads) Go(act func())   { go act() }
func (threads threads) Alive() bool     { return true }
func (threads threads) NewCond() runtime.Cond {
	cond := &condition{}
	cond.rung = sync.NewCond(&cond.mutex)
	return cond
}

// condition is a bell without patience: every call of the test's network ends.
type condition struct {
	mutex sync.Mutex
	rung  *sync.Cond
}

func (condition *condition) Wait(_ time.Duration, over func() bool) bool {
	condition.mutex.Lock()
	defer condition.mutex.Unlock()
	for !over() {
		condition.rung.Wait()
	}
	return true
}

func (condition *condition) Broadcast() {
	condition.mutex.Lock()
	defer condition.mutex.Unlock()
	condition.rung.Broadcast()
}

// machine is one expediter of the simulated core.
type machine struct {
	address      string
	zone         string
	keeping      *memoryStorage
	copies       *memoryStorage
	keeper       *Witness
	store        *Store
	steward      *Coordinator
	up           atomic.Bool
	frozen       bool
	incarnations int
}

// world is a core of machines under a clock that the test moves.
type world struct {
	test     *testing.T
	mutex    sync.Mutex
	now      time.Time
	random   *rand.Rand
	machines []*machine
	cut      map[string]bool
	late     []func()
	calm     bool
	accepted int
	tried    int
	answered int
	log      []string
	// borne is how many disks may be lost at once, and spare how many may be lost
	// now, since the core was whole.
	borne int
	spare int
	// catchUp is the bound that the core's waits are derived from.
	catchUp time.Duration
	// losing are machines whose disk is to be taken.
	losing  []*machine
	zones   int
	seeds   []string
	offered int
	wiped   int
	formed  bool
	// installs is told who brings a snapshot, just before.
	installs func(from string)
}

func newWorld(t *testing.T, seed uint64) *world { return newWorldOf(t, seed, 3, 3, 1) }

// newWorldOf is a core of machines in districts, which bears some losses at once.
func newWorldOf(t *testing.T, seed uint64, machines, zones, borne int) *world {
	world := &world{test: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 3)), cut: map[string]bool{}, borne: borne, zones: zones,
		seeds: []string{"m0", "m1", "m2"}}
	for number := range machines {
		world.machines = append(world.machines, &machine{address: "m" + strconv.Itoa(number), zone: "d" + strconv.Itoa(number%zones), keeping: newMemoryStorage(), copies: newMemoryStorage()})
	}
	for _, machine := range world.machines {
		world.start(machine)
	}
	return world
}

func (world *world) clock() time.Time {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.now
}

func (world *world) say(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.log = append(world.log, fmt.Sprintf("%6.2f ", world.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, values...))
}

func (world *world) start(machine *machine) {
	world.takeDisks()
	machine.incarnations++
	replica := Replica{Address: machine.address, Name: machine.address}
	witness, blank, err := OpenWitness(world.clock(), machine.keeping, replica, Identity(machine.address+"/"+strconv.Itoa(machine.incarnations)))
	if err != nil {
		world.test.Fatal(err)
	}
	if blank {
		machine.copies = newMemoryStorage()
	}
	copied, err := OpenCopy(machine.copies)
	if err != nil {
		world.test.Fatal(err)
	}
	store := NewStore(copied, witness)
	coordinator := NewCoordinator(threads{world.clock}, world.seeds, witness, store, &wire{world: world, from: machine.address, incarnation: machine.incarnations}, func(event string, detail ...any) {
		world.say("%s %s %v", machine.address, event, detail)
	})
	if world.borne > 1 && (machine.incarnations > 1 || world.formed) {
		coordinator.JoinOnly()
	}
	coordinator.SetTiming(TimingFor(world.catchUp))
	coordinator.Bear(world.borne, machine.zone)
	coordinator.SetBackupList(world.borne > 1)
	world.mutex.Lock()
	machine.keeper, machine.store, machine.steward = witness, store, coordinator
	machine.up.Store(true)
	machine.frozen = false
	world.mutex.Unlock()
	world.say("%s starts, blank %v, version %s", machine.address, blank, copied.Version())
}

// wire is the network: a call reaches a machine that is up and not cut off.
type wire struct {
	world *world
	from  string
	// life is which of the machine's processes sends; one that has ended sends
	// nothing. None is a test's own.
	incarnation int
}

// reached is one life of a machine, as a call meets it.
type reached struct {
	keeper  *Witness
	store   *Store
	steward *Coordinator
}

func (wire *wire) reach(address string) (*reached, error) {
	world := wire.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, machine := range world.machines {
		if wire.incarnation > 0 && machine.address == wire.from && (!machine.up.Load() || machine.incarnations != wire.incarnation) {
			return nil, failure.New(failure.Unreachable, "the sender has ended")
		}
	}
	for _, machine := range world.machines {
		if machine.address == address && machine.up.Load() && !machine.frozen && !world.cut[wire.from+">"+address] {
			// A late call reaches the life that it was sent to.
			return &reached{keeper: machine.keeper, store: machine.store, steward: machine.steward}, nil
		}
	}
	return nil, failure.New(failure.Unreachable, address)
}

func (wire *wire) keeperAt(address string, identity Identity) (*reached, error) {
	machine, err := wire.reach(address)
	if err == nil && machine.keeper.Replica().Identity != identity {
		return nil, failure.New(failure.NotAdmitted, "another disk")
	}
	return machine, err
}

func (wire *wire) Hello(address string, own Hello) (Hello, error) {
	machine, err := wire.reach(address)
	if err != nil {
		return Hello{}, err
	}
	return machine.steward.Greet(own), nil
}

func (wire *wire) Prepare(address string, witness Identity, epoch uint64, candidate Identity) (Promise, error) {
	machine, err := wire.keeperAt(address, witness)
	if err != nil {
		return Promise{}, err
	}
	return machine.keeper.Prepare(wire.world.clock(), epoch, candidate)
}

func (wire *wire) Accept(address string, witness Identity, membership Membership) (Promise, error) {
	machine, err := wire.keeperAt(address, witness)
	if err != nil {
		return Promise{}, err
	}
	return machine.keeper.Accept(wire.world.clock(), membership)
}

func (wire *wire) Confirm(address string, witness Identity, epoch uint64, primary Identity) (Promise, error) {
	machine, err := wire.keeperAt(address, witness)
	if err != nil {
		return Promise{}, err
	}
	return machine.keeper.Confirm(wire.world.clock(), epoch, primary), nil
}

func (wire *wire) Replicate(address string, backup Identity, epoch uint64, batch Batch) error {
	machine, err := wire.keeperAt(address, backup)
	if err != nil {
		return err
	}
	wire.world.again(func() { _ = machine.store.Replicate(epoch, batch) })
	return machine.store.Replicate(epoch, batch)
}

func (wire *wire) Install(address string, backup Identity, snapshot Snapshot) error {
	wire.mayEnd()
	machine, err := wire.keeperAt(address, backup)
	if err != nil {
		return err
	}
	wire.world.again(func() { _ = machine.store.Install(snapshot) })
	return machine.store.Install(snapshot)
}

// mayEnd has the sender lose its power and at times its disk in the middle of what
// it does, where more than one loss is borne.
func (wire *wire) mayEnd() {
	world := wire.world
	if world.installs != nil {
		world.installs(wire.from)
	}
	if world.borne == 1 || world.calm {
		return
	}
	world.mutex.Lock()
	drawn := world.random.IntN(24)
	world.mutex.Unlock()
	if drawn > 1 {
		return
	}
	for _, machine := range world.machines {
		if machine.address != wire.from || !machine.up.Load() {
			continue
		}
		world.endInTheMiddle(machine, drawn == 0)
	}
}

// endInTheMiddle has a machine lose its power at once, in whatever thread. Its disk is
// lost before it starts again: the world's own thread takes that away.
func (world *world) endInTheMiddle(machine *machine, wiped bool) {
	world.crash(machine)
	if !wiped {
		return
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.losing = append(world.losing, machine)
}

// takeDisks takes the disks that were lost in the middle of something.
func (world *world) takeDisks() {
	world.mutex.Lock()
	losing := world.losing
	world.losing = nil
	world.mutex.Unlock()
	for _, machine := range losing {
		if world.spare == 0 {
			continue
		}
		world.spare--
		world.wiped++
		world.say("%s loses its disk in the middle", machine.address)
		machine.keeping = newMemoryStorage()
	}
}

// again keeps a message back that the network will bring a second time.
func (world *world) again(message func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if world.random.IntN(8) == 0 {
		world.late = append(world.late, message)
	}
}

// deliver brings one of the messages that were kept back.
func (world *world) deliver() {
	world.mutex.Lock()
	if len(world.late) == 0 {
		world.mutex.Unlock()
		return
	}
	position := world.random.IntN(len(world.late))
	message := world.late[position]
	world.late = append(world.late[:position], world.late[position+1:]...)
	world.mutex.Unlock()
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

// write asks a machine for the next edition and carries the commit out, with
// a crash of the world possible between any two of its steps.
func (world *world) write(machine *machine) {
	if !machine.steward.Holds() {
		return
	}
	world.tried++
	revision := world.tried
	machine.store.Submit(ChangeConfiguration("", "", nil, PreparedConfiguration{}, func([]byte) ([]byte, error) {
		return []byte(`{"routes":{"` + strconv.Itoa(revision) + `":{"to":{"refuse":true}}}}`), nil
	}), func(version Version, err error) {
		if err == nil && machine.steward.Holds() {
			world.answered++
			world.accepted = max(world.accepted, revision)
		}
	})
	membership := machine.steward.Membership()
	if membership.Backup.Empty() {
		return
	}
	batch, found := machine.store.Begin()
	if !found || batch.Version.Epoch != membership.Epoch {
		return
	}
	if machine.store.KeepOwn(batch) != nil {
		return
	}
	if !world.calm && world.random.IntN(25) == 0 {
		world.crash(machine)
		return
	}
	synced := true
	for _, backup := range membership.Backups() {
		err := (&wire{world: world, from: machine.address}).Replicate(backup.Address, backup.Identity, membership.Epoch, batch)
		machine.steward.BackupAnswered(backup.Identity, err == nil)
		synced = synced && err == nil
		if !world.calm && world.random.IntN(50) == 0 {
			world.crash(machine)
			return
		}
	}
	if !synced {
		return
	}
	if !world.calm && world.random.IntN(25) == 0 {
		world.crash(machine)
		return
	}
	machine.store.Commit(batch)
}

func (world *world) crash(machine *machine) {
	world.mutex.Lock()
	machine.up.Store(false)
	world.mutex.Unlock()
	world.say("%s crashes", machine.address)
}

// whole tells whether a primary with a backup leads and every keeper is the
// disk that is at its address now, so that one more loss can be borne.
func (world *world) whole() *machine {
	for _, machine := range world.machines {
		if !machine.up.Load() || machine.frozen || !machine.steward.Holds() || machine.steward.unsettled {
			continue
		}
		membership := machine.steward.Membership()
		if len(membership.Backups()) != world.borne || len(membership.Incoming) > 0 || len(membership.Witnesses) != 2*world.borne+1 {
			continue
		}
		healthy, there := 0, 0
		inZone := map[string]int{}
		most := 0
		for _, other := range world.machines {
			if !other.up.Load() {
				continue
			}
			if hasReplica(membership.Backups(), other.keeper.Replica().Identity) {
				there++
			}
			if hasReplica(membership.Witnesses, other.keeper.Replica().Identity) && other.keeper.Membership().Epoch == membership.Epoch {
				healthy++
				inZone[other.zone]++
				most = max(most, inZone[other.zone])
			}
		}
		if there == world.borne && healthy == 2*world.borne+1 && most <= world.borne {
			return machine
		}
	}
	return nil
}

// check holds the two rules: one machine at a time may answer, and whoever may
// answer has everything that was answered before.
func (world *world) check() {
	var holders []string
	for _, machine := range world.machines {
		if !machine.up.Load() || machine.frozen || !machine.steward.Holds() {
			continue
		}
		holders = append(holders, machine.address)
		state, err := machine.store.View().State()
		if err != nil {
			world.fail("%s: %v", machine.address, err)
		}
		if revision := revisionIn(state.Configuration); revision < world.accepted {
			world.fail("%s shows edition %d and %d was accepted", machine.address, revision, world.accepted)
		}
	}
	if len(holders) > 1 {
		world.fail("two primaries at once: %v", holders)
	}
}

func (world *world) fail(format string, values ...any) {
	for _, line := range world.log[max(0, len(world.log)-60):] {
		world.test.Log(line)
	}
	world.test.Fatalf(format, values...)
}

func (world *world) advance(length time.Duration) {
	world.mutex.Lock()
	world.now = world.now.Add(length)
	world.mutex.Unlock()
}

func (world *world) step() {
	world.takeDisks()
	world.advance(time.Duration(20+world.random.IntN(120)) * time.Millisecond)
	for _, position := range world.random.Perm(len(world.machines)) {
		machine := world.machines[position]
		if machine.up.Load() && !machine.frozen {
			machine.steward.Tick()
			world.check()
			if world.random.IntN(3) == 0 {
				world.write(machine)
				world.check()
			}
		}
	}
	if world.random.IntN(4) == 0 {
		world.deliver()
	}
	machine := world.machines[world.random.IntN(len(world.machines))]
	switch world.random.IntN(60) {
	case 0:
		if machine.up.Load() {
			world.crash(machine)
		}
	case 1, 2, 3:
		if !machine.up.Load() {
			world.start(machine)
		}
	case 4:
		other := world.machines[world.random.IntN(len(world.machines))]
		world.mutex.Lock()
		world.cut[machine.address+">"+other.address] = true
		world.mutex.Unlock()
		world.say("cut %s>%s", machine.address, other.address)
	case 5, 6, 7:
		world.mutex.Lock()
		world.cut = map[string]bool{}
		world.mutex.Unlock()
	case 8:
		if world.whole() != nil && machine.up.Load() && world.wipe(machine) {
			world.start(machine)
		}
	case 9:
		if machine.up.Load() {
			world.mutex.Lock()
			machine.frozen = !machine.frozen
			world.mutex.Unlock()
			world.say("%s frozen %v", machine.address, machine.frozen)
		}
	case 10, 11:
		world.mutex.Lock()
		machine.frozen = false
		world.mutex.Unlock()
	}
}

// heal ends all faults and gives the core time.
func (world *world) heal(length time.Duration) bool {
	before := world.calm
	world.calm = true
	defer func() { world.calm = before }()
	world.mutex.Lock()
	world.cut = map[string]bool{}
	for _, machine := range world.machines {
		machine.frozen = false
	}
	world.mutex.Unlock()
	for _, machine := range world.machines {
		if !machine.up.Load() {
			world.start(machine)
		}
	}
	ends := world.clock().Add(length)
	for world.clock().Before(ends) {
		world.advance(100 * time.Millisecond)
		for _, machine := range world.machines {
			machine.steward.Tick()
			world.check()
		}
		if world.whole() != nil {
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
		world := newWorld(t, seed)
		if !world.heal(10 * time.Second) {
			world.fail("seed %d: no core was formed", seed)
		}
		for range 400 {
			world.step()
		}
		if !world.heal(20 * time.Second) {
			world.fail("seed %d: the core is not whole again", seed)
		}
		answered += world.answered
	}
	t.Logf("%d writes were accepted in %d worlds", answered, seeds)
	if answered < 1000 {
		t.Fatalf("only %d writes were accepted in all worlds: the test shows nothing", answered)
	}
}

// TestSimulationSeesASecondPrimary shows that the rule can fail: a keeper that
// forgets its hold lets two machines answer at once.
func TestSimulationSeesASecondPrimary(t *testing.T) {
	world := newWorld(t, 1)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	leader := world.whole()
	membership := leader.steward.Membership()
	for _, machine := range world.machines {
		machine.keeper.mutex.Lock()
		machine.keeper.holdEnds = time.Time{}
		machine.keeper.mutex.Unlock()
	}
	var backup *machine
	for _, machine := range world.machines {
		if machine.keeper.Replica().Identity == membership.Backup.Identity {
			backup = machine
		}
	}
	// The leader is not heard for a moment, as if cut off.
	world.cut = map[string]bool{leader.address + ">" + backup.address: true, backup.address + ">" + leader.address: true}
	leader.steward.mutex.Lock()
	leader.steward.holdEnds = world.clock().Add(time.Hour)
	leader.steward.mutex.Unlock()
	for range 40 {
		backup.steward.Tick()
	}
	holders := 0
	for _, machine := range world.machines {
		if machine.steward.Holds() {
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
	world := newWorld(t, 2)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	first := world.whole()
	world.calm = true
	for world.answered == 0 {
		world.write(first)
	}
	first.steward.SetRestricted(true)
	for range 100 {
		world.advance(100 * time.Millisecond)
		for _, machine := range world.machines {
			machine.steward.Tick()
			world.check()
		}
		leader := world.whole()
		if leader != nil && leader != first && leader.steward.Membership().Backup.Identity != first.keeper.Replica().Identity {
			return
		}
	}
	world.fail("the restricted expediter still leads or backs up: %+v", first.steward.Membership())
}

// TestSweepMendsFilesThatBecameDamaged damages files of a copy and of a keeper
// that are in use, and wants both whole after a sweep.
func TestSweepMendsFilesThatBecameDamaged(t *testing.T) {
	storage := newMemoryStorage()
	copied, err := OpenCopy(storage)
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
	reopened, err := OpenCopy(storage)
	if err != nil || reopened.Damage() != "" || string(reopened.Sections()["menu"].Content) != "menu" {
		t.Fatalf("after the sweep: %q, %v", reopened.Damage(), err)
	}
	if older := reopened.Refresh(Snapshot{Epoch: 1, Version: Version{1, 1}}); failure.KindOf(older) != failure.Behind || len(reopened.Sections()) != 2 {
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
	copied, err := OpenCopy(storage)
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
	reopened, err := OpenCopy(storage)
	if err != nil || reopened.Damage() == "" {
		t.Fatalf("a copy without a file that it needs opened undamaged: %v", err)
	}
	if err := reopened.Write(Batch{Version: Version{1, 4}, Base: reopened.Version()}); failure.KindOf(err) != failure.Damaged {
		t.Fatalf("a damaged copy took a write: %v", err)
	}
	if err := reopened.Rewrite(Snapshot{Epoch: 2, Version: Version{2, 4}, Sections: copied.Sections()}); err != nil || reopened.Damage() != "" {
		t.Fatalf("a damaged copy was not replaced: %v", err)
	}
	again, err := OpenCopy(storage)
	if err != nil || again.Damage() != "" || string(again.Sections()["menu"].Content) != "a" || string(again.Sections()["flags"].Content) != "c" {
		t.Fatalf("the replaced copy reads %v, %q, %v", again.Sections(), again.Damage(), err)
	}
}

// TestRestrictedControllerIsABackupBeforeNone restricts all but the primary,
// ends the backup, and wants the pair whole with the restricted one that is
// left, and with the capable one as soon as it is back.
func TestRestrictedControllerIsABackupBeforeNone(t *testing.T) {
	world := newWorld(t, 3)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	world.calm = true
	leader := world.whole()
	var backup, third *machine
	for _, machine := range world.machines {
		switch {
		case machine == leader:
		case machine.keeper.Replica().Identity == leader.steward.Membership().Backup.Identity:
			backup = machine
		default:
			third = machine
		}
	}
	third.steward.SetRestricted(true)
	world.crash(backup)
	paired := func(with *machine) bool {
		for range 60 {
			world.advance(100 * time.Millisecond)
			for _, machine := range world.machines {
				if machine.up.Load() {
					machine.steward.Tick()
				}
			}
			world.write(leader)
			world.check()
			if leader.steward.Holds() && leader.steward.Membership().Backup.Identity == with.keeper.Replica().Identity {
				return true
			}
		}
		return false
	}
	if !paired(third) {
		world.fail("no backup is better than a restricted one: %+v", leader.steward.Membership())
	}
	before := world.answered
	world.write(leader)
	if world.answered == before {
		world.fail("the pair with a restricted backup takes no writes")
	}
	world.start(backup)
	if !paired(backup) {
		world.fail("the restricted backup was not exchanged for a capable one: %+v", leader.steward.Membership())
	}
}

// TestRestrictedTakesOverFromADamagedCopy restarts the primary on a copy that
// has become damaged while its backup is restricted: the backup must lead, since
// it has everything and the other can't.
func TestRestrictedTakesOverFromADamagedCopy(t *testing.T) {
	world := newWorld(t, 4)
	if !world.heal(10 * time.Second) {
		world.fail("no core was formed")
	}
	world.calm = true
	leader := world.whole()
	world.write(leader)
	backup := leader.steward.Membership().Backup.Identity
	for _, machine := range world.machines {
		if machine.keeper.Replica().Identity == backup {
			machine.steward.SetRestricted(true)
		}
	}
	world.crash(leader)
	leader.copies.mutex.Lock()
	for name := range leader.copies.files {
		leader.copies.files[name] = []byte("damage")
	}
	leader.copies.mutex.Unlock()
	world.start(leader)
	for range 100 {
		world.advance(100 * time.Millisecond)
		for _, machine := range world.machines {
			machine.steward.Tick()
		}
		world.check()
		for _, machine := range world.machines {
			if machine.steward.Holds() {
				return
			}
		}
	}
	world.fail("nobody leads, though the backup has everything")
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
			world := newWorld(t, 5)
			if !world.heal(10 * time.Second) {
				world.fail("no core was formed")
			}
			world.calm = true
			leader := world.whole()
			world.write(leader)
			for _, machine := range world.machines {
				if machine.keeper.Replica().Identity == leader.steward.Membership().Backup.Identity {
					world.crash(machine)
					machine.keeping, machine.copies = newMemoryStorage(), newMemoryStorage()
				}
			}
			begin(leader.steward)
			for range 5 {
				leader.steward.Tick()
				world.advance(100 * time.Millisecond)
			}
			world.crash(leader)
			if !world.heal(20 * time.Second) {
				world.fail("the core is not whole again: %+v", leader.keeper.Membership())
			}
			world.check()
		})
	}
}
