package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
)

// The steward's lengths of time. The values are ours.
const (
	// leaseDrift is taken off the primary's own hold for clocks that run at
	// different speeds.
	leaseDrift = 150 * time.Millisecond
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
	// seatPatience is how long a controller that leaves waits for another to take its
	// witness's seat, once its copy does not count any more.
	seatPatience = time.Second
	// slowAnswer is how long a hello that came after its round counts in the next.
	slowAnswer = 450 * time.Millisecond
)

// Coordinator decides who is primary, backup and keeper, from one controller's
// point of view. Tick is called by one thread, over and over.
type Coordinator struct {
	runtime runtime.Runtime
	seeds   []string
	kind    membership.NodeKind
	witness *Witness
	store   *Store
	peers   Peers
	observe func(event string, detail ...any)
	timing  Timing

	mutex      sync.Mutex
	leaseEnds  time.Time
	membership Membership
	restricted bool
	known      map[Identity]*acquaintance
	contacts   []string
	recordedAt []string
	nextPeer   int
	borne      int
	zone       string
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

// acquaintance is another controller: when it was heard last, and when it
// answered last, which shows that it can be reached, too.
type acquaintance struct {
	hello    Hello
	lastSeen time.Time
	answered time.Time
}

// NewCoordinator makes the steward of one controller.
func NewCoordinator(rt runtime.Runtime, seeds []string, witness *Witness, store *Store, peers Peers, observe func(string, ...any)) *Coordinator {
	return &Coordinator{runtime: rt, seeds: seeds, kind: membership.Controller, witness: witness, store: store, peers: peers,
		observe: observe, timing: TimingFor(DefaultCatchUp), known: map[Identity]*acquaintance{}, borne: 1, backupFails: map[Identity]time.Time{}, installFails: map[Identity]time.Time{}}
}

// HasLease tells whether this controller is primary at this moment: its own hold
// runs. It is asked just before every answer.
func (c *Coordinator) HasLease() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.runtime.Now().Before(c.leaseEnds) && c.store.View() != nil
}

// SetRestricted tells the steward whether its node lacks an enabled flag; a
// restricted node keeps epochs but stands for nothing.
func (c *Coordinator) SetRestricted(restricted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restricted = restricted
}

// Leave makes this controller hand over what it has, and stand no more while another can:
// its process is about to end. The primary is told at once.
func (c *Coordinator) Leave() {
	c.mutex.Lock()
	c.leaving = true
	c.mutex.Unlock()
	primary := c.Membership().Primary
	if primary.Empty() || primary.Identity == c.witness.Replica().Identity {
		return
	}
	if hello, err := c.peers.Hello(c.Address(primary), c.Own()); err == nil {
		c.note(hello, true)
	}
}

// Released tells whether nothing depends on this controller any more: it leads not, no
// membership counts its copy, and another has its witness's seat. A seat for which nobody
// came for a while goes with it.
func (c *Coordinator) Released() bool {
	own, membership := c.witness.Replica().Identity, c.Membership()
	if c.store.Leading() || membership.InSync(own) {
		return false
	}
	if !membership.Keeps(own) {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.copyLeftAt.IsZero() {
		c.copyLeftAt = c.runtime.Now()
	}
	return len(membership.Incoming) == 0 && c.runtime.Now().Sub(c.copyLeftAt) >= seatPatience
}

func (c *Coordinator) isLeaving() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaving
}

// JoinOnly keeps this controller from forming a first core: there is one already,
// which a blank disk joins, whatever the seeds are.
func (c *Coordinator) JoinOnly() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.joinsOnly = true
}

// SetContacts gives addresses besides the seeds and the membership's to say hello
// to, as the platform lists them.
func (c *Coordinator) SetContacts(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.contacts = addresses
}

// SetRecorded gives the addresses of the recorded members, the likeliest to know the
// core first. They are greeted while no majority of the witnesses answers.
func (c *Coordinator) SetRecorded(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordedAt = addresses
}

// Membership is the newest membership that this controller has heard of.
func (c *Coordinator) Membership() Membership {
	own := c.witness.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if own.Epoch >= c.membership.Epoch {
		return own
	}
	return c.membership
}

// Tick does the next thing that is due.
func (c *Coordinator) Tick() {
	c.greetAll()
	switch {
	case c.witness.Membership().Blank() && c.Membership().Blank():
		c.form()
	case c.store.Leading():
		c.lead()
	default:
		c.watch()
	}
}

// lead is what the primary does: renew its hold, keep a backup in sync, keep
// three keepers, and hand over when it is restricted.
func (c *Coordinator) lead() {
	membership := c.Membership()
	own := c.witness.Replica()
	if membership.Primary.Identity != own.Identity {
		c.resign("deposed", membership)
		return
	}
	if c.diskStalled() {
		// Its keepers are no longer asked, so that the backup may take over.
		return
	}
	if c.deaf() || c.unconfirmed && !c.reaches(membership) {
		return
	}
	if c.confirmDue() {
		c.unconfirmed = !c.confirm(membership)
	}
	if !c.store.Leading() {
		return
	}
	if c.isLeaving() && !membership.Backup.Empty() && !c.unsettled {
		c.handOver(membership)
		return
	}
	if c.unheardOf(membership) {
		c.observe("hands_over", "cause", "nobody reaches this expediter")
		c.handOver(membership)
		return
	}
	if c.outrun && !c.unsettled {
		c.regrant(membership)
	}
	c.ensureBackups()
	c.ensureWitnesses()
}

// SetTiming chooses the waits of the core. It comes before any other use.
func (c *Coordinator) SetTiming(timing Timing) {
	c.timing = timing
	c.witness.SetLease(timing.Lease)
}

// SetSeeds exchanges the seeds, after a reload.
func (c *Coordinator) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = seeds
}
