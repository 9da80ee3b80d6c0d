// Package controller runs a controller, the process of the control plane. It connects the logic
// of package controlplane to the disk, to other processes and to operators. On a machine without
// a disk it runs a redirector instead.
package controller

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/discovery"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/ports"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// Process is one controller.
type Process struct {
	tomb          tomb.Tomb
	ctx           context.Context
	logger        *log.Logger
	clock         *osruntime.Clock
	controller    *controlplane.Controller
	forwardClient *http.Client

	mutex    sync.Mutex
	settings settings.Settings
}

// Ports are the interfaces by which a controller is adapted to a platform. If Directory is nil, the controller
// reads the lists of servers and nodes with seamloom's own protocol. If Reports is nil, a primary does not read
// the servers' loads for the routers.
type Ports struct {
	Directory ports.Directory
	Reports   ports.LoadReporter
}

// Start starts a controller: it opens the stored data, listens on its address and runs the controller's loops.
func Start(
	nodeSettings settings.Settings,
	logger *log.Logger,
	disk storage.Disk,
	clock *osruntime.Clock,
	platformPorts Ports,
) (*Process, error) {
	process := &Process{logger: logger, clock: clock, settings: nodeSettings,
		forwardClient: rpc.NewClient(rpc.Transport(nodeSettings.Detours))}
	process.forwardClient.Timeout = forwardTimeout
	process.ctx = process.tomb.Context(context.Background())
	process.adoptEarlierData(disk)
	witnessStorage, err := storage.OpenDirectory(disk, filepath.Join(nodeSettings.DataFolder, witnessFolder))
	if err != nil {
		return nil, err
	}
	replicaStorage, err := storage.OpenDirectory(disk, filepath.Join(nodeSettings.DataFolder, replicaFolder))
	if err != nil {
		return nil, err
	}
	if platformPorts.Directory == nil {
		platformPorts.Directory = discovery.New(rpc.Transport(nodeSettings.Detours))
	}
	options := process.options(platformPorts.Directory)
	if platformPorts.Reports != nil {
		options.LoadReader = ports.LoadReader{Reports: platformPorts.Reports, Context: process.ctx}
	}
	client := rpc.Client{Caller: rpc.NewCaller(nodeSettings.Detours), Context: process.ctx}
	rt := osruntime.New(process.ctx, clock)
	controlPlane, blank, err := controlplane.Open(rt, client, witnessStorage, replicaStorage, options, process.observe)
	if err != nil {
		return nil, err
	}
	process.controller = controlPlane
	if err := daemon.Serve(&process.tomb, nodeSettings.Address, process.mux(), clock.Now); err != nil {
		return nil, err
	}
	for _, loop := range controlPlane.Loops() {
		process.tomb.Go(func() error { loop(); return nil })
	}
	logger.Info("listening", "address", nodeSettings.Address,
		"identity", string(controlPlane.Witness().Replica().Identity), "blank", blank)
	return process, nil
}

// options returns the options of the control plane for the process's settings.
func (p *Process) options(directory ports.Directory) controlplane.Options {
	nodeSettings := p.settings
	return controlplane.Options{
		Name:            nodeSettings.Name,
		Address:         nodeSettings.Address,
		Zone:            nodeSettings.Zone,
		Seeds:           nodeSettings.Seeds,
		Neighbours:      nodeSettings.Neighbours,
		Supported:       nodeSettings.Supported(),
		FlagStableTime:  time.Duration(nodeSettings.FlagSettleMilliseconds) * time.Millisecond,
		ToleratedLosses: nodeSettings.ToleratedLosses,
		CatchUp:         nodeSettings.CatchUp,
		JoinsOnly:       !nodeSettings.Bootstrap,
		NewIdentity:     replication.Identity(uuid.NewString()),
		RetireAfter:     nodeSettings.RetireAfter,
		AcknowledgeWait: nodeSettings.AcknowledgeWait,
		Directory:       ports.ProcessDirectory{Directory: directory, Context: p.ctx, Address: p.platformAddress},
	}
}

// adoptEarlierData moves the data of an earlier release into the data folder and logs the result. After an
// error the controller starts with its own data folder, even an empty one: a controller without data can join
// the core.
func (p *Process) adoptEarlierData(disk storage.Disk) {
	from, err := adoptEarlierData(disk, p.settings.DataFolder, p.settings.EarlierDataFolders)
	if err != nil {
		p.logger.Error("earlier_data_not_adopted", "type", string(failure.CodeOf(err)), "cause", err)
	} else if from != "" {
		p.logger.Info("earlier_data_adopted", "from", from, "to", p.settings.DataFolder)
	}
}

// mux returns the handler for the requests of other processes and of operators.
func (p *Process) mux() http.Handler {
	mux := goji.NewMux()
	for path, handler := range p.controller.Handlers() {
		mux.Handle(pat.Post(path), rpc.Handler(handler))
	}
	p.operatorRoutes(mux)
	return mux
}

// Controller returns the control plane's controller, for handlers on additional addresses.
func (p *Process) Controller() *controlplane.Controller { return p.controller }

// platformAddress returns the address, in the current settings, of the platform that provides the lists of
// servers and nodes.
func (p *Process) platformAddress() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.settings.Platform
}

// observe logs an event of the control plane.
func (p *Process) observe(event string, detail ...any) { p.logger.Info(event, detail...) }

// stopMargin is the part of the grace period that Stop reserves for terminating the process. Stop reserves at
// most half of the grace period.
const stopMargin = 1500 * time.Millisecond

// Stop transfers this controller's leadership, replica and membership as a witness to other controllers.
// The process continues to serve until these transfers are done or the grace period is nearly over; Stop then
// terminates it. The outcome of changes that have no response by then is unknown.
func (p *Process) Stop() error {
	p.mutex.Lock()
	grace := p.settings.Grace
	p.mutex.Unlock()
	p.controller.Leave(max(grace-stopMargin, grace/2))
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Dead returns a channel that is closed when the controller has ended, whether or not Stop was called.
func (p *Process) Dead() <-chan struct{} { return p.tomb.Dead() }

// Reload applies the settings that can change while the process runs, and logs which other changes need a restart.
func (p *Process) Reload(next settings.Settings) {
	p.mutex.Lock()
	needRestart := p.settings.Reload(next)
	seeds, level, acknowledgeWait := p.settings.Seeds, p.settings.LogLevel, p.settings.AcknowledgeWait
	p.mutex.Unlock()
	p.controller.SetSeeds(seeds)
	p.controller.SetAcknowledgeWait(acknowledgeWait)
	if parsed, err := log.ParseLevel(level); err == nil {
		p.logger.SetLevel(parsed)
	}
	p.logger.Info("reloaded", "needs_restart", needRestart)
}
