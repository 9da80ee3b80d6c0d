package replay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Machine is one machine of the deployment, and the processes on it.
type Machine struct {
	Name string
	Zone string
	IP   string
	// Core means that the machine has a disk and serves the control plane.
	Core bool

	day       *Day
	roles     []Role
	processes []*process
	folder    string

	mutex sync.Mutex
	seeds []string
	// bootstrap is true from the first start of the whole system until the machine is restarted or
	// gets other seeds.
	bootstrap bool
	// listedAt and unlistedAt are when the machine was added to the operators' list and removed from it.
	listedAt, unlistedAt time.Time
	removed              bool
}

// serves reports whether a role of the machine serves a function, such as "edge" or "control", to
// callers outside.
func (m *Machine) serves(function string) bool {
	for _, role := range m.roles {
		if role.hasFunction(function) {
			return true
		}
	}
	return false
}

// target returns the addresses for clients and readiness probes.
func (m *Machine) target() target {
	p := m.day.ports
	return target{machine: m.Name, zone: m.Zone, frontAddress: m.IP + ":" + p.front, readinessAddress: m.IP + ":" + p.ready}
}

// controlAddress returns the address of the control plane on the machine.
func (m *Machine) controlAddress() string { return m.IP + ":" + m.day.ports.control }

// settings returns the settings of the process of a role.
func (m *Machine) settings(role Role) map[string]any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	site, addresses := m.day.Site, map[string]any{}
	if role.hasFunction("edge") {
		t := m.target()
		addresses["frontHttp"], addresses["readiness"] = t.frontAddress, t.readinessAddress
	}
	if role.hasFunction("control") {
		addresses["controlPlane"] = m.controlAddress()
	}
	zones := map[string]string{}
	for _, zone := range site.Zones {
		zones[zone] = site.Region
	}
	limits := map[string]any{"cpuFraction": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0}
	page := map[string]any{
		"nodeName": m.Name, "role": role.Name, "machineClass": role.On, "serves": role.Serves, "ip": m.IP, "zone": m.Zone, "region": site.Region,
		"zones": zones, "bindAddrs": addresses, "portRange": m.day.ports.free, "seedNodes": m.seeds, "bootstrap": m.bootstrap,
		"countsAsLoss": m.Core, "limits": limits, "discoverySource": "platform", "entryKind": "virtual_ip", "beatIntervalMs": 1200,
		"activeContracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "places"},
		"faultBudget":     map[string]any{"machineLosses": 1, "zones": 1, "regionLosses": 0}, "bounds": site.Terms.page(),
		"platformApi": map[string]any{
			"address":  m.day.Directory.Address,
			"ratePerS": site.ListRate,
			"duties":   []string{},
			"maxLagMs": site.ListLag.Milliseconds(),
		},
	}
	if m.Core {
		limits["diskMb"] = 64
		page["dataDir"] = m.dataFolder(role)
	}
	return page
}

// dataFolder returns the folder for the durable data of a role.
func (m *Machine) dataFolder(role Role) string {
	return filepath.Join(m.folder, "data", role.Name)
}

// writeSettings writes the settings file of a role and returns its path.
func (m *Machine) writeSettings(role Role) (string, error) {
	text, err := json.MarshalIndent(m.settings(role), "", "  ")
	if err != nil {
		return "", failure.Wrap(failure.Malformed, err)
	}
	path := filepath.Join(m.folder, role.Name+".json")
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return "", failure.Wrap(failure.Disk, err)
	}
	if m.Core {
		if err := os.MkdirAll(m.dataFolder(role), 0o755); err != nil {
			return "", failure.Wrap(failure.Disk, err)
		}
	}
	return path, failure.Wrap(failure.Disk, os.WriteFile(path, text, 0o644))
}

// seedCount is the largest number of seeds in a settings file.
const seedCount = 3

