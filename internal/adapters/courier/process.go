// Package courier is the data plane's process: the core and the adapters that
// carry its decisions out.
package courier

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/directory"
	"seamloom.example/seamloom/internal/adapters/expediter"
	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/adapters/program"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/stove"
	"seamloom.example/seamloom/internal/adapters/usage"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

// Process is one courier.
type Process struct {
	tomb      tomb.Tomb
	lifetime  context.Context
	logger    *log.Logger
	clock     *wallclock.Clock
	caller    *hotline.Caller
	platform  *directory.Directory
	stove     *stove.Stove
	reports   *stove.Stove
	core      *seamloom.Core
	followed  *follower.Follower
	supported recipe.List
	journal   *journal
	ledger    *usage.Ledger
	passing   *http.Client

	mutex   sync.Mutex
	chosen  settings.Settings
	streams map[string]*stream
	running map[string]context.CancelFunc
	servers []roster.Server
	members map[string]roster.Member
	nodes   []roster.Node
	watched map[string]context.CancelFunc
	listed  time.Time
}

const (
	tickPause     = 20 * time.Millisecond
	platformPause = 400 * time.Millisecond
	loadPause     = 150 * time.Millisecond
	loadPatience  = 700 * time.Millisecond
	crumbsPause   = 250 * time.Millisecond
	neighbours    = 3
)

// Start listens and begins to work.
//
// Example:
//
//	process, failure := courier.Start(chosen, logger, wallclock.New())
func Start(chosen settings.Settings, logger *log.Logger, clock *wallclock.Clock) (*Process, error) {
	supported := chosen.Supported()
	process := &Process{logger: logger, clock: clock, chosen: chosen, supported: supported,
		caller: hotline.NewCaller(chosen.Detours), platform: directory.New(hotline.Transport(chosen.Detours)),
		stove: stove.New(hotline.Transport(chosen.Detours)), reports: stove.New(hotline.Transport(chosen.Detours)),
		core: seamloom.New(seamloom.Options{Courier: chosen.Name, District: chosen.District, MostInquiries: chosen.MostInquiries,
			Supported: supported, LeastLoaded: chosen.Market == "least_loaded"}),
		passing: &http.Client{Transport: hotline.Transport(chosen.Detours)}, journal: newJournal(), ledger: usage.NewLedger(), streams: map[string]*stream{}, running: map[string]context.CancelFunc{},
		members: map[string]roster.Member{}, watched: map[string]context.CancelFunc{}}
	process.lifetime = process.tomb.Context(context.Background())
	member := roster.Member{Name: chosen.Name, Kind: roster.Courier, Address: chosen.Address, District: chosen.District, Supported: supported}
	process.followed = follower.New(process.caller, process.clock, member, chosen.Seeds, process.inForce, process.takeNews)
	if failure := program.Serve(&process.tomb, chosen.Address, process.mux()); failure != nil {
		return nil, failure
	}
	program.Every(&process.tomb, platformPause, process.readPlatform)
	program.Every(&process.tomb, tickPause, func() { process.apply(pass.Event{Kind: pass.Ticked}) })
	program.Every(&process.tomb, crumbsPause, process.dropCrumbs)
	process.tomb.Go(func() error { process.followed.Run(process.lifetime); return nil })
	logger.Info("listening", "address", chosen.Address, "supported", supported)
	return process, nil
}

