package replication

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
)

// Time-outs and intervals of the coordinator that do not depend on Timing.
const (
	// leaseDrift is subtracted from the primary's own lease, for clocks that run at different
	// speeds.
	leaseDrift = 150 * time.Millisecond
	// diskTimeout is how long one write to the primary's own disk may take before the primary
	// stops renewing its lease, so that the backup takes over.
	diskTimeout = 1500 * time.Millisecond
	// inboundTimeout is how long a primary that reaches its backup may receive no hello before it
	// transfers leadership.
	inboundTimeout = 1500 * time.Millisecond
	// silentMargin is added to the lease for the interval between two renewals of a primary that
	// receives nothing: meanwhile the leases that its witnesses may have renewed end, and the
	// backup has time to notice that.
	silentMargin = 700 * time.Millisecond
	// peerFreshness is how long the last hello of a controller counts when backups and witnesses
	// are selected.
	peerFreshness = 3 * time.Second
	// responseFreshness is how recent a response must be for its sender to count as reachable.
	responseFreshness = 700 * time.Millisecond
	// candidateStagger is the delay before a replica in sync becomes a candidate, for each replica in
	// sync that precedes it in the membership.
	candidateStagger = 200 * time.Millisecond
	// installTimeout is how long the installation of a snapshot may take before the next candidate
	// is tried in parallel.
	installTimeout = 600 * time.Millisecond
	// helloTimeout limits the wait for the responses to a round of hellos: a machine without power
	// must not delay the election.
	helloTimeout = 150 * time.Millisecond
	// slowResponseFreshness is how long a response that came after the end of its round counts in
	// the next.
	slowResponseFreshness = 450 * time.Millisecond
)

// Coordinator decides, from the point of view of one controller, which controllers are primary,
// backup and witness. Tick must be called repeatedly by one goroutine; the other methods may be
// called by any.
type Coordinator struct {
	runtime runtime.Runtime
	seeds   []string
	kind    membership.NodeKind
	witness *Witness
	store   *Store
	peers   Peers
	observe func(event string, detail ...any)
	timing  Timing

	// mutex guards the fields below, except those that only Tick and the functions called by it
	// use: roundStartedAt, renewedAt, renewalFailed, membershipUnknown, higherPromiseSeen,
	// highestEpoch, shortSince, quorumFreeSince, backoff, transferRefused.
	mutex sync.Mutex
	// leaseEnds is when this controller's lease as primary ends; zero without a lease.
	leaseEnds time.Time
	// membership is the newest membership that a hello or a proposal showed; the witness may have a
	// newer one.
	membership Membership
	// restricted reports that the controller lacks an enabled flag, joinOnly that it must not form
	// a first membership.
	restricted, joinOnly bool
	// departure is the progress of the graceful shutdown.
	departure departure
	// lossesTolerated, zone and backupList are the values given to SetTolerance and SetBackupList.
	lossesTolerated int
	zone            string
	backupList      bool

	// peerStatuses is the failure detector's table.
	peerStatuses map[Identity]*peerStatus
	// discovered and memberAddresses are addresses that receive hellos besides the seeds and the
	// witnesses; nextMember is the position in memberAddresses at which the next round continues.
	discovered      []string
	memberAddresses []string
	nextMember      int
	// helloReceivedAt is when the last hello of any controller arrived, primaryHelloAt when the last
	// hello of the primary did.
	helloReceivedAt time.Time
	primaryHelloAt  time.Time
	roundStartedAt  time.Time

	// renewalSentAt is when the last renewal of the lease was sent, renewedAt when the last renewal
	// that a quorum granted was sent.
	renewalSentAt time.Time
	renewedAt     time.Time
	renewalFailed bool
	// membershipUnknown reports that a proposal of this primary failed, or that witnesses refuse to
	// renew its lease. The membership has to be proposed again before the next membership is derived
	// from it.
	membershipUnknown bool
	// higherPromiseSeen reports that some witness promised an epoch above the present one, although
	// a quorum renewed the lease; highestRefused is the highest epoch that a witness reported when
	// it refused.
	higherPromiseSeen bool
	highestRefused    uint64
	// highestEpoch is the highest epoch seen in any vote; the next proposal uses a higher epoch.
	highestEpoch uint64

	// transferRefused holds, for each backup, the code of the last logged reason why leadership was
	// not transferred to it.
	transferRefused map[Identity]failure.Code

	// unsynced holds the backups with a write that has not succeeded. installFails holds, for each
	// controller, the time at which the installation of a snapshot on it last failed.
	unsynced     map[Identity]backupWrites
	installFails map[Identity]time.Time
	// shortSince is the time since which there have been fewer backups than wanted. diskBusy is the
	// start of the earliest write to the local disk that has not succeeded yet. Both are zero otherwise.
	shortSince time.Time
	diskBusy   time.Time

	// leadsSince is the time since which this controller has been primary, quorumFreeSince the time
	// since which a quorum of witnesses has permitted its candidacy.
	leadsSince      time.Time
	quorumFreeSince time.Time
	// backoff is the earliest time at which this controller may become a candidate again.
	backoff time.Time
}

