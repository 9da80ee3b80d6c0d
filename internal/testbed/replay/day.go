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

// Day is a whole deployment on this computer, through one day.
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
	end          context.CancelFunc

	mutex    sync.Mutex
	machines []*Machine
	random   *rand.Rand
	// coreAway is when the last machine of the core was taken away, and coreBack when it
	// came back.
	coreTurn sync.Mutex
	coreBack time.Time
	began    time.Time
}

// NewDay lays out a deployment; nothing of the product runs yet. What its processes write
// goes into a folder.
func NewDay(site Site, roles []Role, seed uint64, folder string, log io.Writer) (*Day, error) {
	if left, _ := filepath.Glob(filepath.Join(folder, "edge-*")); len(left) > 0 {
		return nil, failure.New(failure.Contradictory, folder+" holds the disks of another day")
	}
	a, p, err := takeAddresses()
	if err != nil {
		return nil, err
	}
	day := &Day{
		Site:         site,
		Events:       &EventLog{},
		roles:        roles,
		folder:       folder,
		log:          log,
		addressRange: a,
		ports:        p,
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 1)),
	}
	day.lifetime, day.end = context.WithCancel(context.Background())
	if day.ServerPool, err = startServerPool(day.Events, site, seed,
		func() string { return a.address() + ":" + p.server }); err != nil {
		return nil, err
	}
	if day.Directory, err = startDirectory(day.Events, day.ServerPool, site, a.address()+":"+p.list); err != nil {
		return nil, err
	}
	day.Balancer = newBalancer(day.Events)
	day.Clients = newClients(day.Events, site, day.Balancer, seed)
	day.Operators = newOperators(day, seed)
	for _, zone := range site.Zones {
		for place := range 1 + site.Plain {
			day.layOut(zone, place, place == 0)
		}
	}
	seeds := day.controls(0)
	seeds = seeds[:min(seedCount, len(seeds))]
	for _, machine := range day.all() {
		machine.seeds, machine.first = seeds, true
	}
	return day, nil
}

// layOut adds a machine to the deployment; it does not start it.
func (day *Day) layOut(zone string, place int, core bool) *Machine {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	machine := &Machine{
		Name: "edge-" + zone + "-" + strconv.Itoa(len(day.machines)+1),
		Zone: zone,
		IP:   day.addressRange.address(),
		day:  day,
	}
	machine.folder = filepath.Join(day.folder, machine.Name)
	for _, role := range day.roles {
		if role.on(place, 1+day.Site.Plain) {
			machine.roles = append(machine.roles, role)
			machine.processes = append(machine.processes, &process{machine: machine, role: role})
		}
	}
	machine.Core = core && machine.serves("control")
	day.machines = append(day.machines, machine)
	return machine
}

// all lists the machines that are not gone for good.
func (day *Day) all() []*Machine {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	var machines []*Machine
	for _, machine := range day.machines {
		machine.mutex.Lock()
		if !machine.gone {
			machines = append(machines, machine)
		}
		machine.mutex.Unlock()
	}
	return machines
}

// core lists the machines with a disk that serve control.
func (day *Day) core() []*Machine {
	return slices.DeleteFunc(day.all(), func(machine *Machine) bool { return !machine.Core })
}

// controls lists where control is served, as the operators' list had it a lag ago.
func (day *Day) controls(lag time.Duration) []string {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	var addresses []string
	then := time.Now().Add(-lag)
	for _, machine := range day.machines {
		machine.mutex.Lock()
		if machine.serves("control") && !machine.listed.After(then) && (!machine.gone || machine.unlisted.After(then)) {
			addresses = append(addresses, machine.control())
		}
		machine.mutex.Unlock()
	}
	return addresses
}

// machineAt finds the machine whose control address that is.
func (day *Day) machineAt(control string) *Machine {
	for _, machine := range day.all() {
		if machine.control() == control {
			return machine
		}
	}
	return nil
}