// startProcesses starts the processes that do not run.
func (m *Machine) startProcesses() error {
	m.renewSeeds()
	m.day.Events.Append(Event{Kind: MachineUp, Machine: m.Name, Zone: m.Zone, Core: m.Core})
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// renewSeeds sets the seeds to machines that the operators' list, which is a seed lag old, shows as
// serving the control plane. At the first start of the whole system it keeps the seeds, which are
// the same on all machines.
func (m *Machine) renewSeeds() {
	seeds := m.day.controlAddresses(m.day.Site.Terms.SeedLag)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.bootstrap && len(seeds) > 0 {
		m.seeds = seeds[:min(seedCount, len(seeds))]
	}
}

// kill kills all processes. It records the event before and after the kill.
func (m *Machine) kill() {
	m.day.Events.Append(Event{Kind: MachineKilled, Machine: m.Name, Core: m.Core})
	for _, p := range m.processes {
		p.kill()
	}
	m.day.Events.Append(Event{Kind: MachineKilled, Machine: m.Name, Core: m.Core})
}

// wipe deletes the data on the disk. The processes must have ended.
func (m *Machine) wipe() error {
	return failure.Wrap(failure.Disk, os.RemoveAll(filepath.Join(m.folder, "data")))
}

// stop sends SIGTERM to all processes, and SIGKILL after the grace period.
func (m *Machine) stop() {
	m.day.Events.Append(Event{Kind: MachineTerminated, Machine: m.Name, Core: m.Core, Planned: true})
	var ending sync.WaitGroup
	for _, p := range m.processes {
		ending.Go(func() { p.stop(m.day.Site.Terms.Grace) })
	}
	ending.Wait()
}

// freeze suspends all processes.
func (m *Machine) freeze() {
	m.day.Events.Append(Event{Kind: MachineFrozen, Machine: m.Name, Core: m.Core})
	for _, p := range m.processes {
		p.signal(syscall.SIGSTOP)
	}
}

// resume resumes the processes after freeze.
func (m *Machine) resume() {
	for _, p := range m.processes {
		p.signal(syscall.SIGCONT)
	}
	m.day.Events.Append(Event{Kind: MachineResumed, Machine: m.Name, Core: m.Core})
}

// markRemoved records that the machine is removed for good.
func (m *Machine) markRemoved() {
	m.mutex.Lock()
	m.removed, m.unlistedAt = true, time.Now()
	m.mutex.Unlock()
	m.day.Balancer.remove(m.Name)
	m.day.Events.Append(Event{Kind: MachineRemoved, Machine: m.Name, Core: m.Core})
}

// rewriteSettings writes other seeds into the settings files and tells the processes to reload them.
func (m *Machine) rewriteSettings(seeds []string) error {
	m.mutex.Lock()
	m.seeds, m.bootstrap = seeds, false
	m.mutex.Unlock()
	for _, p := range m.processes {
		if _, err := m.writeSettings(p.role); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// reload tells the processes to reload their settings files.
func (m *Machine) reload() {
	for _, p := range m.processes {
		p.signal(syscall.SIGHUP)
	}
}

// ports are the port numbers of a day, the same on all its machines. The range from the first to the
// last number in free is for the processes' own use.
type ports struct {
	front, ready, control, list, server string
	free                                []int
}

// addressRange is a range of loopback addresses reserved for one day. Each machine and server has
// an address of its own.
type addressRange struct {
	prefix   string
	lastUsed atomic.Int32
	// reserved is a listener in the range. It keeps other days from reserving the same range.
	reserved net.Listener
}

// reserveAddresses reserves a range of addresses that no other day on this computer uses.
func reserveAddresses() (*addressRange, ports, error) {
	for range 200 {
		first := 20_000 + rand.IntN(100)*100
		chosen := ports{
			front:   strconv.Itoa(first),
			ready:   strconv.Itoa(first + 1),
			control: strconv.Itoa(first + 2),
			list:    strconv.Itoa(first + 3),
			server:  strconv.Itoa(first + 4),
			free:    []int{first + 20, first + 35},
		}
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		reserved, err := net.Listen("tcp", prefix+"250:19999")
		if err != nil {
			continue
		}
		return &addressRange{prefix: prefix, reserved: reserved}, chosen, nil
	}
	return nil, ports{}, failure.New(failure.Busy, "no free range of loopback addresses")
}

// nextAddress returns the next address of the range.
func (a *addressRange) nextAddress() string {
	return a.prefix + strconv.Itoa(int(a.lastUsed.Add(1)))
}
