package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// freeAddress returns an address on which nothing listens. Its loopback IP is that of this process alone: at 127.0.0.1
// an outgoing connection of any process may get the port before the test listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// get sends a GET request and returns the response without its body.
func get(t *testing.T, address string) *http.Response {
	t.Helper()
	response, err := http.Get("http://" + address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

// TestRouterServesCallsAndReadinessChecks starts a router, gives it a configuration, a lease and a server, and
// drains it.
func TestRouterServesCallsAndReadinessChecks(t *testing.T) {
	nodeSettings := settings.Defaults(membership.Router)
	nodeSettings.Name, nodeSettings.Zone, nodeSettings.Address = "courier-1", "north", freeAddress(t)
	nodeSettings.CallsAddress, nodeSettings.ReadyAddress = freeAddress(t), freeAddress(t)
	nodeSettings.Seeds = []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	nodeSettings.Platform = freeAddress(t)
	process, err := Start(nodeSettings, daemon.Logger(io.Discard, "error", "courier-1"), osruntime.NewClock(), Ports{})
	if err != nil {
		t.Fatal(err)
	}
	// The router has no configuration, lease or servers yet: it is not ready and admits no call.
	if status := get(t, nodeSettings.ReadyAddress).StatusCode; status != http.StatusServiceUnavailable {
		t.Fatalf("before the configuration: got readiness status %d, want 503", status)
	}
	if response := get(t, nodeSettings.CallsAddress); response.StatusCode != http.StatusServiceUnavailable ||
		response.Header.Get("Retry-After") == "" {
		t.Fatalf("call before the configuration: got %+v, want status 503 with Retry-After", response)
	}
	process.proxy.calls.SetConfiguration(config.Empty(), replication.Version{Epoch: 1, Number: 1})
	process.proxy.calls.SetServing(time.Now().Add(time.Hour))
	process.proxy.calls.SetServers(time.Now(), []membership.Server{{Name: "stove-1", Address: freeAddress(t)}})
	if status := get(t, nodeSettings.ReadyAddress).StatusCode; status != http.StatusOK {
		t.Fatalf("after the configuration: got readiness status %d, want 200", status)
	}
	if response := get(t, nodeSettings.CallsAddress); response.StatusCode != http.StatusNotFound {
		t.Fatalf("call without a route: got %+v, want status 404", response)
	}
	if err := process.Drain(300 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", nodeSettings.CallsAddress); err == nil {
		t.Fatal("the address accepts connections after the process has ended")
	}
}

// oneRoute is a configuration with one route, for the host ask.example.
const oneRoute = `{"services":{"desk":{"engine":{"slots":64,"memory_tokens":295740}}},
"routes":{"held":{"match":{"host":"ask.example","path_prefix":"/"},
"calls":{"shares":[{"service":"desk","weight":1}],"limit_milliseconds":30000,"tries":1}}}}`

// TestDrainWaitsForCallsInFlight drains a router while a model server delays the response to a call: the call
// must be counted as in flight and must complete.
func TestDrainWaitsForCallsInFlight(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		close(received)
		<-release
		writer.Header().Set("Seamloom-Call", inbound.Header.Get("Seamloom-Call"))
		_, _ = io.WriteString(writer, "done")
	}))
	defer server.Close()
	nodeSettings := settings.Defaults(membership.Router)
	nodeSettings.Name, nodeSettings.Zone, nodeSettings.Address = "courier-1", "north", freeAddress(t)
	nodeSettings.CallsAddress, nodeSettings.ReadyAddress = freeAddress(t), freeAddress(t)
	nodeSettings.Seeds = []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	nodeSettings.Platform = freeAddress(t)
	var logged strings.Builder
	process, err := Start(nodeSettings, daemon.Logger(&logged, "info", "courier-1"), osruntime.NewClock(), Ports{})
	if err != nil {
		t.Fatal(err)
	}
	configuration, err := config.Check([]byte(oneRoute))
	if err != nil {
		t.Fatal(err)
	}
	process.proxy.calls.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: 1})
	process.proxy.calls.SetServing(time.Now().Add(time.Hour))
	process.proxy.calls.SetServers(time.Now(), []membership.Server{
		{Name: "stove-1", Address: strings.TrimPrefix(server.URL, "http://"), Service: "desk", Role: "decode", Slots: 64}})
	responses := make(chan string, 1)
	go func() {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+nodeSettings.CallsAddress+"/x", strings.NewReader("q"))
		outbound.Host = "ask.example"
		outbound.Header.Set("Seamloom-Call", "one")
		response, err := http.DefaultClient.Do(outbound)
		if err != nil {
			responses <- err.Error()
			return
		}
		content, _ := io.ReadAll(response.Body)
		responses <- string(content)
	}()
	<-received
	drained := make(chan error, 1)
	go func() { drained <- process.Drain(20 * time.Second) }()
	for !process.proxy.calls.Draining() {
		runtime.Gosched()
	}
	close(release)
	if got := <-responses; got != "done" {
		t.Errorf("the call in flight got the response %q, want \"done\"", got)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{`"msg":"draining","node":"courier-1","in_flight":1`, `"msg":"drained","node":"courier-1","in_flight":0`} {
		if !strings.Contains(logged.String(), line) {
			t.Errorf("the line %s is missing from the log:\n%s", line, logged.String())
		}
	}
}

// TestStartFailsWhenAnAddressIsInUse checks that a failed start returns an error and closes its listeners.
func TestStartFailsWhenAnAddressIsInUse(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	nodeSettings := settings.Defaults(membership.Router)
	nodeSettings.Name, nodeSettings.Zone, nodeSettings.Address = "courier-1", "north", freeAddress(t)
	nodeSettings.CallsAddress, nodeSettings.ReadyAddress = freeAddress(t), occupied.Addr().String()
	if _, err := Start(nodeSettings, daemon.Logger(io.Discard, "error", "courier-1"), osruntime.NewClock(), Ports{}); err == nil {
		t.Fatal("Start succeeded with an address that is in use, want an error")
	}
	if _, err := net.Dial("tcp", nodeSettings.CallsAddress); err == nil {
		t.Fatal("the address accepts connections although the process did not start")
	}
}
