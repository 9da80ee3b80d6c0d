package replay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Day runs a whole deployment on this computer through one simulated day.
type Day struct {
	Site       Site
	Events     *EventLog
	ServerPool *ServerPool
	Directory  *Directory
	Balancer   *Balancer
	Clients    *Clients
	Operators  *Operators

	roles        []Role
	folder       string
	log          io.Writer
	addressRange *addressRange
	ports        ports
	seed         uint64
	lifetime     context.Context
	cancel       context.CancelFunc

	mutex    sync.Mutex
	machines []*Machine
	random   *rand.Rand
	// coreLoss is locked while a machine of the core is away; coreBack is the time when the last
	// such machine came back.
	coreLoss sync.Mutex
	coreBack time.Time
	began    time.Time
}

// NewDay prepares a deployment. It starts the model servers and the server list, but no process
// of the product. The settings, logs and data of the processes go into the folder, which must not
// contain the files of another day.
func NewDay(site Site, roles []Role, seed uint64, folder string, log io.Writer) (*Day, error) {
	if leftovers, _ := filepath.Glob(filepath.Join(folder, "edge-*")); len(leftovers) > 0 {
		return nil, failure.New(failure.Contradictory, folder+" contains the machine folders of another day")
	}
	addresses, dayPorts, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	day := &Day{
		Site:         site,
		Events:       &EventLog{},
		roles:        roles,
		folder:       folder,
		log:          log,
		addressRange: addresses,
		ports:        dayPorts,
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 1)),
	}
	day.lifetime, day.cancel = context.WithCancel(context.Background())
	if day.ServerPool, err = startServerPool(day.Events, site, seed,
		func() string { return addresses.nextAddress() + ":" + dayPorts.server }); err != nil {
		return nil, err
	}
	if day.Directory, err = startDirectory(day.Events, day.ServerPool, site, addresses.nextAddress()+":"+dayPorts.list); err != nil {
		return nil, err
	}
	day.Balancer = newBalancer(day.Events)
	day.Clients = newClients(day.Events, site, day.Balancer, seed)
	day.Operators = newOperators(day, seed)
	for _, zone := range site.Zones {
		for place := range 1 + site.PlainMachines {
			day.addMachine(zone, place, place == 0)
		}
	}
	seeds := day.controlAddresses(0)
	seeds = seeds[:min(seedCount, len(seeds))]
	for _, machine := range day.all() {
		machine.seeds, machine.bootstrap = seeds, true
	}
	return day, nil
}

// addMachine adds a machine to the deployment without starting it.
func (day *Day) addMachine(zone string, place int, core bool) *Machine {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	machine := &Machine{
		Name: "edge-" + zone + "-" + strconv.Itoa(len(day.machines)+1),
		Zone: zone,
		IP:   day.addressRange.nextAddress(),
		day:  day,
	}
	machine.folder = filepath.Join(day.folder, machine.Name)
	for _, role := range day.roles {
		if role.runsOn(place, 1+day.Site.PlainMachines) {
			machine.roles = append(machine.roles, role)
			machine.processes = append(machine.processes, &process{machine: machine, role: role})
		}
	}
	machine.Core = core && machine.serves("control")
	day.machines = append(day.machines, machine)
	return machine
}

// all lists the machines that have not been removed.
func (day *Day) all() []*Machine {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	var machines []*Machine
	for _, machine := range day.machines {
		machine.mutex.Lock()
		if !machine.removed {
			machines = append(machines, machine)
		}
		machine.mutex.Unlock()
	}
	return machines
}

// coreMachines lists the machines with a disk that serve the control plane.
func (day *Day) coreMachines() []*Machine {
	return slices.DeleteFunc(day.all(), func(machine *Machine) bool { return !machine.Core })
}

// controlAddresses lists the addresses of the control plane that were on the operators' list the
// given time ago.
func (day *Day) controlAddresses(age time.Duration) []string {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	var addresses []string
	listedBy := time.Now().Add(-age)
	for _, machine := range day.machines {
		machine.mutex.Lock()
		if machine.serves("control") && !machine.listedAt.After(listedBy) && (!machine.removed || machine.unlistedAt.After(listedBy)) {
			addresses = append(addresses, machine.controlAddress())
		}
		machine.mutex.Unlock()
	}
	return addresses
}

// machineAt returns the machine with the given control plane address, or nil if there is none.
func (day *Day) machineAt(controlAddress string) *Machine {
	for _, machine := range day.all() {
		if machine.controlAddress() == controlAddress {
			return machine
		}
	}
	return nil
}

