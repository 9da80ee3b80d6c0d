package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
)

// Fleet is a complete deployment on one machine: a process for each node, and stand-ins for
// the model servers and the platform.
type Fleet struct {
	Deployment  Deployment
	Events      *EventLog
	Platform    *Platform
	Routers     []*NodeProcess
	Controllers []*NodeProcess
	Links       *Links
	folder      string
	binaries    string
	extra       map[string]any

	mutex    sync.Mutex
	standIns []*StandIn
	plans    map[string]ServerPlan
}

// NewFleet starts the stand-ins of a fleet and prepares its nodes, which keep their files in
// folder. The programs are in the folder binaries. The extra settings go to every router and
// controller, except for market, which goes only to routers.
func NewFleet(deployment Deployment, folder, binaries string, extra map[string]any) (*Fleet, error) {
	events := &EventLog{}
	platform, err := StartPlatform(events)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{
		Deployment: deployment,
		Events:     events,
		Platform:   platform,
		folder:     folder,
		binaries:   binaries,
		extra:      extra,
		plans:      map[string]ServerPlan{},
	}
	for position := range deployment.Servers {
		zone := deployment.Zones[position%len(deployment.Zones)]
		if _, err := fleet.AddServer(DefaultPlan("stove-"+strconv.Itoa(position+1), zone)); err != nil {
			return nil, err
		}
	}
	addresses, err := freeAddresses(3 + deployment.Routers)
	if err != nil {
		return nil, err
	}
	seeds := addresses[:3]
	for position, address := range addresses {
		kind, name := membership.Controller, "expediter-"+strconv.Itoa(position+1)
		if position >= 3 {
			kind, name = membership.Router, "courier-"+strconv.Itoa(position-2)
		}
		zone := deployment.Zones[position%len(deployment.Zones)]
		fleet.AddNode(kind, name, address, zone, seeds)
	}
	return fleet, nil
}

// freeAddresses returns loopback addresses on which no process listens. Their ports are
// below the system's range of ephemeral ports, so that no outgoing connection takes an
// address before the node starts that uses it.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range 50 * count {
		address := "127.0.0.1:" + strconv.Itoa(10_000+rand.IntN(22_000))
		listener, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(addresses, address) {
			continue
		}
		_ = listener.Close()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, failure.New(failure.Unreachable, "not enough free loopback addresses")
}

// AddServer starts a stand-in server and lists it with the platform.
func (f *Fleet) AddServer(plan ServerPlan) (*StandIn, error) {
	standIn, err := StartStandIn(plan, "127.0.0.1:0", f.Events)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	f.standIns = append(f.standIns, standIn)
	f.plans[plan.Name] = plan
	f.mutex.Unlock()
	f.Platform.ListServer(membership.Server{Name: plan.Name, Address: standIn.Address(), Zone: plan.Zone})
	return standIn, nil
}

// AddNode prepares a node and lists it with the platform, but does not start it.
func (f *Fleet) AddNode(kind membership.NodeKind, name, address, zone string, seeds []string) *NodeProcess {
	node := &NodeProcess{Node: membership.Node{Name: name, Kind: kind, Address: address, Zone: zone}, folder: f.folder,
		binary: Program(f.binaries, kind), settings: map[string]any{"name": name, "address": address, "district": zone,
			"seeds": seeds, "platform": f.Platform.Address()}}
	for setting, value := range f.extra {
		if setting == "market" && kind != membership.Router {
			continue
		}
		node.settings[setting] = value
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if kind == membership.Controller {
		node.settings["data_folder"] = filepath.Join(f.folder, name+"-disk")
		f.Controllers = append(f.Controllers, node)
	} else {
		f.Routers = append(f.Routers, node)
	}
	f.Platform.ListNode(node.Node)
	return node
}

// UseOlderBinaries makes every second node run an older build, whose programs are in the folder older.
func (f *Fleet) UseOlderBinaries(older string) {
	for position, node := range f.Nodes() {
		if position%2 == 0 {
			node.binary = Program(older, node.Node.Kind)
		}
	}
}

// UseScriptedNodes makes the nodes run with disks and clocks that follow a faults file.
func (f *Fleet) UseScriptedNodes() {
	for _, node := range f.Nodes() {
		node.scripted = true
	}
}

// Begin starts every node, waits until all are ready and every server has a role, and
// records the feature flags that each node supports.
func (f *Fleet) Begin(timeout time.Duration) error {
	for _, node := range f.Nodes() {
		if err := node.Begin(); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(timeout); err != nil {
		return err
	}
	withheld, _ := f.extra["withhold_flags"].([]string)
	for _, node := range f.Nodes() {
		var flags []string
		for _, flag := range features.Supported(nil) {
			if !slices.Contains(withheld, string(flag)) {
				flags = append(flags, string(flag))
			}
		}
		f.Events.Append(Entry{Kind: MemberKnown, Holder: node.Node.Name, Flags: flags})
	}
	return nil
}

// Nodes returns the controllers, followed by the routers.
func (f *Fleet) Nodes() []*NodeProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append(append([]*NodeProcess(nil), f.Controllers...), f.Routers...)
}

// Running returns the running nodes of a kind; an empty kind means all nodes.
func (f *Fleet) Running(kind membership.NodeKind) []*NodeProcess {
	var running []*NodeProcess
	for _, node := range f.Nodes() {
		if (kind == "" || node.Node.Kind == kind) && node.Running() {
			running = append(running, node)
		}
	}
	return running
}

// AwaitReady waits until every running node is ready and every server has a role.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	notReady := ""
	if Await(timeout, func() bool {
		notReady = ""
		for _, node := range f.Nodes() {
			if node.Running() && !node.Ready() {
				notReady = node.Node.Name
				return false
			}
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for _, standIn := range f.standIns {
			if standIn.lifetime.Err() == nil && standIn.Role() == "" {
				notReady = standIn.plan.Name
				return false
			}
		}
		return true
	}) {
		return nil
	}
	return failure.New(failure.Unreachable, "not ready after "+timeout.String()+": "+notReady)
}

// Await polls a condition until it holds or the timeout passes, and reports whether it held.
func Await(timeout time.Duration, condition func() bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	poll := time.NewTicker(30 * time.Millisecond)
	defer poll.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-timer.C:
			return false
		case <-poll.C:
		}
	}
}