// Drain stops letting in, waits for what runs until the patience ends, and
// ends the process.
//
// Example:
//
//	failure := process.Drain(10 * time.Second)
func (process *Process) Drain(patience time.Duration) error {
	process.apply(pass.Event{Kind: pass.DrainStarted})
	process.logger.Info("draining", "in_flight", process.core.InFlight())
	ends := process.clock.Now().Add(patience)
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for process.core.InFlight() > 0 && process.clock.Now().Before(ends) {
		<-ticker.C
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
	process.followed.SetSeeds(seeds)
	if parsed, failure := log.ParseLevel(level); failure == nil {
		process.logger.SetLevel(parsed)
	}
	process.logger.Info("reloaded", "needs_restart", stays)
}

func (process *Process) inForce() larder.Version {
	epoch, number := process.core.InForce()
	return larder.Version{Epoch: epoch, Number: number}
}

// apply feeds one event to the core and carries its decisions out.
func (process *Process) apply(event pass.Event) {
	if event.At.IsZero() {
		event.At = process.clock.Now()
	}
	for _, decision := range process.core.Apply(event) {
		process.carryOut(decision)
	}
}

// takeNews puts a configuration in force before it uses the hold that
// confirms it.
func (process *Process) takeNews(news follower.News) {
	if drawer, found := news.Changed[larder.MenuDrawer]; found {
		process.apply(pass.Event{Kind: pass.MenuReceived, Menu: drawer.Content, Epoch: drawer.Version.Epoch, Number: drawer.Version.Number})
		process.logger.Info("configuration_in_force", "version", drawer.Version.String())
	}
	state, failure := larder.ReadState(news.Changed)
	if failure != nil {
		process.logger.Error("news_unreadable", "cause", failure)
		return
	}
	if _, found := news.Changed[larder.FlagsDrawer]; found {
		process.apply(pass.Event{Kind: pass.FlagsRead, Enabled: state.Flags.Enabled})
		process.logger.Info("flags_read", "enabled", state.Flags.Enabled, "restricted", process.core.Restricted())
	}
	if _, found := news.Changed[larder.OrdersDrawer]; found {
		process.apply(pass.Event{Kind: pass.OrdersRead, Orders: process.core.ReadOrders(state.Orders.Records)})
	}
	if _, found := news.Changed[larder.MembersDrawer]; found {
		process.mutex.Lock()
		process.members = state.Members
		process.mutex.Unlock()
		couriers := uint64(0)
		for _, member := range state.Members {
			if member.Kind == roster.Courier {
				couriers++
			}
		}
		process.apply(pass.Event{Kind: pass.CouriersCounted, Number: couriers})
		process.setNeighbours()
	}
	if news.Answer.Hold > 0 {
		process.apply(pass.Event{Kind: pass.HoldRenewed, HoldEnds: news.Asked.Add(news.Answer.Hold), Epoch: news.Answer.Menu.Epoch,
			Number: news.Answer.Menu.Number, Duties: news.Answer.Duties})
	}
}

// setNeighbours names the few others that this courier knows: by rendezvous
// hashing over the recorded couriers.
func (process *Process) setNeighbours() {
	process.mutex.Lock()
	var contacts []string
	for _, node := range process.nodes {
		if node.Kind == roster.Expediter {
			contacts = append(contacts, node.Address)
		}
	}
	for _, member := range process.members {
		if member.Kind == roster.Expediter && !slices.Contains(contacts, member.Address) {
			contacts = append(contacts, member.Address)
		}
	}
	process.mutex.Unlock()
	var addresses []string
	for _, member := range process.neighbours() {
		addresses = append(addresses, member.Address)
	}
	process.followed.SetContacts(contacts, addresses)
}

func (process *Process) neighbours() []roster.Member {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	var names []string
	for name, member := range process.members {
		if member.Kind == roster.Courier {
			names = append(names, name)
		}
	}
	var members []roster.Member
	for _, name := range roster.Neighbours(process.chosen.Name, names, neighbours) {
		members = append(members, process.members[name])
	}
	return members
}

func (process *Process) readPlatform() {
	process.mutex.Lock()
	address := process.chosen.Platform
	process.mutex.Unlock()
	servers, failure := process.platform.Servers(process.lifetime, address)
	if failure != nil {
		process.logger.Debug("platform_unreachable", "cause", failure)
		return
	}
	process.apply(pass.Event{Kind: pass.ServersListed, Servers: servers})
	if nodes, failure := process.platform.Nodes(process.lifetime, address); failure == nil {
		process.mutex.Lock()
		process.nodes = nodes
		process.mutex.Unlock()
		process.setNeighbours()
	}
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.servers, process.listed = servers, process.clock.Now()
	current := map[string]bool{}
	for _, server := range servers {
		key := server.Name + "@" + server.Address
		current[key] = true
		if _, found := process.watched[key]; !found {
			lifetime, end := context.WithCancel(process.lifetime)
			process.watched[key] = end
			process.tomb.Go(func() error { process.watchLoad(lifetime, server); return nil })
		}
	}
	for key, end := range process.watched {
		if !current[key] {
			end()
			delete(process.watched, key)
		}
	}
}

// watchLoad reads one server's pressure until the platform lists it no more.
func (process *Process) watchLoad(lifetime context.Context, server roster.Server) {
	ticker := time.NewTicker(loadPause)
	defer ticker.Stop()
	for {
		asking, end := context.WithTimeout(lifetime, loadPatience)
		load, failure := process.reports.Load(asking, server.Address)
		end()
		if failure == nil && load.Server == server.Name {
			process.apply(pass.Event{Kind: pass.LoadReported, Load: &load})
		}
		select {
		case <-lifetime.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropCrumbs gives the newest records to a neighbour, which can tell of them
// when this courier is gone.
func (process *Process) dropCrumbs() {
	records := process.journal.takeOutbox()
	if len(records) == 0 {
		return
	}
	for _, member := range process.neighbours() {
		var answer bool
		if process.caller.Call(process.lifetime, member.Address, follower.CrumbsPath, records, &answer, time.Second) == nil {
			return
		}
	}
}

// claim asks the primary for an inquiry's id until it is answered or the limit
// comes. Asking again is safe: the nonce tells this courier's own claim.
func (process *Process) claim(decision pass.Decision) {
	made, failure := madeAt(decision.ID)
	event := pass.Event{Kind: pass.ClaimAnswered, ID: decision.ID, Outcome: pass.NotStarted}
	if failure != nil {
		process.apply(event)
		return
	}
	question := expediter.ClaimQuestion{Made: made, Entry: recipe.Entry{Inquiry: decision.ID, Courier: process.chosen.Name, Run: 1,
		At: process.clock.Wall(), Cause: uuid.NewString()}}
	// Without a hold there would be no dispatch: then the caller is told at once
	// that the inquiry never ran, and when to come back.
	for process.lifetime.Err() == nil && process.clock.Now().Before(decision.NotAfter) && process.clock.Now().Before(process.core.HoldEnds()) {
		var answer expediter.LedAnswer
		failure := process.followed.Ask(process.lifetime, follower.ClaimPath, question, &answer, time.Second)
		switch kind := trouble.KindOf(failure); {
		case failure == nil && answer.Leads:
			event.Outcome = pass.Done
		case kind == trouble.Duplicate:
			event.Outcome, event.Detail = pass.Duplicate, failure.Error()
		case kind == trouble.TooOld || kind == trouble.TooNew:
			event.Outcome, event.Detail = pass.TooOld, failure.Error()
		default:
			pause := time.NewTimer(60 * time.Millisecond)
			select {
			case <-pause.C:
			case <-process.lifetime.Done():
			}
			pause.Stop()
			continue
		}
		break
	}
	process.apply(event)
}