// Begin starts every machine, has the operators send the first configuration until it is
// acknowledged, and waits until all machines are ready.
func (day *Day) Begin(timeout time.Duration) error {
	for _, machine := range day.all() {
		if err := machine.startProcesses(); err != nil {
			return err
		}
		if machine.serves("edge") {
			day.Balancer.add(machine.target())
		}
	}
	began := time.Now()
	deadline, cancel := context.WithTimeout(day.lifetime, timeout)
	defer cancel()
	first := FirstVersion(day.Site)
	if reply := day.Operators.propose(deadline, Version{}, first, false, false, nil); reply.outcome != acknowledged {
		return failure.New(failure.Unreachable,
			fmt.Sprintf("the first configuration was never acknowledged: %s %d", reply.outcome, reply.status))
	}
	acknowledgedAfter := time.Since(began)
	for len(day.Balancer.all()) > 0 && !day.Balancer.allReady() {
		if !sleep(deadline, 50*time.Millisecond) {
			return failure.New(failure.Unreachable, "not all machines were ready within "+timeout.String())
		}
	}
	day.logf("the first configuration was acknowledged after %s, all machines were ready after %s", acknowledgedAfter.Round(time.Millisecond),
		time.Since(began).Round(time.Millisecond))
	return nil
}

// logf writes a line to the log of the day.
func (day *Day) logf(format string, values ...any) {
	if day.log != nil {
		_, _ = fmt.Fprintf(day.log, format+"\n", values...)
	}
}

// Run runs a plan: the traffic, the faults and the closing fault. At the end it reads the
// configuration and returns the verdict.
func (day *Day) Run(plan Plan) Verdict {
	if plan.Rate > 0 {
		day.Clients.site.Rate = plan.Rate
	}
	traffic, stop := context.WithCancel(day.lifetime)
	defer stop()
	day.began = time.Now()
	var running, faults sync.WaitGroup
	running.Go(func() { day.Balancer.run(traffic) })
	running.Go(func() { day.Clients.run(traffic) })
	running.Go(func() { day.probe(traffic) })
	for _, fault := range plan.Faults {
		faults.Go(func() {
			if sleep(traffic, seconds(fault.At)) {
				day.logf("%6.1f s  %s %s", time.Since(day.began).Seconds(), fault.Kind, fault.How)
				day.Events.Append(Event{Kind: FaultBegan, Cause: fault.Kind + " " + fault.How})
				faultActions[fault.Kind](day, traffic, fault)
			}
		})
	}
	// A fault that lasts longer than the day, such as an evacuation, continues through the closing fault.
	sleep(traffic, seconds(plan.Length))
	if plan.Closing != nil {
		day.runClosingFault(traffic, *plan.Closing)
		sleep(traffic, day.Site.Terms.Recovery+3*time.Second)
	}
	stop()
	faults.Wait()
	running.Wait()
	day.Clients.close()
	day.Operators.readBack(day.lifetime)
	return CheckEvents(day.Events.Events(), day.Site)
}

// probe sends requests directly to each machine that accepts clients. Each round requests one route,
// in turn the watched routes and r-never, which no configuration has.
func (day *Day) probe(lifetime context.Context) {
	round := 0
	for sleep(lifetime, 700*time.Millisecond) {
		watched := day.Operators.watchedRoutes()
		watched["r-never"] = RouteRule{Host: "never.example", Prefix: "/never/", Class: day.Site.Classes[0].Name}
		names := make([]string, 0, len(watched))
		for name := range watched {
			names = append(names, name)
		}
		slices.Sort(names)
		round++
		var probes sync.WaitGroup
		for _, to := range day.Balancer.accepting("") {
			name := names[round%len(names)]
			probes.Go(func() { day.Clients.probe(to, name, watched[name]) })
		}
		probes.Wait()
	}
}

// Close ends all processes, servers and listeners that the day started.
func (day *Day) Close() {
	for _, machine := range day.all() {
		for _, p := range machine.processes {
			p.kill()
		}
	}
	day.cancel()
	day.Directory.close()
	day.ServerPool.close()
	_ = day.addressRange.reserved.Close()
}

// Crashed lists the processes whose logs report a panic or a data race.
func (day *Day) Crashed() []string {
	var names []string
	day.mutex.Lock()
	defer day.mutex.Unlock()
	for _, machine := range day.machines {
		for _, p := range machine.processes {
			if p.crashed() {
				names = append(names, machine.Name+"/"+p.role.Name)
			}
		}
	}
	return names
}

// Logs returns the last lines of every process's log by machine and role.
func (day *Day) Logs(lines int) map[string]string {
	logs := map[string]string{}
	day.mutex.Lock()
	defer day.mutex.Unlock()
	for _, machine := range day.machines {
		for _, p := range machine.processes {
			logs[machine.Name+"/"+p.role.Name] = lastLines(p.readLog(), lines)
		}
	}
	return logs
}

// Running is one running process of a day: its machine, its role, and its process ID.
type Running struct {
	Machine   string
	Role      string
	ProcessID int
}

// Running lists the running processes of all machines.
func (day *Day) Running() []Running {
	var running []Running
	for _, machine := range day.all() {
		for _, p := range machine.processes {
			p.mutex.Lock()
			cmd, ended := p.command, p.ended
			p.mutex.Unlock()
			if cmd == nil {
				continue
			}
			select {
			case <-ended:
			default:
				running = append(running, Running{Machine: machine.Name, Role: p.role.Name, ProcessID: cmd.Process.Pid})
			}
		}
	}
	return running
}
