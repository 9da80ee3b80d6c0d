package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/rehearsal"
	"seamloom.example/seamloom/internal/scheduler"
)

// watched is how long a fleet over loopback is looked at.
var watched = 6 * time.Second

// FleetActivities are measured with real processes, whose programs are in a folder.
//
// Example:
//
//	activities := append(capacity.Activities(), capacity.FleetActivities("bin")...)
func FleetActivities(binaries string) []Activity {
	return []Activity{
		{Role: primaryRole, Name: "whole role over loopback, no servers", Dimensions: []Dimension{Nodes}, Measure: func(sizes Sized, note Note) error {
			sizes[Servers] = 0
			return measureFleet(binaries, sizes, note)
		}},
		{Role: primaryRole, Name: "whole role over loopback, nodes that take calls", Dimensions: []Dimension{Servers}, Measure: func(sizes Sized, note Note) error { return measureFleet(binaries, sizes, note) }},
		{Role: courierRole, Name: "whole process over loopback, no traffic", Dimensions: []Dimension{Servers}, Measure: func(sizes Sized, note Note) error { return measureCourier(binaries, sizes, note) }},
	}
}

// hollowLine is the hotline of one hollow courier over loopback; it counts bodies.
type hollowLine struct {
	rpc.Line
	messages *atomic.Int64
	bytes    *atomic.Int64
}

// CallRaw calls and counts.
func (line hollowLine) CallRaw(address, path string, body []byte, patience time.Duration) ([]byte, error) {
	answer, err := line.Line.CallRaw(address, path, body, patience)
	line.messages.Add(1)
	line.bytes.Add(int64(len(body) + len(answer)))
	return answer, err
}

// hollowFleet is a core of real expediters with hollow couriers before it.
type hollowFleet struct {
	*rehearsal.Fleet
	end      context.CancelFunc
	turns    lease.Turns
	couriers []*hatch.Courier
	messages atomic.Int64
	bytes    atomic.Int64
}

// newFleet starts real expediters and, in this process, so many hollow couriers.
func newFleet(binaries string, couriers, servers, realCouriers int) (*hollowFleet, error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, failure.Wrap(failure.Disk, err)
	}
	deployment := rehearsal.Sahil()
	deployment.Couriers, deployment.Servers = realCouriers, servers
	laid, err := rehearsal.NewFleet(deployment, folder, binaries, map[string]any{"flag_settle_milliseconds": 500, "log_level": "warn"})
	if err != nil {
		return nil, err
	}
	lifetime, end := context.WithCancel(context.Background())
	fleet := &hollowFleet{Fleet: laid, end: func() { end(); laid.Close(); _ = os.RemoveAll(folder) }}
	for _, node := range laid.Nodes() {
		if err := node.Begin(); err != nil {
			fleet.end()
			return nil, err
		}
	}
	if !rehearsal.Await(formPatience, func() bool { return laid.Primary() != nil }) {
		fleet.end()
		return nil, failure.New(failure.NoPrimary, "no primary came up")
	}
	var seeds []string
	for _, node := range laid.Expediters {
		seeds = append(seeds, node.Node.Address)
	}
	fleet.turns = threads.New(lifetime, wallclock.New())
	for position, member := range membersOf(couriers) {
		line := hollowLine{Line: rpc.Line{Caller: rpc.NewCaller(nil), Lifetime: lifetime}, messages: &fleet.messages, bytes: &fleet.bytes}
		conduct := hatch.NewCourier(fleet.turns, line, hollowStove{}, &takenOver{}, hatch.CourierOptions{Options: seamloom.Options{Courier: member.Name, District: member.District, Supported: formats.Supported(nil)},
			Address: member.Address, Seeds: seeds, Nonce: uuid.NewString, Ended: func(*pass.Inquiry, pass.Decision) {}, Directory: noList{},
			Board: boardOf(fleet.turns)}, func(string, ...any) {})
		laid.Platform.ListNode(membership.Node{Name: member.Name, Kind: membership.Courier, Address: member.Address, District: member.District})
		fleet.couriers = append(fleet.couriers, conduct)
		// Only the news is followed: ticks and crumbs cost without it.
		follow := conduct.Rounds()[2]
		fleet.turns.Go(func() {
			// They don't come all in one moment.
			lease.Pause(fleet.turns, time.Duration(position)*2*time.Millisecond)
			follow()
		})
	}
	if !rehearsal.Await(formPatience, fleet.held) {
		fleet.end()
		return nil, failure.New(failure.NoHold, "the hollow couriers have no holds")
	}
	return fleet, nil
}