// NewCoordinator returns the coordinator of one controller, with the default timing and one
// tolerated loss. It calls observe for each event that belongs in the log.
func NewCoordinator(
	rt runtime.Runtime, seeds []string, witness *Witness, store *Store, peers Peers, observe func(string, ...any),
) *Coordinator {
	return &Coordinator{
		runtime:         rt,
		seeds:           seeds,
		kind:            membership.Controller,
		witness:         witness,
		store:           store,
		peers:           peers,
		observe:         observe,
		timing:          TimingFor(DefaultCatchUp),
		lossesTolerated: 1,
		peerStatuses:    map[Identity]*peerStatus{},
		unsynced:        map[Identity]backupWrites{},
		installFails:    map[Identity]time.Time{},
		transferRefused: map[Identity]failure.Code{},
	}
}

// SetTiming sets the timing. It must be called before any other method.
func (c *Coordinator) SetTiming(timing Timing) {
	c.timing = timing
	c.witness.SetLease(timing.Lease)
}

// SetSeeds replaces the seeds when the settings are reloaded.
func (c *Coordinator) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = seeds
}

// SetDiscovered sets the controller addresses that the platform lists. They receive hellos besides
// the seeds and the witnesses.
func (c *Coordinator) SetDiscovered(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.discovered = addresses
}

// SetMemberAddresses sets the addresses of the recorded members, ordered with the members that most
// likely know the membership first. They receive hellos while no majority of the witnesses responds.
func (c *Coordinator) SetMemberAddresses(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.memberAddresses = addresses
}

// SetJoinOnly keeps this controller from forming a first membership, even if it is the first seed:
// a core exists already, and a controller with a blank disk has to join that core.
func (c *Coordinator) SetJoinOnly() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.joinOnly = true
}

// SetRestricted sets whether the controller lacks an enabled flag. A restricted controller may be a
// witness, but is a backup or the primary only while no other controller can be.
func (c *Coordinator) SetRestricted(restricted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.restricted = restricted
}

// SetTolerance sets how many machines may be lost at once together with their disks, and the zone
// of this machine. With one loss, the default, there are one backup and three witnesses. With n
// losses there are n backups and 2n+1 witnesses, spread over the zones so that a whole zone may be
// lost. docs/design/replication.md, "More than one loss".
func (c *Coordinator) SetTolerance(losses int, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lossesTolerated, c.zone = max(losses, 1), zone
}

// SetBackupList sets whether the flag backup_list is enabled: every recorded member can then read
// memberships with more than one backup.
func (c *Coordinator) SetBackupList(enabled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backupList = enabled
}

// wantedBackups returns how many backups there should be.
func (c *Coordinator) wantedBackups() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.backupList {
		return 1
	}
	return c.lossesTolerated
}

func (c *Coordinator) toleratesSeveral() bool { return c.wantedBackups() > 1 }

// withZone returns the replica as it is written to a membership: with its zone only where several
// losses are tolerated.
func (c *Coordinator) withZone(replica Replica) Replica {
	switch {
	case !c.toleratesSeveral():
		replica.Zone = ""
	case replica.Identity == c.witness.Replica().Identity:
		replica.Zone = c.zone
	}
	return replica
}

// Membership returns the newest membership that this controller knows.
func (c *Coordinator) Membership() Membership {
	own := c.witness.Membership()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if own.Epoch >= c.membership.Epoch {
		return own
	}
	return c.membership
}

// Tick exchanges hellos when they are due, then does the next step of a blank, a leading or a
// standby controller. It may wait for the network and the local disk.
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

// tickPrimary is the Tick of the primary: it renews the lease, transfers leadership when necessary,
// and keeps as many backups and witnesses as are wanted.
func (c *Coordinator) tickPrimary() {
	membership := c.Membership()
	own := c.witness.Replica()
	if membership.Primary.Identity != own.Identity {
		c.stepDown("deposed", membership)
		return
	}
	if c.diskStalled() {
		// The lease is not renewed, so that the backup can take over.
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
	if c.isLeaving() && !membership.Backup.Empty() && !c.membershipUnknown && c.transferLeadership(membership) {
		return
	}
	if c.inboundCut(membership) {
		c.observe("leadership_transfer", "cause", "no controller reaches this one")
		c.transferLeadership(membership)
		return
	}
	if c.higherPromiseSeen && !c.membershipUnknown {
		c.reproposeMembership(membership)
	}
	c.ensureBackups()
	c.reconcileWitnesses()
}
