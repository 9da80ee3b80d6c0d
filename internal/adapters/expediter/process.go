// Package expediter is the control plane's process: the larder's copy and the
// epoch keeper on its disk, and, while it is primary, the answers to nodes and
// operators.
package expediter

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/directory"
	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/adapters/pantry"
	"seamloom.example/seamloom/internal/adapters/program"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
)

// Process is one expediter.
type Process struct {
	newsAnswers     atomic.Uint64
	newsBytes       atomic.Uint64
	menusSent       atomic.Uint64
	tomb            tomb.Tomb
	lifetime        context.Context
	logger          *log.Logger
	clock           *wallclock.Clock
	caller          *hotline.Caller
	platform        *directory.Directory
	keeper          *larder.Keeper
	store           *larder.Store
	steward         *larder.Steward
	followed        *follower.Follower
	supported       recipe.List
	news            *bell
	work            *bell
	confirmed       *bell
	operatorsClient *http.Client

	mutex   sync.Mutex
	chosen  settings.Settings
	reign   *reign
	servers []roster.Server
	mending bool
	enabled recipe.List
}

// reign is what a primary remembers for as long as it is primary.
type reign struct {
	since       time.Time
	holds       *rota.Holds
	keys        *rota.Keys
	membersAt   larder.Version
	settledFrom time.Time
	horizonAt   time.Time
	state       *larder.State
	stateAt     larder.Version
}

// Start opens the disk, listens and begins to work.
//
// Example:
//
//	process, failure := expediter.Start(chosen, logger, pantry.RealDisk{}, wallclock.New())
func Start(chosen settings.Settings, logger *log.Logger, disk pantry.Disk, clock *wallclock.Clock) (*Process, error) {
	process := &Process{logger: logger, clock: clock, chosen: chosen, supported: chosen.Supported(),
		caller: hotline.NewCaller(chosen.Detours), platform: directory.New(hotline.Transport(chosen.Detours)),
		news: newBell(), work: newBell(), confirmed: newBell(),
		operatorsClient: &http.Client{Transport: hotline.Transport(chosen.Detours), Timeout: forwardPatience}}
	process.lifetime = process.tomb.Context(context.Background())
	keeperFolder, failure := pantry.OpenFolder(disk, filepath.Join(chosen.DataFolder, "keeper"))
	if failure != nil {
		return nil, failure
	}
	larderFolder, failure := pantry.OpenFolder(disk, filepath.Join(chosen.DataFolder, "larder"))
	if failure != nil {
		return nil, failure
	}
	seat := larder.Seat{Address: chosen.Address, Name: chosen.Name}
	keeper, blank, failure := larder.OpenKeeper(process.clock.Now(), keeperFolder, seat, larder.Identity(uuid.NewString()))
	if failure != nil {
		return nil, failure
	}
	if blank {
		// Whatever copy lies here belonged to an identity that is gone.
		if failure := empty(larderFolder); failure != nil {
			return nil, failure
		}
	}
	copied, failure := larder.OpenCopy(larderFolder)
	if failure != nil {
		return nil, failure
	}
	if damage := copied.Damage(); damage != "" {
		logger.Error("copy_damaged", "damage", damage)
	}
	process.keeper = keeper
	process.store = larder.NewStore(copied, keeper)
	process.steward = larder.NewSteward(process.clock.Now, chosen.Seeds, keeper, process.store,
		&peers{lifetime: process.lifetime, caller: process.caller}, process.observe)
	member := roster.Member{Name: chosen.Name, Kind: roster.Expediter, Address: chosen.Address, District: chosen.District, Supported: process.supported}
	process.followed = follower.New(process.caller, process.clock, member, chosen.Seeds, func() larder.Version { return larder.Version{} }, process.takeNews)
	if failure := program.Serve(&process.tomb, chosen.Address, process.mux()); failure != nil {
		return nil, failure
	}
	program.Every(&process.tomb, 150*time.Millisecond, process.tick)
	program.Every(&process.tomb, 300*time.Millisecond, process.housekeeping)
	program.Every(&process.tomb, 500*time.Millisecond, process.readPlatform)
	program.Every(&process.tomb, sweepPause, process.sweep)
	process.tomb.Go(process.commit)
	process.tomb.Go(func() error { process.followed.Run(process.lifetime); return nil })
	logger.Info("listening", "address", chosen.Address, "identity", string(keeper.Seat().Identity), "blank", blank)
	return process, nil
}

