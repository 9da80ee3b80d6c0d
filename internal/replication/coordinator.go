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
	// diskTimeout is how long one write to the primary's own disk may take
	// before it lets the backup take over.
	diskTimeout = 1500 * time.Millisecond
	// inboundTimeout is how long a primary may be greeted by nobody, while it
	// reaches its backup, before it hands over.
	inboundTimeout = 1500 * time.Millisecond
	// silentMargin is how much longer than a lease a primary that hears nobody keeps silent
	// between two tries: past the holds that its keepers may have renewed, and long enough
	// for the backup to notice.
	silentMargin = 700 * time.Millisecond
	// applicantFreshness is how long a newcomer's hello counts.
	applicantFreshness = 3 * time.Second
	// responseFreshness is after which silence a candidate is tried after the others.
	responseFreshness = 700 * time.Millisecond
	// candidateStagger is how long a copy in sync lets another that goes before it stand.
	candidateStagger = 200 * time.Millisecond
	// installTimeout is after how long another candidate is tried beside the one
	// whose disk takes its time.
	installTimeout = 600 * time.Millisecond
	// helloTimeout is how long a round of hellos is waited for: a machine without
	// power must not hold up the others' election.
	helloTimeout = 150 * time.Millisecond
	// witnessHandoverTimeout is how long a controller that leaves waits for another to take its
	// witness's seat, once its copy does not count any more.
	witnessHandoverTimeout = time.Second
	// slowResponseFreshness is how long a hello that came after its round counts in the next.
	slowResponseFreshness = 450 * time.Millisecond
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

	mutex           sync.Mutex
	leaseEnds       time.Time
	membership      Membership
	restricted      bool
	peerStatuses    map[Identity]*peerStatus
	discovered      []string
	memberAddresses []string
	nextMember      int
	lossesTolerated int
	zone            string
	backupList      bool
	joinOnly        bool

	membershipUnknown bool
	higherPromiseSeen bool
	renewalFailed     bool
	backupFails       map[Identity]time.Time
	installFails      map[Identity]time.Time
	shortSince        time.Time
	diskBusy          time.Time
	renewalSentAt     time.Time
	helloReceivedAt   time.Time
	primaryHelloAt    time.Time
	roundStartedAt    time.Time
	renewedAt         time.Time
	quorumFreeSince   time.Time
	leadsSince        time.Time
	leaving           bool
	outOfSyncSince    time.Time
	backoff           time.Time
	highestEpoch      uint64
	// overtaken is the highest epoch that a keeper told when it refused a hold.
	highestRefused uint64
}

// acquaintance is another controller: when it was heard last, and when it
// answered last, which shows that it can be reached, too.
type peerStatus struct {
	hello        Hello
	lastSeen     time.Time
	lastResponse time.Time
}

// NewCoordinator makes the steward of one controller.
func NewCoordinator(rt runtime.Runtime, seeds []string, witness *Witness, store *Store, peers Peers, observe func(string, ...any)) *Coordinator {
	return &Coordinator{runtime: rt, seeds: seeds, kind: membership.Controller, witness: witness, store: store, peers: peers,
		observe: observe, timing: TimingFor(DefaultCatchUp), peerStatuses: map[Identity]*peerStatus{}, lossesTolerated: 1, backupFails: map[Identity]time.Time{}, installFails: map[Identity]time.Time{}}
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
	if hello, err := c.peers.Hello(c.Address(primary), c.OwnHello()); err == nil {
		c.recordHello(hello, true)
	}
}

// ReadyToStop tells whether nothing depends on this controller any more: it leads not, no
// membership counts its copy, and another has its witness's seat. A seat for which nobody
// came for a while goes with it.
func (c *Coordinator) ReadyToStop() bool {
	own, membership := c.witness.Replica().Identity, c.Membership()
	if c.store.Leading() || membership.InSync(own) {
		return false
	}
	if !membership.HasVoter(own) {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.outOfSyncSince.IsZero() {
		c.outOfSyncSince = c.runtime.Now()
	}
	return len(membership.Incoming) == 0 && c.runtime.Now().Sub(c.outOfSyncSince) >= witnessHandoverTimeout
}

func (c *Coordinator) isLeaving() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaving
}

// SetJoinOnly keeps this controller from forming a first core: there is one already,
// which a blank disk joins, whatever the seeds are.
func (c *Coordinator) SetJoinOnly() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.joinOnly = true
}

// SetDiscovered gives addresses besides the seeds and the membership's to say hello
// to, as the platform lists them.
func (c *Coordinator) SetDiscovered(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.discovered = addresses
}

// SetMemberAddresses gives the addresses of the recorded members, the likeliest to know the
// core first. They are greeted while no majority of the witnesses answers.
func (c *Coordinator) SetMemberAddresses(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memberAddresses = addresses
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
	c.exchangeHellos()
	switch {
	case c.witness.Membership().Blank() && c.Membership().Blank():
		c.bootstrap()
	case c.store.Leading():
		c.tickPrimary()
	default:
		c.tickStandby()
	}
}

// lead is what the primary does: renew its hold, keep a backup in sync, keep
// three keepers, and hand over when it is restricted.
func (c *Coordinator) tickPrimary() {
	membership := c.Membership()
	own := c.witness.Replica()
	if membership.Primary.Identity != own.Identity {
		c.stepDown("deposed", membership)
		return
	}
	if c.diskStalled() {
		// Its keepers are no longer asked, so that the backup may take over.
		return
	}
	if c.receivesNothing() || c.renewalFailed && !c.reachesQuorum(membership) {
		return
	}
	if c.renewalDue() {
		c.renewalFailed = !c.renewLease(membership)
	}
	if !c.store.Leading() {
		return
	}
	if c.isLeaving() && !membership.Backup.Empty() && !c.membershipUnknown {
		c.transferLeadership(membership)
		return
	}
	if c.inboundCut(membership) {
		c.observe("hands_over", "cause", "nobody reaches this expediter")
		c.transferLeadership(membership)
		return
	}
	if c.higherPromiseSeen && !c.membershipUnknown {
		c.reproposeMembership(membership)
	}
	c.ensureBackups()
	c.reconcileWitnesses()
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
