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

// ledger is what servers did, by the id of each call.
type callLog struct {
	mutex sync.Mutex
	ran   map[string]int
	wrong []string
}

func (l *callLog) run(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ran[id]++
}

func (l *callLog) runs(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ran[id]
}

const chunks = 6

// unruly is a model server that misbehaves by a seed.
func unruly(t *testing.T, name, part string, l *callLog, seed uint64) *standin {
	chance := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	draw := func(most int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return chance.IntN(most)
	}
	server := newStandin(t, nil)
	server.server.Name, server.server.Part, server.server.Service, server.server.Zone, server.server.Slots = name, part, "desk", "north", 64
	server.server.Models = []string{"m"}
	server.act = func(connection *callerConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		a := func(text string) bool { connection.say(text); return true }
		switch {
		case inbound.Method == http.MethodDelete:
			return a(whole(200, id, ""))
		case inbound.Header.Get("Seamloom-Server") != name:
			return a(whole(421, id, ""))
		}
		kind := draw(20)
		switch kind {
		case 0:
			return a(whole(503, id, "full", "Seamloom-Not-Started: 1"))
		case 1:
			return a(whole(421, id, ""))
		case 2:
			// Dropped before it began.
			connection.reset()
			return false
		}
		if inbound.Header.Get("Seamloom-Stage") != "" {
			switch kind {
			case 3:
				return a(whole(500, id, "?"))
			case 4:
				connection.say(whole(200, id, `{"handle":"h-`+id+`"}`)[:40])
				return false
			}
			return a(whole(200, id, `{"handle":"h-`+id+`"}`))
		}
		if source := inbound.Header.Get("Seamloom-Source"); source != "" && !strings.HasSuffix(source, "/h-"+id) {
			l.mutex.Lock()
			l.wrong = append(l.wrong, id+" goes on from "+source)
			l.mutex.Unlock()
		}
		l.run(id)
		first, _ := strconv.Atoi(inbound.Header.Get("Last-Event-Id"))
		text := stream(id)
		for piece := first + 1; piece <= chunks; piece++ {
			text += chunk("id: " + strconv.Itoa(piece) + "\ndata: " + id + " piece " + strconv.Itoa(piece) + "\n\n")
		}
		text += "0\r\n\r\n"
		switch kind {
		case 3:
			return a(whole(500, id, "oops"))
		case 4:
			connection.reset()
			return false
		case 5:
			connection.say(text[:draw(len(text))])
			return false
		case 6:
			connection.say(text[:draw(len(text))])
			connection.reset()
			return false
		case 7:
			return a("\x16\x03 garbage \r\n\r\n" + text)
		case 8:
			return a(text + "and more")
		case 9:
			return a(text + text)
		case 10:
			connection.say(text)
			return false
		case 11:
			connection.say(text)
			// A late second answer, in the place of the next.
			go func() { connection.say(text) }()
			return true
		case 12:
			connection.say(whole(200, "another", "not yours"))
			return true
		case 13:
			middle := draw(len(text))
			connection.say(text[:middle])
			time.Sleep(time.Millisecond)
			return a(text[middle:])
		}
		return a(text)
	}
	return server
}

// TestNothingRunsTwiceAndNothingIsMixed sends calls through a router to servers that
// misbehave at every cut, by a seed, and holds what origins got against what ran.
func TestNothingRunsTwiceAndNothingIsMixed(t *testing.T) {
	seeds := 6
	if text := os.Getenv("SEAMLOOM_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { sendFleet(t, uint64(seed), 150) })
	}
}

func sendFleet(t *testing.T, seed uint64, count int) {
	l := &callLog{ran: map[string]int{}}
	var servers []membership.Server
	for number := range 4 {
		part := map[bool]string{true: "prefill", false: "decode"}[number < 2]
		servers = append(servers, unruly(t, fmt.Sprint("life-", number), part, l, seed*10+uint64(number)).server)
	}
	configuration := twoRoutes()
	ctx, cancel := context.WithCancel(t.Context())
	rt := osruntime.New(ctx, osruntime.NewClock())
	connections := NewPool(nil)
	deciding := scheduler.New(scheduler.Options{Router: "courier-1", Zone: "north", Retries: scheduler.RetryAllowance{Ratio: 5, Slack: 1000, Window: time.Second}})
	conduct := dataplane.NewCalls(rt, deciding, connections.SetServers)
	conduct.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: 1})
	conduct.SetRouters(1)
	conduct.SetServers(rt.Now(), servers)
	handler, err := NewHandler(ctx, DefaultProtocol(), connections, conduct, rt.Now)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	owner := tomb.Tomb{}
	owner.Go(func() error { _ = server.Serve(listener); return nil })
	defer func() { cancel(); _ = server.Close(); owner.Kill(nil); _ = owner.Wait() }()
	var complete, taken atomic.Int64
	var origins sync.WaitGroup
	for range 4 {
		origins.Go(func() {
			for {
				number := int(taken.Add(1)) - 1
				if number >= count {
					return
				}
				route := map[bool]string{true: "once", false: "again"}[number%2 == 0]
				id := fmt.Sprintf("%s-%d-%d", route, seed, number)
				if sendCall(t, listener.Addr().String(), route, id, l) {
					complete.Add(1)
				}
			}
		})
	}
	origins.Wait()
	if len(l.wrong) > 0 {
		t.Fatal(l.wrong)
	}
	if complete.Load() < int64(count/3) {
		t.Fatalf("only %d of %d calls were complete", complete.Load(), count)
	}
	until(t, "no call is left", func() bool { return deciding.InFlight() == 0 })
}