func empty(folder *pantry.Folder) error {
	files, damaged, failure := folder.Load()
	if failure != nil {
		return failure
	}
	for name := range files {
		damaged = append(damaged, name)
	}
	return folder.Remove(damaged)
}

func (process *Process) observe(event string, detail ...any) { process.logger.Info(event, detail...) }

// Stop hands over, if this is the primary, and ends the process. What was not
// answered yet has no known outcome.
//
// Example:
//
//	failure := process.Stop()
func (process *Process) Stop() error {
	process.steward.Leave()
	ends := time.NewTimer(leavePatience)
	defer ends.Stop()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for waiting := process.store.Leading(); waiting; {
		select {
		case <-look.C:
			waiting = process.store.Leading()
		case <-ends.C:
			waiting = false
		}
	}
	process.tomb.Kill(nil)
	return process.tomb.Wait()
}

// Dead is closed when the process has ended by itself.
//
// Example:
//
//	<-process.Dead()
func (process *Process) Dead() <-chan struct{} { return process.tomb.Dead() }

// Reload takes settings that may change while the process runs.
//
// Example:
//
//	process.Reload(next)
func (process *Process) Reload(next settings.Settings) {
	process.mutex.Lock()
	stays := process.chosen.Reload(next)
	seeds, level := process.chosen.Seeds, process.chosen.LogLevel
	process.mutex.Unlock()
	process.steward.SetSeeds(seeds)
	process.followed.SetSeeds(seeds)
	if parsed, failure := log.ParseLevel(level); failure == nil {
		process.logger.SetLevel(parsed)
	}
	process.logger.Info("reloaded", "needs_restart", stays)
}

func (process *Process) tick() {
	process.steward.Tick()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	leading := process.store.Leading()
	if leading && process.reign == nil {
		now := process.clock.Now()
		process.reign = &reign{since: now, holds: rota.NewHolds(rota.DefaultTerms(), now), keys: rota.NewKeys(rota.DefaultTerms()), settledFrom: now}
	}
	if !leading && process.reign != nil {
		process.reign = nil
		process.news.ring()
	}
}

// ruling gives the reign and the committed view if this process is primary at
// this moment.
func (process *Process) ruling() (*reign, *larder.View, error) {
	process.mutex.Lock()
	current := process.reign
	process.mutex.Unlock()
	view := process.store.View()
	if current == nil || view == nil || !process.steward.Holds() {
		return nil, nil, trouble.New(trouble.NoPrimary, "this expediter is not primary")
	}
	return current, view, nil
}

// state is the committed state, decoded once for each version.
func (process *Process) state(current *reign, view *larder.View) (*larder.State, error) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if current.state != nil && current.stateAt == view.Version {
		return current.state, nil
	}
	// Claims are many and asked for nowhere but in their own changes.
	drawers := map[string]larder.Drawer{}
	for _, name := range []string{larder.MenuDrawer, larder.MembersDrawer, larder.FlagsDrawer, larder.RotaDrawer, larder.OrdersDrawer, larder.ChangesDrawer} {
		if drawer, found := view.Drawers[name]; found {
			drawers[name] = drawer
		}
	}
	state, failure := larder.ReadState(drawers)
	if failure != nil {
		return nil, failure
	}
	current.state, current.stateAt = state, view.Version
	return state, nil
}

// commit syncs batches on both copies, one after another.
func (process *Process) commit() error {
	for {
		woken := process.work.wait()
		if process.commitOne() {
			continue
		}
		pause := time.NewTimer(100 * time.Millisecond)
		select {
		case <-process.tomb.Dying():
			pause.Stop()
			return nil
		case <-woken:
		case <-pause.C:
		}
		pause.Stop()
	}
}

