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

// Fleet is a whole deployment on one machine: nodes as processes, and
// stand-ins for servers and platform.
type Fleet struct {
	Deployment  Deployment
	Book        *Book
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

// NewFleet lays a fleet out in a folder; binaries is where courier and
// expediter are. Extra settings go to every courier and expediter.
func NewFleet(deployment Deployment, folder, binaries string, extra map[string]any) (*Fleet, error) {
	book := &Book{}
	platform, err := StartPlatform(book)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Deployment: deployment, Book: book, Platform: platform, folder: folder, binaries: binaries, extra: extra, plans: map[string]ServerPlan{}}
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
		district := deployment.Zones[position%len(deployment.Zones)]
		fleet.AddNode(kind, name, address, district, seeds)
	}
	return fleet, nil
}

// freeAddresses finds loopback addresses that nobody listens on. They lie below
// the ports that the system gives out by itself, so that none of those takes
// one before its node begins.
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
	return nil, failure.New(failure.Unreachable, "no free addresses")
}

// AddServer starts a stand-in server and lists it with the platform.
func (fleet *Fleet) AddServer(plan ServerPlan) (*StandIn, error) {
	standIn, err := StartStandIn(plan, "127.0.0.1:0", fleet.Book)
	if err != nil {
		return nil, err
	}
	fleet.mutex.Lock()
	fleet.standIns = append(fleet.standIns, standIn)
	fleet.plans[plan.Name] = plan
	fleet.mutex.Unlock()
	fleet.Platform.ListServer(membership.Server{Name: plan.Name, Address: standIn.Address(), Zone: plan.Zone})
	return standIn, nil
}

// AddNode lays out a node and lists it with the platform; it does not start it.
func (fleet *Fleet) AddNode(kind membership.NodeKind, name, address, zone string, seeds []string) *NodeProcess {
	node := &NodeProcess{Node: membership.Node{Name: name, Kind: kind, Address: address, Zone: zone}, folder: fleet.folder,
		binary: Program(fleet.binaries, kind), settings: map[string]any{"name": name, "address": address, "district": zone,
			"seeds": seeds, "platform": fleet.Platform.Address()}}
	for setting, value := range fleet.extra {
		if setting == "market" && kind != membership.Router {
			continue
		}
		node.settings[setting] = value
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if kind == membership.Controller {
		node.settings["data_folder"] = filepath.Join(fleet.folder, name+"-disk")
		fleet.Controllers = append(fleet.Controllers, node)
	} else {
		fleet.Routers = append(fleet.Routers, node)
	}
	fleet.Platform.ListNode(node.Node)
	return node
}

// Mix has every other node run an older build, whose programs are in a folder.
func (fleet *Fleet) Mix(older string) {
	for position, node := range fleet.Nodes() {
		if position%2 == 0 {
			node.binary = Program(older, node.Node.Kind)
		}
	}
}

// Stage makes the nodes run with a faulty disk and a faulty clock.
func (fleet *Fleet) Stage() {
	for _, node := range fleet.Nodes() {
		node.staged = true
	}
}

// Begin starts every node and waits until all are ready and every server has a
// part.
func (fleet *Fleet) Begin(patience time.Duration) error {
	for _, node := range fleet.Nodes() {
		if err := node.Begin(); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(patience); err != nil {
		return err
	}
	withheld, _ := fleet.extra["withhold_flags"].([]string)
	for _, node := range fleet.Nodes() {
		var flags []string
		for _, flag := range features.Supported(nil) {
			if !slices.Contains(withheld, string(flag)) {
				flags = append(flags, string(flag))
			}
		}
		fleet.Book.Note(Entry{Kind: MemberKnown, Holder: node.Node.Name, Flags: flags})
	}
	return nil
}

// Nodes lists expediters and couriers.
func (fleet *Fleet) Nodes() []*NodeProcess {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append(append([]*NodeProcess(nil), fleet.Controllers...), fleet.Routers...)
}

// Running lists the nodes of a kind, or of any, that have not ended.
func (fleet *Fleet) Running(kind membership.NodeKind) []*NodeProcess {
	var running []*NodeProcess
	for _, node := range fleet.Nodes() {
		if (kind == "" || node.Node.Kind == kind) && node.Running() {
			running = append(running, node)
		}
	}
	return running
}

// AwaitReady waits until every running node is ready and every server has a
// part.
func (fleet *Fleet) AwaitReady(patience time.Duration) error {
	missing := ""
	if Await(patience, func() bool {
		missing = ""
		for _, node := range fleet.Nodes() {
			if node.Running() && !node.Ready() {
				missing = node.Node.Name
				return false
			}
		}
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		for _, standIn := range fleet.standIns {
			if standIn.lifetime.Err() == nil && standIn.Part() == "" {
				missing = standIn.plan.Name
				return false
			}
		}
		return true
	}) {
		return nil
	}
	return failure.New(failure.Unreachable, "not ready in "+patience.String()+": "+missing)
}

// Await looks again and again until the condition holds or the patience ends.
func Await(patience time.Duration, condition func() bool) bool {
	ends := time.NewTimer(patience)
	defer ends.Stop()
	look := time.NewTicker(30 * time.Millisecond)
	defer look.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-ends.C:
			return false
		case <-look.C:
		}
	}
}

