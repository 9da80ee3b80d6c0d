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
	Core bool

	day       *Day
	roles     []Role
	processes []*process
	folder    string

	mutex sync.Mutex
	seeds []string
	first bool
	// listed tells since when it is on the operators' list, and until when.
	listed, unlisted time.Time
	gone             bool
}

// serves tells whether a role of the machine may be called from outside for that.
func (m *Machine) serves(what string) bool {
	for _, role := range m.roles {
		if role.serving(what) {
			return true
		}
	}
	return false
}

// target is where the machine takes clients.
func (m *Machine) target() target {
	p := m.day.ports
	return target{machine: m.Name, zone: m.Zone, front: m.IP + ":" + p.front, ready: m.IP + ":" + p.ready}
}

func (m *Machine) control() string { return m.IP + ":" + m.day.ports.control }

// settings is what a process of a role is told.
func (m *Machine) settings(role Role) map[string]any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	site, addresses := m.day.Site, map[string]any{}
	if role.serving("edge") {
		t := m.target()
		addresses["frontHttp"], addresses["readiness"] = t.front, t.ready
	}
	if role.serving("control") {
		addresses["controlPlane"] = m.control()
	}
	zones := map[string]string{}
	for _, zone := range site.Zones {
		zones[zone] = site.Region
	}
	limits := map[string]any{"cpuFraction": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0}
	page := map[string]any{
		"nodeName": m.Name, "role": role.Name, "machineClass": role.On, "serves": role.Serves, "ip": m.IP, "zone": m.Zone, "region": site.Region,
		"zones": zones, "bindAddrs": addresses, "portRange": m.day.ports.free, "seedNodes": m.seeds, "bootstrap": m.first,
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
		page["dataDir"] = m.disk(role)
	}
	return page
}

func (m *Machine) disk(role Role) string {
	return filepath.Join(m.folder, "data", role.Name)
}

// write writes the settings file of a role.
func (m *Machine) write(role Role) (string, error) {
	text, err := json.MarshalIndent(m.settings(role), "", "  ")
	if err != nil {
		return "", failure.Wrap(failure.Malformed, err)
	}
	path := filepath.Join(m.folder, role.Name+".json")
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return "", failure.Wrap(failure.Disk, err)
	}
	if m.Core {
		if err := os.MkdirAll(m.disk(role), 0o755); err != nil {
			return "", failure.Wrap(failure.Disk, err)
		}
	}
	return path, failure.Wrap(failure.Disk, os.WriteFile(path, text, 0o644))
}

// seedCount is how many seeds a settings file names at the most.
const seedCount = 3

// up starts the processes.
func (m *Machine) up() error {
	m.renewSeeds()
	m.day.Events.Append(Event{Kind: MachineUp, Machine: m.Name, Zone: m.Zone, Core: m.Core})
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// renewSeeds names those that serve control now, as the settings of the moment do. At the
// first start of the whole system all have the same.
func (m *Machine) renewSeeds() {
	seeds := m.day.controls(m.day.Site.Terms.SeedLag)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.first && len(seeds) > 0 {
		m.seeds = seeds[:min(seedCount, len(seeds))]
	}
}

// kill ends all processes at once.
func (m *Machine) kill() {
	m.day.Events.Append(Event{Kind: MachineKilled, Machine: m.Name, Core: m.Core})
	for _, p := range m.processes {
		p.kill()
	}
	m.day.Events.Append(Event{Kind: MachineKilled, Machine: m.Name, Core: m.Core})
}

// wipe takes the disk's content away; the processes must have ended.
func (m *Machine) wipe() error {
	return failure.Wrap(failure.Disk, os.RemoveAll(filepath.Join(m.folder, "data")))
}

// stop sends SIGTERM, and SIGKILL after the time of grace.
func (m *Machine) stop() {
	m.day.Events.Append(Event{Kind: MachineTerm, Machine: m.Name, Core: m.Core, Planned: true})
	var ending sync.WaitGroup
	for _, p := range m.processes {
		ending.Go(func() { p.stop(m.day.Site.Terms.Grace) })
	}
	ending.Wait()
}

// freeze stands the processes still; thaw lets them go on.
func (m *Machine) freeze() {
	m.day.Events.Append(Event{Kind: MachineFrozen, Machine: m.Name, Core: m.Core})
	for _, p := range m.processes {
		p.signal(syscall.SIGSTOP)
	}
}

func (m *Machine) thaw() {
	for _, p := range m.processes {
		p.signal(syscall.SIGCONT)
	}
	m.day.Events.Append(Event{Kind: MachineThawed, Machine: m.Name, Core: m.Core})
}

// leave notes that the machine is gone for good.
func (m *Machine) leave() {
	m.mutex.Lock()
	m.gone, m.unlisted = true, time.Now()
	m.mutex.Unlock()
	m.day.Balancer.shut(m.Name)
	m.day.Events.Append(Event{Kind: MachineGone, Machine: m.Name, Core: m.Core})
}

// rewriteSettings writes other seeds into the settings files, and tells the processes.
func (m *Machine) rewriteSettings(seeds []string) error {
	m.mutex.Lock()
	m.seeds, m.first = seeds, false
	m.mutex.Unlock()
	for _, p := range m.processes {
		if _, err := m.write(p.role); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// reload tells the processes that their settings files may have changed.
func (m *Machine) reload() {
	for _, p := range m.processes {
		p.signal(syscall.SIGHUP)
	}
}

// ports are alike on all machines of a day.
type ports struct {
	front, ready, control, list, server string
	free                                []int
}

// addressRange is a range of loopback addresses that one day has for itself: each machine and
// server has its own.
type addressRange struct {
	prefix   string
	next     atomic.Int32
	reserved net.Listener
}

// takeAddresses finds a range that no other day on this computer has taken.
func takeAddresses() (*addressRange, ports, error) {
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

// address gives the next address of the range.
func (a *addressRange) address() string {
	return a.prefix + strconv.Itoa(int(a.next.Add(1)))
}