// Begin starts every machine, has the operators send the first configuration until it is
// taken, and waits until all machines are ready.
func (day *Day) Begin(patience time.Duration) error {
	for _, machine := range day.all() {
		if err := machine.up(); err != nil {
			return err
		}
		if machine.serves("edge") {
			day.Balancer.open(machine.target())
		}
	}
	began := time.Now()
	waiting, end := context.WithTimeout(day.lifetime, patience)
	defer end()
	first := FirstVersion(day.Site)
	if given := day.Operators.propose(waiting, Version{}, first, false, false, nil); given.outcome != acknowledged {
		return failure.New(failure.Unreachable,
			fmt.Sprintf("the first configuration was never acknowledged: %s %d", given.outcome, given.status))
	}
	taken := time.Since(began)
	for len(day.Balancer.all()) > 0 && !day.Balancer.allReady() {
		if !sleep(waiting, 50*time.Millisecond) {
			return failure.New(failure.Unreachable, "not all machines are ready in "+patience.String())
		}
	}
	day.logf("the first configuration was taken after %s, all were ready after %s", taken.Round(time.Millisecond),
		time.Since(began).Round(time.Millisecond))
	return nil
}

func (day *Day) logf(format string, values ...any) {
	if day.log != nil {
		_, _ = fmt.Fprintf(day.log, format+"\n", values...)
	}
}

// Run plays a plan: traffic, its faults, its closing fault, and the reading at its end.
// It gives the verdict.
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
				faultBodies[fault.Kind](day, traffic, fault)
			}
		})
	}
	// What lasts longer than the day, such as an evacuation, lasts through its closing fault.
	sleep(traffic, seconds(plan.Length))
	if plan.Closing != nil {
		day.close(traffic, *plan.Closing)
		sleep(traffic, day.Site.Terms.Recovery+3*time.Second)
	}
	stop()
	faults.Wait()
	running.Wait()
	day.Clients.close()
	day.Operators.readBack(day.lifetime)
	return Judge(day.Events.Events(), day.Site)
}

// probe asks for the watched routes, one after another, straight at each machine that
// takes clients.
func (day *Day) probe(lifetime context.Context) {
	turn := 0
	for sleep(lifetime, 700*time.Millisecond) {
		watched := day.Operators.watchList()
		watched["r-never"] = RouteRule{Host: "never.example", Prefix: "/never/", Class: day.Site.Classes[0].Name}
		names := make([]string, 0, len(watched))
		for name := range watched {
			names = append(names, name)
		}
		slices.Sort(names)
		turn++
		var probing sync.WaitGroup
		for _, to := range day.Balancer.taking("") {
			name := names[turn%len(names)]
			probing.Go(func() { day.Clients.probe(to, name, watched[name]) })
		}
		probing.Wait()
	}
}

// Close ends everything that this day started.
func (day *Day) Close() {
	for _, machine := range day.all() {
		for _, p := range machine.processes {
			p.kill()
		}
	}
	day.end()
	day.Directory.close()
	day.ServerPool.close()
	_ = day.addressRange.reserved.Close()
}

// Crashed names the processes whose logs hold a panic or a race.
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

// Logs gives the last lines of every process's log.
func (day *Day) Logs(lines int) map[string]string {
	logs := map[string]string{}
	day.mutex.Lock()
	defer day.mutex.Unlock()
	for _, machine := range day.machines {
		for _, p := range machine.processes {
			logs[machine.Name+"/"+p.role.Name] = lastLines(p.logged(), lines)
		}
	}
	return logs
}

// Running is one process of a day: its machine, its role, and its number.
type Running struct {
	Machine string
	Role    string
	Number  int
}

// Running lists the processes of all machines that have not ended.
func (day *Day) Running() []Running {
	var running []Running
	for _, machine := range day.all() {
		for _, p := range machine.processes {
			p.mutex.Lock()
			c, ended := p.command, p.ended
			p.mutex.Unlock()
			if c == nil {
				continue
			}
			select {
			case <-ended:
			default:
				running = append(running, Running{Machine: machine.Name, Role: p.role.Name, Number: c.Process.Pid})
			}
		}
	}
	return running
}
