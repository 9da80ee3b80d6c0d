package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// The steward's lengths of time. The values are ours.
const (
	// holdDrift is taken off the primary's own hold for clocks that run at
	// different speeds.
	holdDrift = 150 * time.Millisecond
	// diskPatience is how long one write to the primary's own disk may take
	// before it lets the backup take over.
	diskPatience = 1500 * time.Millisecond
	// unheardPatience is how long a primary may be greeted by nobody, while it
	// reaches its backup, before it hands over.
	unheardPatience = 1500 * time.Millisecond
	// deafMargin is how much longer than a lease a primary that hears nobody keeps silent
	// between two tries: past the holds that its keepers may have renewed, and long enough
	// for the backup to notice.
	deafMargin = 700 * time.Millisecond
	// applicantFresh is how long a newcomer's hello counts.
	applicantFresh = 3 * time.Second
	// staleAnswer is after which silence a candidate is tried after the others.
	staleAnswer = 700 * time.Millisecond
	// standTurn is how long a copy in sync lets another that goes before it stand.
	standTurn = 200 * time.Millisecond
	// installPatience is after how long another candidate is tried beside the one
	// whose disk takes its time.
	installPatience = 600 * time.Millisecond
	// helloPatience is how long a round of hellos is waited for: a machine without
	// power must not hold up the others' election.
	helloPatience = 150 * time.Millisecond
	// seatPatience is how long an expediter that leaves waits for another to take its
	// witness's seat, once its copy does not count any more.
	seatPatience = time.Second
	// slowAnswer is how long a hello that came after its round counts in the next.
	slowAnswer = 450 * time.Millisecond
)

// Steward decides who is primary, backup and keeper, from one expediter's
// point of view. Tick is called by one thread, over and over.
type Steward struct {
	turns   lease.Turns
	seeds   []string
	kind    membership.NodeKind
	keeper  *Keeper
	store   *Store
	peers   Peers
	observe func(event string, detail ...any)
	timing  Timing

	mutex      sync.Mutex
	holdEnds   time.Time
	charter    Charter
	restricted bool
	known      map[Identity]*acquaintance
	contacts   []string
	recordedAt []string
	nextPeer   int
	borne      int
	district   string
	backupList bool
	joinsOnly  bool

	unsettled    bool
	outrun       bool
	unconfirmed  bool
	backupFails  map[Identity]time.Time
	installFails map[Identity]time.Time
	shortSince   time.Time
	diskBusy     time.Time
	confirming   time.Time
	greeted      time.Time
	ledBy        time.Time
	roundAt      time.Time
	confirmedAt  time.Time
	freeFrom     time.Time
	leadsFrom    time.Time
	leaving      bool
	copyLeftAt   time.Time
	backoff      time.Time
	ballot       uint64
	// overtaken is the highest epoch that a keeper told when it refused a hold.
	overtaken uint64
}

// acquaintance is another expediter: when it was heard last, and when it
// answered last, which shows that it can be reached, too.
type acquaintance struct {
	hello    Hello
	lastSeen time.Time
	answered time.Time
}

// NewSteward makes the steward of one expediter.
//
// Example:
//
//	steward := replication.NewSteward(turns, seeds, keeper, store, peers, observe)
func NewSteward(turns lease.Turns, seeds []string, keeper *Keeper, store *Store, peers Peers, observe func(string, ...any)) *Steward {
	return &Steward{turns: turns, seeds: seeds, kind: membership.Expediter, keeper: keeper, store: store, peers: peers,
		observe: observe, timing: TimingFor(DefaultCatchUp), known: map[Identity]*acquaintance{}, borne: 1, backupFails: map[Identity]time.Time{}, installFails: map[Identity]time.Time{}}
}

// Holds tells whether this expediter is primary at this moment: its own hold
// runs. It is asked just before every answer.
//
// Example:
//
//	if !steward.Holds() { return failure.New(failure.NoPrimary, "") }
func (steward *Steward) Holds() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.turns.Now().Before(steward.holdEnds) && steward.store.View() != nil
}

// SetRestricted tells the steward whether its node lacks an enabled flag; a
// restricted node keeps epochs but stands for nothing.
//
// Example:
//
//	steward.SetRestricted(true)
func (steward *Steward) SetRestricted(restricted bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.restricted = restricted
}

