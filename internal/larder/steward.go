package larder

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
)

// The steward's lengths of time. The values are ours.
const (
	// holdDrift is taken off the primary's own hold for clocks that run at
	// different speeds.
	holdDrift = 150 * time.Millisecond
	// backupPatience is how long the backup may not answer before the third
	// expediter takes its place.
	backupPatience = 700 * time.Millisecond
	// diskPatience is how long one write to the primary's own disk may take
	// before it lets the backup take over.
	diskPatience = 1500 * time.Millisecond
	// unheardPatience is how long a primary may be greeted by nobody, while it
	// reaches its backup, before it hands over.
	unheardPatience = 1500 * time.Millisecond
	// keeperPatience is how long a keeper may be gone before a newcomer is
	// admitted in its place.
	keeperPatience = 4 * time.Second
	// applicantFresh is how long a newcomer's hello counts.
	applicantFresh = 3 * time.Second
)

// Steward decides who is primary, backup and keeper, from one expediter's
// point of view. Tick is called by one thread, over and over.
type Steward struct {
	turns   rota.Turns
	seeds   []string
	kind    roster.NodeKind
	keeper  *Keeper
	store   *Store
	peers   Peers
	observe func(event string, detail ...any)

	mutex      sync.Mutex
	holdEnds   time.Time
	charter    Charter
	restricted bool
	known      map[Identity]*acquaintance
	contacts   []string

	unsettled   bool
	outrun      bool
	backupFails time.Time
	diskBusy    time.Time
	greeted     time.Time
	leadsFrom   time.Time
	leaving     bool
	backoff     time.Time
	ballot      uint64
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
//	steward := larder.NewSteward(turns, seeds, keeper, store, peers, observe)
func NewSteward(turns rota.Turns, seeds []string, keeper *Keeper, store *Store, peers Peers, observe func(string, ...any)) *Steward {
	return &Steward{turns: turns, seeds: seeds, kind: roster.Expediter, keeper: keeper, store: store, peers: peers,
		observe: observe, known: map[Identity]*acquaintance{}}
}

// Holds tells whether this expediter is primary at this moment: its own hold
// runs. It is asked just before every answer.
//
// Example:
//
//	if !steward.Holds() { return trouble.New(trouble.NoPrimary, "") }
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

// Leave makes this expediter hand over, if it is primary, and stand no more:
// its process is about to end.
//
// Example:
//
//	steward.Leave()
func (steward *Steward) Leave() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	steward.leaving = true
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

// Own is the hello that this expediter says.
//
// Example:
//
//	answer := steward.Own()
func (steward *Steward) Own() Hello {
	charter := steward.keeper.Charter()
	left := steward.keeper.HoldEnds().Sub(steward.turns.Now())
	leads := steward.Holds()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.charter.Epoch > charter.Epoch {
		charter = steward.charter
	}
	return Hello{Seat: steward.keeper.Seat(), Kind: steward.kind, Blank: steward.keeper.Charter().Blank(), Restricted: steward.restricted,
		Charter: charter, Leads: leads, HoldLeft: max(left, 0),
		Version: steward.store.Copy().Version(), Damage: steward.store.Copy().Damage()}
}

// Greet takes another's hello and answers it.
//
// Example:
//
//	answer := steward.Greet(hello)
func (steward *Steward) Greet(hello Hello) Hello {
	steward.note(hello, false)
	steward.mutex.Lock()
	steward.greeted = steward.turns.Now()
	steward.mutex.Unlock()
	return steward.Own()
}

func (steward *Steward) note(hello Hello, answered bool) {
	if hello.Seat.Empty() || hello.Seat.Identity == steward.keeper.Seat().Identity {
		return
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	known, found := steward.known[hello.Seat.Identity]
	if !found {
		known = &acquaintance{}
		steward.known[hello.Seat.Identity] = known
	}
	known.hello, known.lastSeen = hello, steward.turns.Now()
	if answered {
		known.answered = known.lastSeen
	}
	if hello.Charter.Epoch > steward.charter.Epoch {
		steward.charter = hello.Charter
	}
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

// greetAll says hello to every address that may have an expediter.
func (steward *Steward) greetAll() {
	own := steward.Own()
	addresses := map[string]bool{}
	for _, seat := range steward.Charter().Electors() {
		addresses[seat.Address] = true
	}
	steward.mutex.Lock()
	for _, address := range steward.seeds {
		addresses[address] = true
	}
	for _, address := range steward.contacts {
		addresses[address] = true
	}
	for _, known := range steward.known {
		if steward.turns.Now().Sub(known.lastSeen) < time.Minute {
			addresses[known.hello.Seat.Address] = true
		}
	}
	steward.mutex.Unlock()
	delete(addresses, own.Seat.Address)
	// One waits here only for those who should answer: the others' hellos are
	// noted whenever they come.
	var seats []Seat
	for address := range addresses {
		seats = append(seats, Seat{Address: address})
	}
	sort.Slice(seats, func(left, right int) bool { return seats[left].Address < seats[right].Address })
	answered := 0
	gather(steward.turns, seats, func(seat Seat) (Hello, error) {
		hello, failure := steward.peers.Hello(seat.Address, own)
		if failure == nil {
			steward.note(hello, true)
		}
		return hello, failure
	}, func(_ Seat, _ Hello, failure error) {
		if failure == nil {
			answered++
		}
	}, func() bool { return answered >= 2 })
}

// form begins the first core: only from the first seed, and only when all
// three seeds are blank.
func (steward *Steward) form() {
	own := steward.keeper.Seat()
	steward.mutex.Lock()
	seeds := steward.seeds
	steward.mutex.Unlock()
	if len(seeds) != 3 || seeds[0] != own.Address {
		return
	}
	seats := []Seat{own}
	for _, address := range seeds[1:] {
		seat, blank := steward.seenAt(address)
		if !blank {
			return
		}
		seats = append(seats, seat)
	}
	charter := Charter{Epoch: 1, Primary: seats[0], Backup: seats[1], Keepers: seats}
	if _, failure := steward.keeper.Accept(steward.turns.Now(), charter); failure != nil {
		steward.observe("formation_failed", "cause", failure)
		return
	}
	for _, seat := range seats[1:] {
		_, _ = steward.peers.Accept(seat.Address, seat.Identity, charter)
	}
	steward.observe("core_formed", "keepers", seats)
}

func (steward *Steward) seenAt(address string) (Seat, bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var found *acquaintance
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		if known.hello.Seat.Address == address && (found == nil || known.lastSeen.After(found.lastSeen)) {
			found = known
		}
	}
	if found == nil || steward.turns.Now().Sub(found.lastSeen) > applicantFresh {
		return Seat{}, false
	}
	return found.hello.Seat, found.hello.Blank && found.hello.Kind == roster.Expediter
}

// watch is what a copy in sync does while another is primary, or none is.
func (steward *Steward) watch() {
	charter := steward.Charter()
	own := steward.keeper.Seat()
	now := steward.turns.Now()
	if !charter.InSync(own.Identity) || steward.store.Copy().Damage() != "" || now.Before(steward.backoff) {
		return
	}
	steward.mutex.Lock()
	leaving := steward.leaving
	steward.mutex.Unlock()
	if leaving {
		return
	}
	// A candidate that nobody can elect yet would only disturb the primary, so
	// it asks first whether a quorum has no hold running.
	free := map[Identity]bool{}
	steward.mutex.Lock()
	restricted := steward.restricted
	steward.mutex.Unlock()
	gather(steward.turns, charter.Electors(), func(seat Seat) (Hello, error) {
		if seat.Identity == own.Identity {
			return steward.Own(), nil
		}
		return steward.peers.Hello(steward.Address(seat), steward.Own())
	}, func(seat Seat, hello Hello, failure error) {
		if failure == nil && hello.Seat.Identity == seat.Identity && hello.HoldLeft == 0 && !hello.Leads {
			free[seat.Identity] = true
		}
	}, func() bool { return charter.Quorum(free) })
	if !charter.Quorum(free) {
		return
	}
	if restricted {
		// It takes over only when the other copy in sync cannot, and then hands
		// over as soon as a capable expediter is in sync.
		steward.backoff = now.Add(2 * time.Second)
		if steward.otherInSyncAlive(charter) {
			return
		}
	}
	won, failure := steward.stand(func(base Charter) (Charter, bool) {
		if !base.InSync(own.Identity) {
			return base, false
		}
		base.Primary, base.Backup = own, Seat{}
		return base, true
	})
	if failure != nil {
		// Two candidates part by different patience.
		spread := time.Duration(roster.Weight("backoff", string(own.Identity))%300) * time.Millisecond
		steward.backoff = steward.turns.Now().Add(150*time.Millisecond + spread)
		return
	}
	if failure := steward.store.Lead(won.Epoch); failure != nil {
		steward.observe("lead_failed", "cause", failure)
		return
	}
	steward.unsettled = false
	steward.mutex.Lock()
	steward.backupFails, steward.leadsFrom = time.Time{}, steward.turns.Now()
	steward.mutex.Unlock()
	steward.observe("became_primary", "epoch", won.Epoch)
	steward.confirm(won)
	steward.ensureBackup()
}

// otherInSyncAlive tells whether the other copy in sync can take over: its node is
// there, lacks no flag, and its copy is whole.
func (steward *Steward) otherInSyncAlive(charter Charter) bool {
	own := steward.keeper.Seat().Identity
	for _, seat := range []Seat{charter.Primary, charter.Backup} {
		if !seat.Empty() && seat.Identity != own {
			if hello, alive := steward.alive(seat.Identity, applicantFresh); alive && !hello.Restricted && hello.Damage == "" {
				return true
			}
		}
	}
	return false
}

func (steward *Steward) alive(identity Identity, fresh time.Duration) (Hello, bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	known, found := steward.known[identity]
	if !found || steward.turns.Now().Sub(known.answered) > fresh {
		return Hello{}, false
	}
	return known.hello, true
}

// stand asks for the next epoch: first for promises, by which the newest
// charter is found, then for acceptance of the charter made from it.
func (steward *Steward) stand(make func(base Charter) (Charter, bool)) (Charter, error) {
	own := steward.keeper.Seat()
	base := steward.keeper.Charter()
	if known := steward.Charter(); known.Epoch > base.Epoch {
		base = known
	}
	ballot := max(base.Epoch, steward.keeper.Promised(), steward.ballot) + 1
	if failure := steward.store.Vow(steward.turns.Now(), ballot, own.Identity); failure != nil {
		return base, failure
	}
	granted := map[Identity]bool{}
	asked := map[Identity]bool{}
	for {
		var seats []Seat
		for _, seat := range base.Electors() {
			if !asked[seat.Identity] {
				asked[seat.Identity] = true
				seats = append(seats, seat)
			}
		}
		if len(seats) == 0 {
			break
		}
		current, newest := base, base
		highest := uint64(0)
		gather(steward.turns, seats, func(seat Seat) (Promise, error) {
			if seat.Identity == own.Identity {
				// The vow has promised this epoch on the own disk already.
				return Promise{Keeper: own.Identity, Granted: true, Charter: steward.keeper.Charter()}, nil
			}
			promise, failure := steward.peers.Prepare(steward.Address(seat), seat.Identity, ballot, own.Identity)
			if failure == nil && promise.Refusal == trouble.NotAdmitted && current.Keeps(seat.Identity) {
				// It was named a keeper and has not heard of it.
				if _, failure := steward.peers.Accept(steward.Address(seat), seat.Identity, current); failure == nil {
					return steward.peers.Prepare(steward.Address(seat), seat.Identity, ballot, own.Identity)
				}
			}
			return promise, failure
		}, func(seat Seat, promise Promise, failure error) {
			if failure != nil {
				return
			}
			highest = max(highest, promise.Promised)
			if promise.Charter.Epoch > newest.Epoch {
				newest = promise.Charter
			}
			granted[seat.Identity] = granted[seat.Identity] || promise.Granted
		}, func() bool { return current.Quorum(granted) })
		steward.ballot = max(steward.ballot, highest)
		if !current.Quorum(granted) {
			return newest, trouble.New(trouble.NoPrimary, "no quorum of keepers promised the epoch")
		}
		if newest.Epoch == base.Epoch {
			break
		}
		base = newest
	}
	if !base.Quorum(granted) {
		return base, trouble.New(trouble.NoPrimary, "no quorum of the newest keepers promised the epoch")
	}
	next, may := make(base)
	if !may {
		return base, trouble.New(trouble.Deposed, "the newest charter does not allow it")
	}
	next.Epoch = ballot
	accepted := map[Identity]bool{}
	seats := Charter{Keepers: base.Electors(), Incoming: next.Electors()}.Electors()
	gather(steward.turns, seats, func(seat Seat) (Promise, error) {
		if seat.Identity == own.Identity {
			return steward.keeper.Accept(steward.turns.Now(), next)
		}
		return steward.peers.Accept(steward.Address(seat), seat.Identity, next)
	}, func(seat Seat, promise Promise, failure error) {
		if failure == nil {
			steward.ballot = max(steward.ballot, promise.Promised)
			accepted[seat.Identity] = promise.Granted
		}
	}, func() bool { return base.Quorum(accepted) && next.Quorum(accepted) })
	if !base.Quorum(accepted) || !next.Quorum(accepted) {
		return base, trouble.New(trouble.Unknown, "no quorum of keepers accepted the charter")
	}
	steward.mutex.Lock()
	steward.charter = next
	steward.mutex.Unlock()
	return next, nil
}

// confirm renews the primary's own hold from a quorum of keepers.
func (steward *Steward) confirm(charter Charter) bool {
	own := steward.keeper.Seat()
	asked := steward.turns.Now()
	confirmed := map[Identity]bool{}
	var newer Charter
	outdated := false
	gather(steward.turns, charter.Electors(), func(seat Seat) (Promise, error) {
		if seat.Identity == own.Identity {
			return steward.keeper.Confirm(asked, charter.Epoch, own.Identity), nil
		}
		promise, failure := steward.peers.Confirm(steward.Address(seat), seat.Identity, charter.Epoch, own.Identity)
		if failure == nil && promise.Charter.Epoch < charter.Epoch && promise.Refusal != trouble.OldEpoch {
			// It was away when the charter was granted.
			_, _ = steward.peers.Accept(steward.Address(seat), seat.Identity, charter)
		}
		return promise, failure
	}, func(seat Seat, promise Promise, failure error) {
		if failure != nil {
			return
		}
		confirmed[seat.Identity] = promise.Granted
		outdated = outdated || promise.Refusal == trouble.OldEpoch
		steward.ballot = max(steward.ballot, promise.Promised)
		if promise.Charter.Epoch > newer.Epoch {
			newer = promise.Charter
		}
	}, func() bool { return charter.Quorum(confirmed) })
	if newer.Epoch > charter.Epoch && newer.Primary.Identity != own.Identity {
		steward.resign("deposed", newer)
		return false
	}
	if !charter.Quorum(confirmed) {
		if outdated {
			// An epoch was promised and not used, perhaps to this steward
			// itself: the charter is asked for anew.
			steward.unsettled = true
		}
		return false
	}
	steward.outrun = outdated
	steward.mutex.Lock()
	steward.holdEnds = asked.Add(PrimaryHold - holdDrift)
	steward.mutex.Unlock()
	return true
}

// regrant asks for the same charter under a higher epoch, when a keeper has
// promised one that nobody was granted and so can't confirm the present one.
func (steward *Steward) regrant(charter Charter) {
	steward.outrun = false
	won, failure := steward.stand(func(base Charter) (Charter, bool) {
		return base, base.Epoch == charter.Epoch && base.Primary.Identity == charter.Primary.Identity
	})
	if failure != nil {
		steward.observe("not_regranted", "cause", failure)
		steward.unsettled = true
		return
	}
	steward.store.Thaw(won.Epoch)
	steward.confirm(won)
}

func (steward *Steward) resign(cause string, newer Charter) {
	steward.mutex.Lock()
	steward.holdEnds = time.Time{}
	if newer.Epoch > steward.charter.Epoch {
		steward.charter = newer
	}
	steward.mutex.Unlock()
	steward.store.StepDown()
	steward.observe("stepped_down", "cause", cause, "epoch", newer.Epoch)
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
	steward.confirm(charter)
	if !steward.store.Leading() {
		return
	}
	steward.mutex.Lock()
	leaving := steward.leaving
	steward.mutex.Unlock()
	if leaving && !charter.Backup.Empty() && !steward.unsettled {
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
	steward.ensureBackup()
	steward.ensureKeepers()
}

// OwnDisk tells the steward that a write to the own disk begins or has ended.
//
// Example:
//
//	steward.OwnDisk(true)
//	failure := store.KeepOwn(batch)
//	steward.OwnDisk(failure != nil)
func (steward *Steward) OwnDisk(busy bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if !busy {
		steward.diskBusy = time.Time{}
	} else if steward.diskBusy.IsZero() {
		steward.diskBusy = steward.turns.Now()
	}
}

func (steward *Steward) ownDiskStalls() bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	return !steward.diskBusy.IsZero() && steward.turns.Now().Sub(steward.diskBusy) > diskPatience
}

// unheardOf tells whether this primary reaches its backup while no expediter
// reaches it: its link has failed in one direction, and nodes that ask it are
// not heard either.
func (steward *Steward) unheardOf(charter Charter) bool {
	if charter.Backup.Empty() || steward.unsettled {
		return false
	}
	if _, alive := steward.alive(charter.Backup.Identity, steward.beat()); !alive {
		return false
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if steward.leadsFrom.IsZero() {
		steward.leadsFrom = steward.turns.Now()
	}
	latest := steward.greeted
	if latest.Before(steward.leadsFrom) {
		latest = steward.leadsFrom
	}
	return steward.turns.Now().Sub(latest) > unheardPatience
}

// BackupAnswered tells the steward how the last write to the backup ended.
//
// Example:
//
//	steward.BackupAnswered(failure == nil)
func (steward *Steward) BackupAnswered(well bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if well {
		steward.backupFails = time.Time{}
	} else if steward.backupFails.IsZero() {
		steward.backupFails = steward.turns.Now()
	}
}

func (steward *Steward) ensureBackup() {
	charter := steward.Charter()
	steward.mutex.Lock()
	failing := !steward.backupFails.IsZero() && steward.turns.Now().Sub(steward.backupFails) > backupPatience
	restricted := steward.restricted
	steward.mutex.Unlock()
	if !charter.Backup.Empty() && !steward.unsettled && !failing {
		hello, seen := steward.alive(charter.Backup.Identity, backupPatience+steward.beat())
		if seen && hello.Damage == "" && !hello.Restricted {
			if restricted {
				steward.handOver(charter)
			}
			return
		}
	}
	for _, seat := range steward.backupCandidates(charter, failing) {
		snapshot, leading := steward.store.Freeze()
		if !leading {
			return
		}
		steward.unsettled = true
		if failure := steward.whileConfirming(charter, func() error {
			return steward.peers.Install(steward.Address(seat), seat.Identity, snapshot)
		}); failure != nil {
			steward.observe("install_failed", "backup", seat.Name, "cause", failure)
			continue
		}
		won, failure := steward.stand(func(base Charter) (Charter, bool) {
			if base.Primary.Identity != steward.keeper.Seat().Identity {
				return base, false
			}
			base.Primary, base.Backup = steward.keeper.Seat(), seat
			return base, true
		})
		if failure != nil {
			steward.observe("pair_not_granted", "backup", seat.Name, "cause", failure)
			if trouble.KindOf(failure) == trouble.Deposed {
				steward.resign("deposed", won)
			}
			return
		}
		steward.unsettled = false
		steward.BackupAnswered(true)
		steward.store.Thaw(won.Epoch)
		steward.observe("pair_granted", "epoch", won.Epoch, "backup", seat.Name)
		steward.confirm(won)
		return
	}
	if steward.unsettled && steward.keeper.Charter().Primary.Identity == steward.keeper.Seat().Identity {
		// No backup can be had; the epoch is still asked for, so that reads and
		// holds go on from this copy.
		won, failure := steward.stand(func(base Charter) (Charter, bool) {
			if base.Primary.Identity != steward.keeper.Seat().Identity {
				return base, false
			}
			base.Primary = steward.keeper.Seat()
			return base, true
		})
		if trouble.KindOf(failure) == trouble.Deposed {
			steward.resign("deposed", won)
		} else if failure == nil {
			steward.store.Renumber(won.Epoch)
			steward.confirm(won)
		}
	}
}

// whileConfirming does something that may take long, and goes on renewing the
// primary's hold meanwhile.
func (steward *Steward) whileConfirming(charter Charter, act func() error) error {
	var mutex sync.Mutex
	var outcome error
	over := false
	bell := steward.turns.NewBell()
	steward.turns.Go(func() {
		failure := act()
		mutex.Lock()
		outcome, over = failure, true
		mutex.Unlock()
		bell.Ring()
	})
	ended := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return over
	}
	// The act ends by itself, later than any patience of this steward.
	for ends := steward.turns.Now().Add(gatherPatience); !bell.Wait(PrimaryHold/5, ended) && steward.turns.Now().Before(ends); {
		steward.confirm(charter)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if !over {
		return trouble.New(trouble.Unreachable, "the process ends")
	}
	return outcome
}

// beat is the time between two rounds of hellos, at most.
func (steward *Steward) beat() time.Duration { return 800 * time.Millisecond }

func (steward *Steward) backupCandidates(charter Charter, failing bool) []Seat {
	var candidates []Seat
	restricted := map[Identity]bool{}
	rank := func(seat Seat) int {
		switch {
		case restricted[seat.Identity]:
			// It lacks an enabled flag. It keeps drawers that it does not read,
			// byte for byte, which is better than no second disk at all.
			return 4
		case seat.Identity == charter.Backup.Identity && failing:
			return 3
		case seat.Identity == charter.Backup.Identity:
			return 0
		case charter.Keeps(seat.Identity):
			return 1
		}
		return 2
	}
	steward.mutex.Lock()
	for _, known := range steward.known {
		hello := known.hello
		if hello.Kind == roster.Expediter && steward.turns.Now().Sub(known.answered) < backupPatience+steward.beat() {
			if hello.Restricted && !charter.Backup.Empty() && !failing && !steward.unsettled {
				// A backup that is there is not exchanged for a restricted one.
				continue
			}
			restricted[hello.Seat.Identity] = hello.Restricted
			candidates = append(candidates, hello.Seat)
		}
	}
	steward.mutex.Unlock()
	sort.Slice(candidates, func(left, right int) bool {
		if rank(candidates[left]) != rank(candidates[right]) {
			return rank(candidates[left]) < rank(candidates[right])
		}
		return candidates[left].Identity < candidates[right].Identity
	})
	return candidates
}

// handOver makes the backup primary and stays in sync beside it: what a
// primary does that lacks an enabled flag.
func (steward *Steward) handOver(charter Charter) {
	if _, leading := steward.store.Freeze(); !leading {
		return
	}
	// The keepers let go of this primary's hold when they accept the next, so
	// it stops answering first.
	steward.mutex.Lock()
	steward.holdEnds = time.Time{}
	steward.mutex.Unlock()
	won, failure := steward.stand(func(base Charter) (Charter, bool) {
		if base.Primary.Identity != steward.keeper.Seat().Identity || base.Backup.Identity != charter.Backup.Identity {
			return base, false
		}
		base.Primary, base.Backup = base.Backup, Seat{}
		return base, true
	})
	if failure != nil {
		steward.unsettled = true
		return
	}
	steward.resign("handed_over", won)
}

// ensureKeepers exchanges a keeper that is gone for an expediter that is
// there: first both sets must agree, then only the new one.
func (steward *Steward) ensureKeepers() {
	charter := steward.Charter()
	if steward.unsettled || !steward.store.Leading() || charter.Backup.Empty() {
		return
	}
	next := charter
	if len(charter.Incoming) > 0 {
		next.Keepers, next.Incoming = charter.Incoming, nil
	} else {
		incoming, change := steward.exchange(charter)
		if !change {
			return
		}
		next.Incoming = incoming
	}
	won, failure := steward.stand(func(base Charter) (Charter, bool) {
		// Only the charter that this steward has seen granted may be built on.
		return next, base.Epoch == charter.Epoch && base.Primary.Identity == charter.Primary.Identity
	})
	if failure != nil {
		steward.observe("keepers_not_granted", "cause", failure)
		steward.unsettled = true
		return
	}
	steward.store.Thaw(won.Epoch)
	steward.confirm(won)
	steward.observe("keepers_granted", "epoch", won.Epoch, "keepers", won.Keepers, "incoming", won.Incoming)
}

func (steward *Steward) exchange(charter Charter) ([]Seat, bool) {
	var gone Seat
	own := steward.keeper.Seat().Identity
	for _, seat := range charter.Keepers {
		if seat.Identity == own {
			continue
		}
		if _, alive := steward.alive(seat.Identity, keeperPatience); !alive {
			gone = seat
		}
	}
	if gone.Empty() {
		return nil, false
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var newcomer Seat
	if !charter.Keeps(own) {
		// A primary that came as a newcomer itself.
		newcomer = steward.keeper.Seat()
	}
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		hello := known.hello
		if hello.Kind != roster.Expediter || charter.Keeps(hello.Seat.Identity) || steward.turns.Now().Sub(known.answered) > applicantFresh {
			continue
		}
		if newcomer.Empty() || hello.Seat.Address == gone.Address || hello.Seat.Identity < newcomer.Identity {
			newcomer = hello.Seat
		}
	}
	if newcomer.Empty() {
		return nil, false
	}
	var incoming []Seat
	for _, seat := range charter.Keepers {
		if seat.Identity == gone.Identity {
			seat = newcomer
		}
		incoming = append(incoming, seat)
	}
	return incoming, true
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

// Address is where the seat's identity was heard from last.
//
// Example:
//
//	address := steward.Address(charter.Backup)
func (steward *Steward) Address(seat Seat) string {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	if known, found := steward.known[seat.Identity]; found {
		return known.hello.Seat.Address
	}
	return seat.Address
}

// Sees tells whether an expediter at the address was heard a moment ago.
//
// Example:
//
//	running := steward.Sees("127.0.0.1:7102")
func (steward *Steward) Sees(address string) bool {
	if address == steward.keeper.Seat().Address {
		return true
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	for _, known := range steward.known {
		if known.hello.Seat.Address == address && steward.turns.Now().Sub(known.lastSeen) < applicantFresh {
			return true
		}
	}
	return false
}

// OldCopies lists the expediters out of the pair whose copies were older than
// the version when they were heard last.
//
// Example:
//
//	for _, seat := range steward.OldCopies(view.Version) { mend(seat) }
func (steward *Steward) OldCopies(version Version) []Seat {
	charter := steward.Charter()
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	var old []Seat
	for _, identity := range steward.acquaintances() {
		known := steward.known[identity]
		fresh := steward.turns.Now().Sub(known.lastSeen) < applicantFresh
		if fresh && known.hello.Kind == roster.Expediter && !charter.InSync(identity) && known.hello.Version.Before(version) {
			old = append(old, known.hello.Seat)
		}
	}
	return old
}

// acquaintances are the identities that were ever heard, in order, so that the
// same messages lead to the same choices. The caller has the mutex.
func (steward *Steward) acquaintances() []Identity {
	identities := make([]Identity, 0, len(steward.known))
	for identity := range steward.known {
		identities = append(identities, identity)
	}
	sort.Slice(identities, func(left, right int) bool { return identities[left] < identities[right] })
	return identities
}
