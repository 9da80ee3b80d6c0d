package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/scheduler"
)

// callLog records the runs of calls on all servers.
type callLog struct {
	mutex sync.Mutex
	// counts maps the ID of each call to its number of runs.
	counts map[string]int
	// violations describe the calls that used the KV cache of another call.
	violations []string
}

func (l *callLog) recordRun(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[id]++
}

func (l *callLog) runCount(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts[id]
}

// eventCount is the number of events in the stream of a call.
const eventCount = 6

// newFaultyServer starts a model server with random faults, which the seed determines. The server records in log each
// call that it runs.
func newFaultyServer(t *testing.T, name, role string, log *callLog, seed uint64) *fakeServer {
	random := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	draw := func(limit int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(limit)
	}
	server := newFakeServer(t, nil)
	server.record.Name, server.record.Role, server.record.Service, server.record.Zone, server.record.Slots = name, role, "desk", "north", 64
	server.record.Models = []string{"m"}
	server.respond = func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		respond := func(text string) bool { connection.writeText(text); return true }
		switch {
		case inbound.Method == http.MethodDelete:
			return respond(responseText(200, id, ""))
		case inbound.Header.Get("Seamloom-Server") != name:
			return respond(responseText(421, id, ""))
		}
		behavior := draw(20)
		switch behavior {
		case 0:
			return respond(responseText(503, id, "full", "Seamloom-Not-Started: 1"))
		case 1:
			return respond(responseText(421, id, ""))
		case 2:
			// The connection fails before the call has started.
			connection.reset()
			return false
		}
		if inbound.Header.Get("Seamloom-Stage") != "" {
			switch behavior {
			case 3:
				return respond(responseText(500, id, "?"))
			case 4:
				connection.writeText(responseText(200, id, `{"handle":"h-`+id+`"}`)[:40])
				return false
			case 14:
				connection.writeText(closeDelimitedHead(id, "application/json") + `{"handle":"h-` + id + `"}`)
				return false
			case 15:
				connection.writeText(closeDelimitedHead(id, "application/json") + `{"handle":"h-` + id)
				return false
			}
			return respond(responseText(200, id, `{"handle":"h-`+id+`"}`))
		}
		if source := inbound.Header.Get("Seamloom-Source"); source != "" && !strings.HasSuffix(source, "/h-"+id) {
			log.mutex.Lock()
			log.violations = append(log.violations, id+" decodes from the KV cache of "+source)
			log.mutex.Unlock()
		}
		log.recordRun(id)
		first, _ := strconv.Atoi(inbound.Header.Get("Last-Event-Id"))
		text := streamHead(id)
		events := ""
		for number := first + 1; number <= eventCount; number++ {
			event := "id: " + strconv.Itoa(number) + "\ndata: " + id + " event " + strconv.Itoa(number) + "\n\n"
			text += chunk(event)
			events += event
		}
		text += "0\r\n\r\n"
		switch behavior {
		case 3:
			return respond(responseText(500, id, "oops"))
		case 4:
			connection.reset()
			return false
		case 5:
			connection.writeText(text[:draw(len(text))])
			return false
		case 6:
			connection.writeText(text[:draw(len(text))])
			connection.reset()
			return false
		case 7:
			return respond("\x16\x03 garbage \r\n\r\n" + text)
		case 8:
			return respond(text + "and more")
		case 9:
			return respond(text + text)
		case 10:
			connection.writeText(text)
			return false
		case 11:
			connection.writeText(text)
			// The response is sent a second time, possibly when the router waits for the response to the next call.
			go func() { connection.writeText(text) }()
			return true
		case 12:
			connection.writeText(responseText(200, "another", "not yours"))
			return true
		case 13:
			middle := draw(len(text))
			connection.writeText(text[:middle])
			time.Sleep(time.Millisecond)
			return respond(text[middle:])
		case 14:
			connection.writeText(closeDelimitedStream(id) + events)
			return false
		case 15:
			// The connection ends within an event.
			cut := draw(len(events) + 1)
			for cut > 0 && strings.HasSuffix(events[:cut], "\n\n") {
				cut--
			}
			connection.writeText(closeDelimitedStream(id) + events[:cut])
			return false
		case 16:
			connection.writeText(closeDelimitedStream(id))
			return false
		}
		return respond(text)
	}
	return server
}

// TestNoCallRunsTwiceAndNoResponseIsMixedUp sends calls through a router to faulty servers, and
// compares the clients' responses with the servers' runs. A call of the route "once" may run at most
// once, and no client may get the response of another call.
func TestNoCallRunsTwiceAndNoResponseIsMixedUp(t *testing.T) {
	seeds := 6
	if text := os.Getenv("SEAMLOOM_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { sendCallsToFaultyFleet(t, uint64(seed), 150, newFaultyServer) })
	}
}