func (process *Process) commitOne() bool {
	charter := process.steward.Charter()
	if charter.Backup.Empty() || !process.steward.Holds() {
		return false
	}
	batch, found := process.store.Begin()
	if !found || batch.Version.Epoch != charter.Epoch {
		return false
	}
	if !batch.Empty() {
		owned := make(chan error, 1)
		go func() {
			process.steward.OwnDisk(true)
			failure := process.store.KeepOwn(batch)
			process.steward.OwnDisk(failure != nil)
			owned <- failure
		}()
		backupFailure := (&peers{lifetime: process.lifetime, caller: process.caller}).Replicate(
			process.steward.Address(charter.Backup), charter.Backup.Identity, charter.Epoch, batch)
		process.steward.BackupAnswered(backupFailure == nil)
		ownFailure := <-owned
		if backupFailure != nil || ownFailure != nil {
			process.logger.Warn("write_not_synced", "version", batch.Version.String(), "backup", backupFailure, "own", ownFailure)
			return false
		}
	}
	if !process.store.Commit(batch) {
		return false
	}
	if !batch.Empty() {
		process.news.ring()
	}
	return true
}

type outcome struct {
	version larder.Version
	failure error
}

// submit waits until a change is synced on both copies. When that can't be
// known in time the outcome is called unknown.
func (process *Process) submit(lifetime context.Context, change larder.Change, patience time.Duration) (larder.Version, error) {
	answered := make(chan outcome, 1)
	process.store.Submit(change, func(version larder.Version, failure error) { answered <- outcome{version, failure} })
	process.work.ring()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case ended := <-answered:
		if ended.failure != nil {
			return ended.version, ended.failure
		}
		if !process.steward.Holds() {
			return ended.version, trouble.New(trouble.Unknown, "the hold ran out while the change was under way")
		}
		return ended.version, nil
	case <-timer.C:
	case <-lifetime.Done():
	case <-process.tomb.Dying():
	}
	return larder.Version{}, trouble.New(trouble.Unknown, "the change was not synced on both copies in time")
}

// housekeeping does what a primary does without being asked: enable flags,
// give duties, forget old claims.
func (process *Process) housekeeping() {
	current, view, failure := process.ruling()
	if failure != nil {
		return
	}
	state, failure := process.state(current, view)
	if failure != nil {
		process.logger.Error("state_unreadable", "cause", failure)
		return
	}
	now := process.clock.Now()
	process.mutex.Lock()
	if version := view.VersionOf(larder.MembersDrawer); version != current.membersAt {
		current.membersAt, current.settledFrom = version, now
	}
	settled := now.Sub(current.settledFrom) >= time.Duration(process.chosen.FlagSettle)*time.Millisecond
	horizonDue := now.Sub(current.horizonAt) >= horizonPause
	step := 2 * now.Sub(current.horizonAt)
	if current.horizonAt.IsZero() {
		step = 0
	}
	if horizonDue {
		current.horizonAt = now
	}
	process.mutex.Unlock()
	restricted := len(process.supported.Lacks(state.Flags.Enabled)) > 0
	if settled && !restricted && len(state.Members) > 0 {
		for _, flag := range process.supported {
			if !state.Flags.Enabled.Has(flag) && len(state.Lacking(flag)) == 0 {
				process.store.Submit(larder.EnableFlags(process.supported), func(version larder.Version, failure error) {
					process.logger.Info("flags_enabled", "version", version.String(), "trouble", failure)
				})
				process.work.ring()
				break
			}
		}
	}
	if horizonDue && !restricted {
		process.store.Submit(larder.MoveHorizon(process.clock.Wall(), step), func(larder.Version, error) {})
		process.work.ring()
	}
	process.grantDuties(now, current, state)
}