// sendCall sends one call and holds what its origin got against what ran; it tells
// whether the answer was complete.
func sendCall(t *testing.T, address, route, id string, l *callLog) bool {
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader("body of "+id))
	outbound.Host = "calls.example"
	for name, value := range map[string]string{"Seamloom-Call": id, "Seamloom-Limit-Milliseconds": "2000", "Seamloom-Model": "m", "Seamloom-Tokens": "9000,6",
		"Seamloom-Parts": "1:5000,2:3000,3:1000"} {
		outbound.Header.Set(name, value)
	}
	got := send(outbound)
	runs := l.runs(id)
	text := string(got.body)
	switch {
	case route == "once" && runs > 1:
		t.Errorf("%s ran %d times", id, runs)
	case got.failure == nil && got.status == 200:
		var expected string
		for chunk := 1; chunk <= chunks; chunk++ {
			expected += "id: " + strconv.Itoa(chunk) + "\ndata: " + id + " piece " + strconv.Itoa(chunk) + "\n\n"
		}
		if text != expected || got.header.Get("X-Seal") != "seal-"+id {
			t.Errorf("%s got %q, %v", id, text, got.header)
		}
		return true
	case got.failure == nil && impliesNotRun(got.status):
		if runs > 0 {
			t.Errorf("%s was promised not to have run and ran %d times: %+v", id, runs, got)
		}
	case got.failure == nil && strings.Contains(got.header.Get("X-Seal"), "seal-") && got.header.Get("X-Seal") != "seal-"+id:
		t.Errorf("%s got another's answer: %+v", id, got)
	}
	if text != "" && got.status == 200 && !strings.Contains(text, id) {
		t.Errorf("%s got %q", id, text)
	}
	return false
}

// twoRoutes is a configuration with a route of calls that may run once and one of
// streams that may go on elsewhere.
func twoRoutes() *config.Configuration {
	configuration := config.Empty()
	configuration.Services = map[string]config.Service{"desk": {Name: "desk", Connections: 300, Engine: config.Engine{Slots: 64, MemoryTokens: 300_000, TokenBytes: 18_000,
		LinkBitsPerSecond: 5e11, TokensPerChunk: 5, HandleLifetime: 5 * time.Second, Models: []string{"m"}}}}
	shares := []config.Share{{Service: "desk", Weight: 1}}
	configuration.Routes = []config.Route{
		{Name: "once", Match: config.Match{Host: "calls.example", PathPrefix: "/once/"}, Calls: &config.CallRoute{Shares: shares, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 3, Streams: true}},
		{Name: "again", Match: config.Match{Host: "calls.example", PathPrefix: "/again/"}, Calls: &config.CallRoute{Shares: shares, Timeout: 3 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 3, Streams: true, Resumable: true}},
	}
	return configuration
}

// TestLeavingUnderTraffic: while a router leaves, no call that was read is cut, and
// after it takes no more, origins are told when to come back.
func TestLeavingUnderTraffic(t *testing.T) {
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		connection.say(stream(id) + chunk(event(1)))
		time.Sleep(30 * time.Millisecond)
		connection.say(chunk(event(2)) + "0\r\n\r\n")
		return true
	})
	s.server.Service, s.server.Slots, s.server.Models = "desk", 64, []string{"m"}
	owner := &tomb.Tomb{}
	rt := osruntime.New(owner.Context(context.Background()), osruntime.NewClock())
	connections := NewPool(nil)
	conduct := dataplane.NewCalls(rt, scheduler.New(scheduler.Options{Router: "courier-1", Zone: "north"}), connections.SetServers)
	conduct.SetConfiguration(twoRoutes(), replication.Version{Epoch: 1, Number: 1})
	conduct.SetRouters(1)
	conduct.SetServers(rt.Now(), []membership.Server{s.server})
	handler, err := NewHandler(owner.Context(context.Background()), DefaultProtocol(), connections, conduct, rt.Now)
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
	note := func(what string) {
		mutex.Lock()
		defer mutex.Unlock()
		counts[what]++
	}
	var origins sync.WaitGroup
	for number := range 8 {
		origins.Go(func() {
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
				inbound, err := client.Do(outbound)
				if err != nil {
					if s.saw(id) {
						note("cut: " + err.Error())
					}
					note("away")
					return
				}
				body, err := io.ReadAll(inbound.Body)
				_ = inbound.Body.Close()
				switch {
				case inbound.StatusCode == 200 && err == nil && string(body) == joined(1, 2):
					note("served")
				case inbound.StatusCode == 503 && inbound.Header.Get("Retry-After") != "":
					note("refused")
					if s.saw(id) {
						note("cut: refused after it was sent")
					}
				default:
					note(fmt.Sprintf("cut: %d %v %q", inbound.StatusCode, err, body))
				}
			}
		})
	}
	until(t, "calls are served", func() bool { return s.count() > 40 })
	conduct.Retire(1500*time.Millisecond, func() {})
	frontend.Close()
	owner.Kill(nil)
	_ = owner.Wait()
	origins.Wait()
	for what, count := range counts {
		if strings.HasPrefix(what, "cut") {
			t.Errorf("%s: %d times", what, count)
		}
	}
	if counts["served"] < 40 || counts["away"] != 8 {
		t.Error(counts)
	}
}