// newServerWithoutHandles starts a model server whose decode side turns every second call with a KV cache away, since its
// handle has lapsed, and sends a copy of that answer in the place of the next one on the connection.
func newServerWithoutHandles(t *testing.T, name, role string, log *callLog, _ uint64) *fakeServer {
	var turnedAway atomic.Int64
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		connection.writeText(connection.late)
		connection.late = ""
		switch {
		case inbound.Method == http.MethodDelete:
			connection.writeText(responseText(200, id, ""))
		case inbound.Header.Get("Seamloom-Stage") != "":
			connection.writeText(responseText(200, id, `{"handle":"h-`+id+`"}`))
		case inbound.Header.Get("Seamloom-Source") != "" && turnedAway.Add(1)%2 == 0:
			connection.late = responseText(503, id, "the handle has lapsed", "Seamloom-Not-Started: 1")
			connection.writeText(connection.late)
		default:
			log.recordRun(id)
			connection.writeText(streamHead(id))
			for number := 1; number <= eventCount; number++ {
				connection.writeText(chunk("id: " + strconv.Itoa(number) + "\ndata: " + id + " event " + strconv.Itoa(number) + "\n\n"))
			}
			connection.writeText("0\r\n\r\n")
		}
		return true
	})
	server.record.Name, server.record.Role, server.record.Service, server.record.Zone, server.record.Slots = name, role, "desk", "north", 64
	server.record.Models = []string{"m"}
	return server
}

// TestCallIsNotRefusedWhileItRuns guards against a refusal, or a second run, of a call that a server runs: its handle had
// lapsed, and a late copy of that answer was taken for the answer to its second sending.
func TestCallIsNotRefusedWhileItRuns(t *testing.T) {
	for seed := range 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { sendCallsToFaultyFleet(t, uint64(seed), 150, newServerWithoutHandles) })
	}
}

// sendCallsToFaultyFleet sends count calls from four clients to four faulty servers. At least a
// third of the calls must be served.
func sendCallsToFaultyFleet(t *testing.T, seed uint64, count int,
	newServer func(t *testing.T, name, role string, log *callLog, seed uint64) *fakeServer) {
	log := &callLog{counts: map[string]int{}}
	var servers []membership.Server
	for number := range 4 {
		role := map[bool]string{true: "prefill", false: "decode"}[number < 2]
		servers = append(servers, newServer(t, fmt.Sprint("server-", number), role, log, seed*10+uint64(number)).record)
	}
	address, callScheduler := startCalls(t, servers, scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second})
	var complete, started atomic.Int64
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				number := int(started.Add(1)) - 1
				if number >= count {
					return
				}
				route := map[bool]string{true: "once", false: "again"}[number%2 == 0]
				id := fmt.Sprintf("%s-%d-%d", route, seed, number)
				if sendCall(t, address, route, id, log) {
					complete.Add(1)
				}
			}
		})
	}
	clients.Wait()
	if len(log.violations) > 0 {
		t.Fatal(log.violations)
	}
	if complete.Load() < int64(count/3) {
		t.Fatalf("%d of %d calls were served, want at least a third", complete.Load(), count)
	}
	waitUntil(t, "no call is in flight", func() bool { return callScheduler.InFlight() == 0 })
}

// startCalls starts a router with its own scheduler for calls to the servers, and returns its address.
func startCalls(t *testing.T, servers []membership.Server, retries scheduler.RetryAllowance) (address string, calls *scheduler.Scheduler) {
	ctx, cancel := context.WithCancel(t.Context())
	rt := osruntime.New(ctx, osruntime.NewClock())
	pool := NewPool(nil)
	callScheduler := scheduler.New(scheduler.Options{Router: "courier-1", Zone: "north", Retries: retries})
	service := dataplane.NewCalls(rt, callScheduler, pool.SetServers)
	service.SetConfiguration(twoRoutes(), replication.Version{Epoch: 1, Number: 1})
	service.SetRouters(1)
	service.SetServers(rt.Now(), servers)
	handler, err := NewHandler(ctx, DefaultProtocol(), pool, service, rt.Now)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	owner := &tomb.Tomb{}
	owner.Go(func() error { _ = server.Serve(listener); return nil })
	t.Cleanup(func() { cancel(); _ = server.Close(); owner.Kill(nil); _ = owner.Wait() })
	return listener.Addr().String(), callScheduler
}

// sendCall sends one call and compares the response with what the servers ran. It reports whether
// the response was complete.
func sendCall(t *testing.T, address, route, id string, log *callLog) bool {
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader("body of "+id))
	outbound.Host = "calls.example"
	for name, value := range map[string]string{"Seamloom-Call": id, "Seamloom-Limit-Milliseconds": "2000",
		"Seamloom-Model": "m", "Seamloom-Tokens": "9000,6", "Seamloom-Parts": "1:5000,2:3000,3:1000"} {
		outbound.Header.Set(name, value)
	}
	got := send(outbound)
	runs := log.runCount(id)
	text := string(got.body)
	switch {
	case route == "once" && runs > 1:
		t.Errorf("call %s ran %d times, want at most once", id, runs)
	case got.failure == nil && got.status == 200:
		var expected string
		for number := 1; number <= eventCount; number++ {
			expected += "id: " + strconv.Itoa(number) + "\ndata: " + id + " event " + strconv.Itoa(number) + "\n\n"
		}
		if text != expected || got.header.Get("X-Seal") != "seal-"+id {
			t.Errorf("call %s: got body %q and headers %v, want body %q", id, text, got.header, expected)
		}
		return true
	case got.failure == nil && impliesNotRun(got.status):
		if runs > 0 {
			t.Errorf("call %s: the status says that the call did not run, but it ran %d times: %+v", id, runs, got)
		}
	case got.failure == nil && strings.Contains(got.header.Get("X-Seal"), "seal-") && got.header.Get("X-Seal") != "seal-"+id:
		t.Errorf("call %s got the response of another call: %+v", id, got)
	}
	if text != "" && got.status == 200 && !strings.Contains(text, id) {
		t.Errorf("call %s: got body %q, which lacks the call's ID", id, text)
	}
	return false
}