// held tells whether every hollow courier has a hold.
func (fleet *hollowFleet) held() bool {
	for _, courier := range fleet.couriers {
		if !fleet.turns.Now().Before(courier.Core().HoldEnds()) {
			return false
		}
	}
	return true
}

// ask has the primary answer an operator and reads what it says, within the patience.
func (fleet *hollowFleet) ask(method, path, body string, target any) (time.Duration, error) {
	began := time.Now()
	primary := fleet.Primary()
	if primary == nil {
		return 0, failure.New(failure.NoPrimary, "the primary is gone")
	}
	outbound, err := http.NewRequest(method, "http://"+primary.Node.Address+path, strings.NewReader(body))
	if err != nil {
		return 0, failure.Wrap(failure.Garbage, err)
	}
	outbound.Header.Set("Content-Type", "application/json")
	inbound, err := operator.Do(outbound)
	if err != nil {
		return 0, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		return 0, failure.New(failure.Unknown, method+" "+path+" was answered with status "+strconv.Itoa(inbound.StatusCode))
	}
	return time.Since(began), failure.Wrap(failure.Garbage, json.NewDecoder(inbound.Body).Decode(target))
}

var operator = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// put replaces the configuration.
func (fleet *hollowFleet) put(text []byte) error {
	var read struct {
		Version string `json:"version"`
	}
	if _, err := fleet.ask(http.MethodGet, "/v1/configuration", "", &read); err != nil {
		return err
	}
	var said any
	_, err := fleet.ask(http.MethodPut, "/v1/configuration?expected="+read.Version, string(text), &said)
	return err
}

// change has the primary take a small change, which it answers when it is in force at
// every courier.
func (fleet *hollowFleet) change(name string, number int) (time.Duration, error) {
	method, body := http.MethodPost, `{"reason":"capacity"}`
	if number%2 == 1 {
		method, body = http.MethodDelete, ""
	}
	var said any
	return fleet.ask(method, "/v1/evacuations/"+name, body, &said)
}

