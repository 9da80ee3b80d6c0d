// Package courier is the data plane's process: its conduct and the adapters
// that carry it out.
package courier

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"net/http"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/directory"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/adapters/program"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/stove"
	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/adapters/usage"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
)

// Process is one courier.
type Process struct {
	tomb      tomb.Tomb
	lifetime  context.Context
	logger    *log.Logger
	clock     *wallclock.Clock
	platform  *directory.Directory
	reports   *stove.Stove
	conduct   *hatch.Courier
	supported recipe.List
	ledger    *usage.Ledger

	mutex   sync.Mutex
	chosen  settings.Settings
	servers []roster.Server
	watched map[string]context.CancelFunc
}

const (
	tickPause     = 20 * time.Millisecond
	platformPause = 400 * time.Millisecond
	loadPause     = 150 * time.Millisecond
	loadPatience  = 700 * time.Millisecond
)

// Start listens and begins to work.
//
// Example:
//
//	process, failure := courier.Start(chosen, logger, wallclock.New())
func Start(chosen settings.Settings, logger *log.Logger, clock *wallclock.Clock) (*Process, error) {
	supported := chosen.Supported()
	process := &Process{logger: logger, clock: clock, chosen: chosen, supported: supported, platform: directory.New(hotline.Transport(chosen.Detours)),
		ledger: usage.NewLedger(), watched: map[string]context.CancelFunc{}}
	process.lifetime = process.tomb.Context(context.Background())
	turns := threads.New(process.lifetime, clock)
	process.reports = stove.New(process.lifetime, turns, hotline.Transport(chosen.Detours))
	options := hatch.CourierOptions{Options: seamloom.Options{Courier: chosen.Name, District: chosen.District, MostInquiries: chosen.MostInquiries,
		Supported: supported, LeastLoaded: chosen.Market == "least_loaded"}, Address: chosen.Address, Seeds: chosen.Seeds, Nonce: uuid.NewString, Ended: process.noteEnd}
	process.conduct = hatch.NewCourier(turns, hotline.Line{Caller: hotline.NewCaller(chosen.Detours), Lifetime: process.lifetime},
		stove.New(process.lifetime, turns, hotline.Transport(chosen.Detours)),
		&passing{client: &http.Client{Transport: hotline.Transport(chosen.Detours)}, lifetime: process.lifetime}, options, process.observe)
	if failure := program.Serve(&process.tomb, chosen.Address, process.mux()); failure != nil {
		return nil, failure
	}
	program.Every(&process.tomb, platformPause, process.readPlatform)
	for _, round := range process.conduct.Rounds() {
		process.tomb.Go(func() error { round(); return nil })
	}
	logger.Info("listening", "address", chosen.Address, "supported", supported)
	return process, nil
}

func (process *Process) observe(event string, detail ...any) { process.logger.Info(event, detail...) }

// noteEnd counts an inquiry's use.
func (process *Process) noteEnd(inquiry *pass.Inquiry, decision pass.Decision) {
	process.ledger.Note(process.clock.Wall(), usage.Row{Courier: process.chosen.Name, Service: inquiry.Service, Origin: inquiry.Origin,
		Final: string(decision.Final), PromptTokens: int64(inquiry.PromptTokens), Pieces: int64(decision.Pieces)})
}

// Drain stops letting in, waits for what runs until the patience ends, and
// ends the process.
//
// Example:
//
//	failure := process.Drain(10 * time.Second)
func (process *Process) Drain(patience time.Duration) error {
	process.conduct.Apply(pass.Event{Kind: pass.DrainStarted})
	process.logger.Info("draining", "in_flight", process.conduct.Core().InFlight())
	ends := process.clock.Now().Add(patience)
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for process.conduct.Core().InFlight() > 0 && process.clock.Now().Before(ends) {
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
	process.conduct.SetSeeds(seeds)
	if parsed, failure := log.ParseLevel(level); failure == nil {
		process.logger.SetLevel(parsed)
	}
	process.logger.Info("reloaded", "needs_restart", stays)
}

// Grace is how long what runs may go on after the process was told to end.
//
// Example:
//
//	failure := process.Drain(process.Grace())
func (process *Process) Grace() time.Duration {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.chosen.Grace
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
	process.conduct.Apply(pass.Event{Kind: pass.ServersListed, Servers: servers})
	if nodes, failure := process.platform.Nodes(process.lifetime, address); failure == nil {
		process.conduct.SetNodes(nodes)
	}
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.servers = servers
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
			process.conduct.Apply(pass.Event{Kind: pass.LoadReported, Load: &load})
		}
		select {
		case <-lifetime.Done():
			return
		case <-ticker.C:
		}
	}
}