// Primary returns the controller that is the primary at present, or nil.
func (f *Fleet) Primary() *NodeProcess {
	for _, node := range f.Nodes() {
		var ready struct {
			Leads bool `json:"leads"`
		}
		if node.Node.Kind != membership.Controller || !node.Running() {
			continue
		}
		if _, err := node.ReadJSON("/v1/ready", &ready); err == nil && ready.Leads {
			return node
		}
	}
	return nil
}

// Replace starts a new server with the name and the plan of one that crashed.
func (f *Fleet) Replace(name string) error {
	f.mutex.Lock()
	plan, found := f.plans[name]
	for position, standIn := range f.standIns {
		if standIn.plan.Name == name {
			f.standIns = append(f.standIns[:position], f.standIns[position+1:]...)
			break
		}
	}
	f.mutex.Unlock()
	if !found {
		return failure.New(failure.NoSuch, "no stand-in server is named "+name)
	}
	_, err := f.AddServer(plan)
	return err
}

// ServerNames returns the names of the stand-in servers.
func (f *Fleet) ServerNames() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var names []string
	for _, standIn := range f.standIns {
		names = append(names, standIn.plan.Name)
	}
	return names
}

// ServersOf returns the names of the stand-in servers of a zone.
func (f *Fleet) ServersOf(zone string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var names []string
	for _, standIn := range f.standIns {
		if standIn.plan.Zone == zone {
			names = append(names, standIn.plan.Name)
		}
	}
	return names
}

// Server returns the stand-in server with a name, or nil.
func (f *Fleet) Server(name string) *StandIn {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, standIn := range f.standIns {
		if standIn.plan.Name == name {
			return standIn
		}
	}
	return nil
}

// Close stops all nodes and stand-ins that the fleet started.
func (f *Fleet) Close() {
	for _, node := range f.Nodes() {
		node.Kill()
	}
	if f.Links != nil {
		f.Links.Close()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, standIn := range f.standIns {
		standIn.end()
		_ = standIn.server.Close()
	}
	f.Platform.Close()
}

// Describe returns a text with the address and the zone of every node and server.
func (f *Fleet) Describe() string {
	text := fmt.Sprintf("deployment %s in %s\nplatform   %s\n", f.Deployment.Name, f.folder, f.Platform.Address())
	for _, node := range f.Nodes() {
		text += fmt.Sprintf("%-12s %s  zone %s\n", node.Node.Name, node.Node.Address, node.Node.Zone)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, standIn := range f.standIns {
		text += fmt.Sprintf("%-12s %s  zone %s\n", standIn.plan.Name, standIn.Address(), standIn.plan.Zone)
	}
	return text
}

// CoreIsComplete reports whether the primary has a backup and three witnesses, and whether
// each witness is a running controller that still has the disk that it had when it became a
// witness.
func (f *Fleet) CoreIsComplete() bool {
	primary := f.Primary()
	if primary == nil {
		return false
	}
	var status struct {
		Backup    struct{ Name string }
		Witnesses []struct {
			Name     string
			Identity string
		} `json:"keepers"`
		Incoming []struct{} `json:"incoming_keepers"`
	}
	if code, err := primary.ReadJSON("/v1/status", &status); err != nil || code != http.StatusOK {
		return false
	}
	if status.Backup.Name == "" || len(status.Incoming) > 0 || len(status.Witnesses) != 3 {
		return false
	}
	for _, witness := range status.Witnesses {
		present := false
		for _, node := range f.Nodes() {
			var ready struct{ Identity string }
			if node.Node.Name == witness.Name && node.Running() {
				_, err := node.ReadJSON("/v1/ready", &ready)
				present = err == nil && ready.Identity == witness.Identity
			}
		}
		if !present {
			return false
		}
	}
	return true
}
