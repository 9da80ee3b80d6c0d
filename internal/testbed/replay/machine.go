package replay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
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
func (machine *Machine) serves(what string) bool {
	for _, role := range machine.roles {
		if role.serving(what) {
			return true
		}
	}
	return false
}

// target is where the machine takes clients.
func (machine *Machine) target() target {
	ports := machine.day.ports
	return target{machine: machine.Name, zone: machine.Zone, front: machine.IP + ":" + ports.front, ready: machine.IP + ":" + ports.ready}
}

func (machine *Machine) control() string { return machine.IP + ":" + machine.day.ports.control }

// settings is what a process of a role is told.
func (machine *Machine) settings(role Role) map[string]any {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	site, addresses := machine.day.Site, map[string]any{}
	if role.serving("edge") {
		target := machine.target()
		addresses["frontHttp"], addresses["readiness"] = target.front, target.ready
	}
	if role.serving("control") {
		addresses["controlPlane"] = machine.control()
	}
	zones := map[string]string{}
	for _, zone := range site.Zones {
		zones[zone] = site.Region
	}
	limits := map[string]any{"cpuFraction": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0}
	page := map[string]any{
		"nodeName": machine.Name, "role": role.Name, "machineClass": role.On, "serves": role.Serves, "ip": machine.IP, "zone": machine.Zone, "region": site.Region,
		"zones": zones, "bindAddrs": addresses, "portRange": machine.day.ports.free, "seedNodes": machine.seeds, "bootstrap": machine.first,
		"countsAsLoss": machine.Core, "limits": limits, "discoverySource": "platform", "entryKind": "virtual_ip", "beatIntervalMs": 1200,
		"activeContracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "places"},
		"faultBudget":     map[string]any{"machineLosses": 1, "zones": 1, "regionLosses": 0}, "bounds": site.Terms.page(),
		"platformApi": map[string]any{"address": machine.day.Directory.Address, "ratePerS": site.ListRate, "duties": []string{}, "maxLagMs": site.ListLag.Milliseconds()},
	}
	if machine.Core {
		limits["diskMb"] = 64
		page["dataDir"] = machine.disk(role)
	}
	return page
}

func (machine *Machine) disk(role Role) string {
	return filepath.Join(machine.folder, "data", role.Name)
}

// write writes the settings file of a role.
func (machine *Machine) write(role Role) (string, error) {
	text, err := json.MarshalIndent(machine.settings(role), "", "  ")
	if err != nil {
		return "", failure.Wrap(failure.Malformed, err)
	}
	path := filepath.Join(machine.folder, role.Name+".json")
	if err := os.MkdirAll(machine.folder, 0o755); err != nil {
		return "", failure.Wrap(failure.Disk, err)
	}
	if machine.Core {
		if err := os.MkdirAll(machine.disk(role), 0o755); err != nil {
			return "", failure.Wrap(failure.Disk, err)
		}
	}
	return path, failure.Wrap(failure.Disk, os.WriteFile(path, text, 0o644))
}

// seedCount is how many seeds a settings file names at the most.
const seedCount = 3

// up starts the processes.
func (machine *Machine) up() error {
	machine.renewSeeds()
	machine.day.Book.Note(Event{Kind: MachineUp, Machine: machine.Name, Zone: machine.Zone, Core: machine.Core})
	for _, process := range machine.processes {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

// renewSeeds names those that serve control now, as the settings of the moment do. At the
// first start of the whole system all have the same.
func (machine *Machine) renewSeeds() {
	seeds := machine.day.controls(machine.day.Site.Terms.SeedLag)
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if !machine.first && len(seeds) > 0 {
		machine.seeds = seeds[:min(seedCount, len(seeds))]
	}
}

// kill ends all processes at once.
func (machine *Machine) kill() {
	machine.day.Book.Note(Event{Kind: MachineKilled, Machine: machine.Name, Core: machine.Core})
	for _, process := range machine.processes {
		process.kill()
	}
	machine.day.Book.Note(Event{Kind: MachineKilled, Machine: machine.Name, Core: machine.Core})
}

// wipe takes the disk's content away; the processes must have ended.
func (machine *Machine) wipe() error {
	return failure.Wrap(failure.Disk, os.RemoveAll(filepath.Join(machine.folder, "data")))
}

// stop sends SIGTERM, and SIGKILL after the time of grace.
func (machine *Machine) stop() {
	machine.day.Book.Note(Event{Kind: MachineTerm, Machine: machine.Name, Core: machine.Core, Planned: true})
	var ending sync.WaitGroup
	for _, process := range machine.processes {
		ending.Go(func() { process.stop(machine.day.Site.Terms.Grace) })
	}
	ending.Wait()
}

// freeze stands the processes still; thaw lets them go on.
func (machine *Machine) freeze() {
	machine.day.Book.Note(Event{Kind: MachineFrozen, Machine: machine.Name, Core: machine.Core})
	for _, process := range machine.processes {
		process.signal(syscall.SIGSTOP)
	}
}

func (machine *Machine) thaw() {
	for _, process := range machine.processes {
		process.signal(syscall.SIGCONT)
	}
	machine.day.Book.Note(Event{Kind: MachineThawed, Machine: machine.Name, Core: machine.Core})
}

// leave notes that the machine is gone for good.
func (machine *Machine) leave() {
	machine.mutex.Lock()
	machine.gone, machine.unlisted = true, time.Now()
	machine.mutex.Unlock()
	machine.day.Balancer.shut(machine.Name)
	machine.day.Book.Note(Event{Kind: MachineGone, Machine: machine.Name, Core: machine.Core})
}

// retell writes other seeds into the settings files, and tells the processes.
func (machine *Machine) retell(seeds []string) error {
	machine.mutex.Lock()
	machine.seeds, machine.first = seeds, false
	machine.mutex.Unlock()
	for _, process := range machine.processes {
		if _, err := machine.write(process.role); err != nil {
			return err
		}
		process.signal(syscall.SIGHUP)
	}
	return nil
}

// reload tells the processes that their settings files may have changed.
func (machine *Machine) reload() {
	for _, process := range machine.processes {
		process.signal(syscall.SIGHUP)
	}
}