// Primary finds the expediter that leads at this moment, or nil.
func (fleet *Fleet) Primary() *NodeProcess {
	for _, node := range fleet.Nodes() {
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

// Replace starts a server in the place of one that crashed, cold.
func (fleet *Fleet) Replace(name string) error {
	fleet.mutex.Lock()
	plan, found := fleet.plans[name]
	for position, standIn := range fleet.standIns {
		if standIn.plan.Name == name {
			fleet.standIns = append(fleet.standIns[:position], fleet.standIns[position+1:]...)
			break
		}
	}
	fleet.mutex.Unlock()
	if !found {
		return failure.New(failure.NoSuch, "no server "+name)
	}
	_, err := fleet.AddServer(plan)
	return err
}

// ServerNames lists the stand-in servers.
func (fleet *Fleet) ServerNames() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var names []string
	for _, standIn := range fleet.standIns {
		names = append(names, standIn.plan.Name)
	}
	return names
}

// ServersOf lists the stand-in servers of a district.
func (fleet *Fleet) ServersOf(zone string) []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var names []string
	for _, standIn := range fleet.standIns {
		if standIn.plan.Zone == zone {
			names = append(names, standIn.plan.Name)
		}
	}
	return names
}

// Server finds a stand-in by name.
func (fleet *Fleet) Server(name string) *StandIn {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, standIn := range fleet.standIns {
		if standIn.plan.Name == name {
			return standIn
		}
	}
	return nil
}

// Close ends all nodes and stand-ins that this fleet started.
func (fleet *Fleet) Close() {
	for _, node := range fleet.Nodes() {
		node.Kill()
	}
	if fleet.Links != nil {
		fleet.Links.Close()
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, standIn := range fleet.standIns {
		standIn.end()
		_ = standIn.server.Close()
	}
	fleet.Platform.Close()
}

// Describe says where everything listens.
func (fleet *Fleet) Describe() string {
	text := fmt.Sprintf("deployment %s in %s\nplatform   %s\n", fleet.Deployment.Name, fleet.folder, fleet.Platform.Address())
	for _, node := range fleet.Nodes() {
		text += fmt.Sprintf("%-12s %s  district %s\n", node.Node.Name, node.Node.Address, node.Node.Zone)
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, standIn := range fleet.standIns {
		text += fmt.Sprintf("%-12s %s  district %s\n", standIn.plan.Name, standIn.Address(), standIn.plan.Zone)
	}
	return text
}

// CoreIsWhole tells whether the primary has a backup, and each keeper seat is
// held by a running expediter's present disk.
func (fleet *Fleet) CoreIsWhole() bool {
	primary := fleet.Primary()
	if primary == nil {
		return false
	}
	var status struct {
		Backup  struct{ Name string }
		Keepers []struct {
			Name     string
			Identity string
		}
		Incoming []struct{} `json:"incoming_keepers"`
	}
	if code, err := primary.ReadJSON("/v1/status", &status); err != nil || code != http.StatusOK {
		return false
	}
	if status.Backup.Name == "" || len(status.Incoming) > 0 || len(status.Keepers) != 3 {
		return false
	}
	for _, seat := range status.Keepers {
		alive := false
		for _, node := range fleet.Nodes() {
			var ready struct{ Identity string }
			if node.Node.Name == seat.Name && node.Running() {
				_, err := node.ReadJSON("/v1/ready", &ready)
				alive = err == nil && ready.Identity == seat.Identity
			}
		}
		if !alive {
			return false
		}
	}
	return true
}