func (process *Process) grantDuties(now time.Time, current *reign, state *larder.State) {
	process.mutex.Lock()
	wanted := []string{rota.PartsKey}
	for _, server := range process.servers {
		wanted = append(wanted, rota.ServerKey(server.Name))
	}
	process.mutex.Unlock()
	grants := current.keys.Vacant(now, wanted, state.Rota.Duties, candidates(now, current, state))
	if len(grants) == 0 {
		return
	}
	process.store.Submit(larder.GrantDuties(grants, state.Rota.Duties), func(version larder.Version, failure error) {
		process.logger.Info("duties_granted", "version", version.String(), "grants", grants, "trouble", failure)
	})
	process.work.ring()
}

// candidates are the live couriers that lack no enabled flag, with how long
// each has been live.
func candidates(now time.Time, current *reign, state *larder.State) map[string]time.Duration {
	live := current.holds.Live(now)
	for name := range live {
		member, found := state.Members[name]
		if !found || member.Kind != roster.Courier || member.Restricted(state.Flags.Enabled) {
			delete(live, name)
		}
	}
	return live
}

func (process *Process) readPlatform() {
	process.mutex.Lock()
	address := process.chosen.Platform
	process.mutex.Unlock()
	if servers, failure := process.platform.Servers(process.lifetime, address); failure == nil {
		process.mutex.Lock()
		process.servers = servers
		process.mutex.Unlock()
	}
	nodes, failure := process.platform.Nodes(process.lifetime, address)
	if failure != nil {
		return
	}
	var contacts []string
	for _, node := range nodes {
		if node.Kind == roster.Expediter && node.Address != process.keeper.Seat().Address {
			contacts = append(contacts, node.Address)
		}
	}
	process.steward.SetContacts(contacts)
	process.followed.SetContacts(contacts, nil)
}

// takeNews follows the enabled set as every node does.
func (process *Process) takeNews(news follower.News) {
	drawer, found := news.Changed[larder.FlagsDrawer]
	if !found {
		return
	}
	state, failure := larder.ReadState(map[string]larder.Drawer{larder.FlagsDrawer: drawer})
	if failure != nil {
		process.logger.Error("flags_unreadable", "cause", failure)
		return
	}
	lacking := process.supported.Lacks(state.Flags.Enabled)
	process.steward.SetRestricted(len(lacking) > 0)
	process.mutex.Lock()
	process.enabled = state.Flags.Enabled
	process.mutex.Unlock()
	process.logger.Info("flags_read", "enabled", state.Flags.Enabled, "lacking", lacking)
}

// leavePatience is how long a primary tries to hand over before it ends.
const leavePatience = 1500 * time.Millisecond

// horizonPause is the time between two moves of the claims' horizon.
const horizonPause = 10 * time.Second

// sweepPause is the time between two sweeps.
const sweepPause = 5 * time.Second

// sweep reads the own files again, and finds the copies that no read has
// mended.
func (process *Process) sweep() {
	if mended, failure := process.store.Copy().Sweep(); mended > 0 || failure != nil {
		process.logger.Warn("copy_swept", "mended", mended, "trouble", failure)
	}
	if mended, failure := process.keeper.Sweep(); mended || failure != nil {
		process.logger.Warn("keeper_swept", "mended", mended, "trouble", failure)
	}
	if _, view, failure := process.ruling(); failure == nil {
		process.mendCopies(view)
	}
}

// mendCopies brings the copies up to date that are out of the pair and old:
// after a read, which compares their versions with what it reads, and by the
// sweep. One round runs at a time.
func (process *Process) mendCopies(view *larder.View) {
	process.mutex.Lock()
	busy := process.mending
	process.mending = true
	process.mutex.Unlock()
	if busy {
		return
	}
	defer func() {
		process.mutex.Lock()
		process.mending = false
		process.mutex.Unlock()
	}()
	epoch := process.steward.Charter().Epoch
	for _, seat := range process.steward.OldCopies(view.Version) {
		question := installQuestion{To: seat.Identity, Snapshot: larder.Snapshot{Epoch: epoch, Version: view.Version, Drawers: view.Drawers}}
		failure := process.caller.Call(process.lifetime, process.steward.Address(seat), refreshPath, question, nil, installPatience)
		process.logger.Debug("copy_mended", "at", seat.Name, "version", view.Version.String(), "trouble", failure)
	}
}