// measureFleet looks at a core that hollow couriers follow: at rest, under single
// changes, and under changes without pause.
func measureFleet(binaries string, sizes Sized, note Note) error {
	fleet, err := newFleet(binaries, sizes[Nodes], sizes[Servers], 0)
	if err != nil {
		return err
	}
	defer fleet.end()
	if err := fleet.put(Configuration(sizes, 1)); err != nil {
		return err
	}
	lease.Pause(fleet.turns, 2*time.Second)
	look := func(of string, act func() error) error {
		primary := fleet.Primary()
		if primary == nil {
			return failure.New(failure.NoPrimary, "the primary is gone")
		}
		var before []consumption
		for _, node := range fleet.Expediters {
			used, err := consumed(node.Number())
			if err != nil {
				return err
			}
			before = append(before, used)
		}
		own, messages, bytes, began := processTime(), fleet.messages.Load(), fleet.bytes.Load(), time.Now()
		if err := act(); err != nil {
			return err
		}
		took := time.Since(began)
		note("messages to the primary, "+of, "a second", float64(fleet.messages.Load()-messages)/took.Seconds())
		note("bytes of a courier's messages, "+of, "B a second", float64(fleet.bytes.Load()-bytes)/took.Seconds()/float64(sizes[Nodes]))
		if sizes[Servers] == 0 {
			// The stand-in servers are in this process too.
			note("processor of a hollow courier, "+of, "% of a core", 100*float64(processTime()-own)/float64(took)/float64(sizes[Nodes]))
		}
		for position, node := range fleet.Expediters {
			used, err := consumed(node.Number())
			if err != nil {
				return err
			}
			switch {
			case node == primary:
				noteProcess(note, "primary "+of, before[position], used)
			case position == len(fleet.Expediters)-1 || fleet.Expediters[len(fleet.Expediters)-1] == primary && position == len(fleet.Expediters)-2:
				noteProcess(note, "other "+of, before[position], used)
			}
		}
		return nil
	}
	if err := look("at rest", func() error { lease.Pause(fleet.turns, watched); return nil }); err != nil {
		return err
	}
	var took, worst time.Duration
	const changes = 15
	for number := range changes {
		length, err := fleet.change("nowhere", number)
		if err != nil {
			return err
		}
		took += length
		worst = max(worst, length)
	}
	note("time until a change is in force everywhere", "ms", float64(took.Microseconds())/1000/changes)
	note("time until a change is in force everywhere, longest of fifteen", "ms", float64(worst.Microseconds())/1000)
	var accepted atomic.Int64
	err = look("in a storm of eight operators", func() error {
		ends := time.Now().Add(watched)
		var working sync.WaitGroup
		for operator := range 8 {
			working.Go(func() {
				for number := 0; time.Now().Before(ends); number++ {
					if _, err := fleet.change("nowhere-"+strconv.Itoa(operator), number); err == nil {
						accepted.Add(1)
					}
				}
			})
		}
		working.Wait()
		return nil
	})
	note("changes accepted in a storm of eight operators", "a second", float64(accepted.Load())/watched.Seconds())
	return err
}

// measureCourier looks at one real courier before stand-in servers, without traffic.
func measureCourier(binaries string, sizes Sized, note Note) error {
	fleet, err := newFleet(binaries, 0, sizes[Servers], 1)
	if err != nil {
		return err
	}
	defer fleet.end()
	courier := fleet.Couriers[0]
	if !rehearsal.Await(formPatience, courier.Ready) {
		return failure.New(failure.NoHold, "the courier is not ready")
	}
	lease.Pause(fleet.turns, 3*time.Second)
	before, err := consumed(courier.Number())
	if err != nil {
		return err
	}
	lease.Pause(fleet.turns, watched)
	after, err := consumed(courier.Number())
	if err != nil {
		return err
	}
	noteProcess(note, "courier", before, after)
	return nil
}

// BinariesBeside is the folder of this program, in which the others lie too, if they
// do.
//
// Example:
//
//	binaries, found := capacity.BinariesBeside()
func BinariesBeside() (string, bool) {
	own, err := os.Executable()
	if err != nil {
		return "", false
	}
	folder := filepath.Dir(own)
	for _, name := range []string{"courier", "expediter"} {
		if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
			return "", false
		}
	}
	return folder, true
}

// boardOf makes the conduct of calls over a core's window, without circuits.
func boardOf(turns lease.Turns) func(deciding *scheduler.Window) hatch.Board {
	return func(deciding *scheduler.Window) hatch.Board {
		return hatch.NewCalls(turns, deciding, func([]membership.Server) {})
	}
}

// hollowStove is model servers that do nothing.
type hollowStove struct{}

// Prefill does nothing.
func (hollowStove) Prefill(pass.Decision, func() bool) (pass.Outcome, string, string) {
	return pass.NotStarted, "", "hollow"
}

// Decode does nothing.
func (hollowStove) Decode(pass.Decision, func() bool, func(int, string)) (pass.Outcome, int, string) {
	return pass.NotStarted, 0, "hollow"
}

// Command does nothing.
func (hollowStove) Command(pass.Decision, func() bool) error { return nil }

// Cancel does nothing.
func (hollowStove) Cancel(pass.Decision) {}

// EndRun does nothing.
func (hollowStove) EndRun(string, int) {}
