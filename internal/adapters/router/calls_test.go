package router

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func get(t *testing.T, address string) *http.Response {
	t.Helper()
	inbound, err := http.Get("http://" + address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = inbound.Body.Close()
	return inbound
}

func TestARouterServesCallsAndSaysWhenItIsReady(t *testing.T) {
	chosen := settings.Defaults(membership.Router)
	chosen.Name, chosen.Zone, chosen.Address = "courier-1", "north", freeAddress(t)
	chosen.CallsAddress, chosen.ReadyAddress = freeAddress(t), freeAddress(t)
	chosen.Seeds = []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	chosen.Platform = freeAddress(t)
	process, err := Start(chosen, daemon.Logger(io.Discard, "error", "courier-1"), osruntime.NewClock(), Ports{})
	if err != nil {
		t.Fatal(err)
	}
	// Nothing is known yet: not ready, and no call is admitted.
	if status := get(t, chosen.ReadyAddress).StatusCode; status != http.StatusServiceUnavailable {
		t.Fatalf("ready with %d", status)
	}
	if inbound := get(t, chosen.CallsAddress); inbound.StatusCode != http.StatusServiceUnavailable || inbound.Header.Get("Retry-After") == "" {
		t.Fatalf("%+v", inbound)
	}
	process.proxy.calls.SetConfiguration(config.Empty(), replication.Version{Epoch: 1, Number: 1})
	process.proxy.calls.SetServing(time.Now().Add(time.Hour))
	process.proxy.calls.SetServers(time.Now(), []membership.Server{{Name: "stove-1", Address: freeAddress(t)}})
	if status := get(t, chosen.ReadyAddress).StatusCode; status != http.StatusOK {
		t.Fatalf("not ready with %d", status)
	}
	if inbound := get(t, chosen.CallsAddress); inbound.StatusCode != http.StatusNotFound {
		t.Fatalf("%+v", inbound)
	}
	if err := process.Drain(300 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", chosen.CallsAddress); err == nil {
		t.Fatal("a process that ended listens")
	}
}

const pendingRoute = `{"services":{"desk":{"engine":{"slots":64,"memory_tokens":295740}}},
"routes":{"held":{"match":{"host":"ask.example","path_prefix":"/"},"calls":{"shares":[{"service":"desk","weight":1}],"limit_milliseconds":30000,"tries":1}}}}`

// TestDrainCountsAndAwaitsCallsUnderWay drains a router while a model server holds a
// call's answer back.
func TestDrainCountsAndAwaitsCallsUnderWay(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		close(begun)
		<-release
		writer.Header().Set("Seamloom-Call", inbound.Header.Get("Seamloom-Call"))
		_, _ = io.WriteString(writer, "done")
	}))
	defer server.Close()
	chosen := settings.Defaults(membership.Router)
	chosen.Name, chosen.Zone, chosen.Address = "courier-1", "north", freeAddress(t)
	chosen.CallsAddress, chosen.ReadyAddress = freeAddress(t), freeAddress(t)
	chosen.Seeds = []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	chosen.Platform = freeAddress(t)
	var logged strings.Builder
	process, err := Start(chosen, daemon.Logger(&logged, "info", "courier-1"), osruntime.NewClock(), Ports{})
	if err != nil {
		t.Fatal(err)
	}
	configuration, err := config.Check([]byte(pendingRoute))
	if err != nil {
		t.Fatal(err)
	}
	process.proxy.calls.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: 1})
	process.proxy.calls.SetServing(time.Now().Add(time.Hour))
	process.proxy.calls.SetServers(time.Now(), []membership.Server{{Name: "stove-1", Address: strings.TrimPrefix(server.URL, "http://"), Service: "desk", Part: "decode", Slots: 64}})
	answered := make(chan string, 1)
	go func() {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+chosen.CallsAddress+"/x", strings.NewReader("q"))
		outbound.Host = "ask.example"
		outbound.Header.Set("Seamloom-Call", "one")
		inbound, err := http.DefaultClient.Do(outbound)
		if err != nil {
			answered <- err.Error()
			return
		}
		content, _ := io.ReadAll(inbound.Body)
		answered <- string(content)
	}()
	<-begun
	drained := make(chan error, 1)
	go func() { drained <- process.Drain(20 * time.Second) }()
	for !process.proxy.calls.Leaving() {
		runtime.Gosched()
	}
	close(release)
	if got := <-answered; got != "done" {
		t.Errorf("the call under way got %q", got)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{`"msg":"draining","node":"courier-1","in_flight":1`, `"msg":"drained","node":"courier-1","in_flight":0`} {
		if !strings.Contains(logged.String(), line) {
			t.Errorf("%s is not logged:\n%s", line, logged.String())
		}
	}
}

func TestAnAddressThatIsTakenEndsTheStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	chosen := settings.Defaults(membership.Router)
	chosen.Name, chosen.Zone, chosen.Address = "courier-1", "north", freeAddress(t)
	chosen.CallsAddress, chosen.ReadyAddress = freeAddress(t), taken.Addr().String()
	if _, err := Start(chosen, daemon.Logger(io.Discard, "error", "courier-1"), osruntime.NewClock(), Ports{}); err == nil {
		t.Fatal("started at an address that is taken")
	}
	if _, err := net.Dial("tcp", chosen.CallsAddress); err == nil {
		t.Fatal("a process that did not start listens")
	}
}