// twoRoutes returns a configuration with two routes: calls of "once" may run only once, and streams
// of "again" may be resumed at another server.
func twoRoutes() *config.Configuration {
	configuration := config.Empty()
	configuration.Services = map[string]config.Service{"desk": {Name: "desk", Connections: 300, Engine: config.Engine{
		Slots: 64, MemoryTokens: 300_000, TokenBytes: 18_000,
		LinkBitsPerSecond: 5e11, TokensPerChunk: 5, HandleLifetime: 5 * time.Second, Models: []string{"m"}}}}
	shares := []config.Share{{Service: "desk", Weight: 1}}
	configuration.Routes = []config.Route{
		{Name: "once", Match: config.Match{Host: "calls.example", PathPrefix: "/once/"},
			Calls: &config.CallRoute{Shares: shares, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 3,
				Streams: true}},
		{Name: "again", Match: config.Match{Host: "calls.example", PathPrefix: "/again/"},
			Calls: &config.CallRoute{Shares: shares, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 3,
				Streams: true, Resumable: true}},
	}
	return configuration
}

// TestDrainingUnderTraffic drains a router under load: each call that a server got must be served completely, and
// the router must refuse further calls with Retry-After or close their connections.
func TestDrainingUnderTraffic(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		connection.writeText(streamHead(id) + chunk(event(1)))
		time.Sleep(30 * time.Millisecond)
		connection.writeText(chunk(event(2)) + "0\r\n\r\n")
		return true
	})
	server.record.Service, server.record.Slots, server.record.Models = "desk", 64, []string{"m"}
	owner := &tomb.Tomb{}
	rt := osruntime.New(owner.Context(context.Background()), osruntime.NewClock())
	pool := NewPool(nil)
	calls := dataplane.NewCalls(rt, scheduler.New(scheduler.Options{Router: "courier-1", Zone: "north"}), pool.SetServers)
	calls.SetConfiguration(twoRoutes(), replication.Version{Epoch: 1, Number: 1})
	calls.SetRouters(1)
	calls.SetServers(rt.Now(), []membership.Server{server.record})
	handler, err := NewHandler(owner.Context(context.Background()), DefaultProtocol(), pool, calls, rt.Now)
	if err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	frontend, err := Listen(owner, handler, address, "")
	if err != nil {
		t.Fatal(err)
	}
	var mutex sync.Mutex
	counts := map[string]int{}
	increment := func(outcome string) {
		mutex.Lock()
		defer mutex.Unlock()
		counts[outcome]++
	}
	var clients sync.WaitGroup
	for number := range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for call := 0; ; call++ {
				id := fmt.Sprintf("%d-%d", number, call)
				outbound, _ := http.NewRequest(http.MethodPost, "http://"+address+"/once/x", strings.NewReader("x"))
				outbound.Host = "calls.example"
				outbound.Header.Set("Seamloom-Call", id)
				outbound.Header.Set("Seamloom-Limit-Milliseconds", "2000")
				outbound.Header.Set("Seamloom-Model", "m")
				outbound.Header.Set("Seamloom-Tokens", "10,2")
				response, err := client.Do(outbound)
				if err != nil {
					if server.received(id) {
						increment("cut: " + err.Error())
					}
					increment("disconnected")
					return
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				switch {
				case response.StatusCode == 200 && err == nil && string(body) == joinedEvents(1, 2):
					increment("served")
				case response.StatusCode == 503 && response.Header.Get("Retry-After") != "":
					increment("refused")
					if server.received(id) {
						increment("cut: refused after it was sent")
					}
				default:
					increment(fmt.Sprintf("cut: %d %v %q", response.StatusCode, err, body))
				}
			}
		})
	}
	waitUntil(t, "calls are served", func() bool { return server.count() > 40 })
	calls.Shutdown(1500*time.Millisecond, func() {})
	frontend.Close()
	owner.Kill(nil)
	_ = owner.Wait()
	clients.Wait()
	for outcome, count := range counts {
		if strings.HasPrefix(outcome, "cut") {
			t.Errorf("outcome %q: got %d, want 0", outcome, count)
		}
	}
	if counts["served"] < 40 || counts["disconnected"] != 8 {
		t.Errorf("got outcomes %v, want at least 40 served and 8 disconnected", counts)
	}
}