// Leave makes this expediter hand over what it has, and stand no more while another can:
// its process is about to end. The primary is told at once.
//
// Example:
//
//	steward.Leave()
//	for !steward.Released() { pause() }
func (steward *Steward) Leave() {
	steward.mutex.Lock()
	steward.leaving = true
	steward.mutex.Unlock()
	primary := steward.Charter().Primary
	if primary.Empty() || primary.Identity == steward.keeper.Seat().Identity {
		return
	}
	if hello, err := steward.peers.Hello(steward.Address(primary), steward.Own()); err == nil {
		steward.note(hello, true)
	}
}

// Released tells whether nothing depends on this expediter any more: it leads not, no
// charter counts its copy, and another has its witness's seat. A seat for which nobody
// came for a while goes with it.
//
// Example:
//
//	if steward.Released() { end() }
func (steward *Steward) Released() bool {
	own, charter := steward.keeper.Seat().Identity, steward.Charter()
	if steward.store.Leading() || charter.InSync(own) {
		return false
	}
	if !charter.Keeps(own) {
		return true
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.copyLeftAt.IsZero() {
		steward.copyLeftAt = steward.turns.Now()
	}
	return len(charter.Incoming) == 0 && steward.turns.Now().Sub(steward.copyLeftAt) >= seatPatience
}

func (steward *Steward) isLeaving() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return steward.leaving
}

// JoinOnly keeps this expediter from forming a first core: there is one already,
// which a blank disk joins, whatever the seeds are.
//
// Example:
//
//	steward.JoinOnly()
func (steward *Steward) JoinOnly() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.joinsOnly = true
}

// SetContacts gives addresses besides the seeds and the charter's to say hello
// to, as the platform lists them.
//
// Example:
//
//	steward.SetContacts(addresses)
func (steward *Steward) SetContacts(addresses []string) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.contacts = addresses
}

// SetRecorded gives the addresses of the recorded members, the likeliest to know the
// core first. They are greeted while no majority of the witnesses answers.
//
// Example:
//
//	steward.SetRecorded(addresses)
func (steward *Steward) SetRecorded(addresses []string) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.recordedAt = addresses
}

// Charter is the newest charter that this expediter has heard of.
//
// Example:
//
//	primary := steward.Charter().Primary
func (steward *Steward) Charter() Charter {
	own := steward.keeper.Charter()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if own.Epoch >= steward.charter.Epoch {
		return own
	}
	return steward.charter
}

// Tick does the next thing that is due.
//
// Example:
//
//	for alive { steward.Tick(); pause() }
func (steward *Steward) Tick() {
	steward.greetAll()
	switch {
	case steward.keeper.Charter().Blank() && steward.Charter().Blank():
		steward.form()
	case steward.store.Leading():
		steward.lead()
	default:
		steward.watch()
	}
}

// lead is what the primary does: renew its hold, keep a backup in sync, keep
// three keepers, and hand over when it is restricted.
func (steward *Steward) lead() {
	charter := steward.Charter()
	own := steward.keeper.Seat()
	if charter.Primary.Identity != own.Identity {
		steward.resign("deposed", charter)
		return
	}
	if steward.ownDiskStalls() {
		// Its keepers are no longer asked, so that the backup may take over.
		return
	}
	if steward.deaf() || steward.unconfirmed && !steward.reaches(charter) {
		return
	}
	if steward.confirmDue() {
		steward.unconfirmed = !steward.confirm(charter)
	}
	if !steward.store.Leading() {
		return
	}
	if steward.isLeaving() && !charter.Backup.Empty() && !steward.unsettled {
		steward.handOver(charter)
		return
	}
	if steward.unheardOf(charter) {
		steward.observe("hands_over", "cause", "nobody reaches this expediter")
		steward.handOver(charter)
		return
	}
	if steward.outrun && !steward.unsettled {
		steward.regrant(charter)
	}
	steward.ensureBackups()
	steward.ensureKeepers()
}

// SetTiming chooses the waits of the core. It comes before any other use.
//
// Example:
//
//	steward.SetTiming(replication.TimingFor(2 * time.Second))
func (steward *Steward) SetTiming(timing Timing) {
	steward.timing = timing
	steward.keeper.SetLease(timing.Lease)
}

// SetSeeds exchanges the seeds, after a reload.
//
// Example:
//
//	steward.SetSeeds(chosen.Seeds)
func (steward *Steward) SetSeeds(seeds []string) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.seeds = seeds
}
