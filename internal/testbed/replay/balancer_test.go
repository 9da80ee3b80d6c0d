package replay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestMachinesThatMissTwiceGetNoClients has machines of two zones answer and fall silent.
func TestMachinesThatMissTwiceGetNoClients(t *testing.T) {
	balancer := newBalancer(&EventLog{})
	ready := map[string]*atomic.Bool{}
	for _, machine := range []string{"east-1", "east-2", "east-3", "west-1"} {
		answers := &atomic.Bool{}
		answers.Store(true)
		ready[machine] = answers
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if !answers.Load() {
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(server.Close)
		balancer.open(target{machine: machine, zone: machine[:4], ready: strings.TrimPrefix(server.URL, "http://")})
	}
	names := func() string {
		var text []string
		for _, ta := range balancer.taking("east") {
			text = append(text, ta.machine)
		}
		return strings.Join(text, " ")
	}
	if !balancer.allReady() || names() != "east-1 east-2 east-3" {
		t.Fatalf("all are ready: %s", names())
	}
	ready["east-1"].Store(false)
	balancer.askAll()
	if names() != "east-1 east-2 east-3" {
		t.Errorf("after one miss: %s", names())
	}
	balancer.askAll()
	if names() != "east-2 east-3" {
		t.Errorf("after two misses: %s", names())
	}
	ready["east-2"].Store(false)
	balancer.askAll()
	balancer.askAll()
	if names() != "east-1 east-2 east-3" {
		t.Errorf("fewer than half are in: %s", names())
	}
	ready["east-3"].Store(false)
	balancer.askAll()
	balancer.askAll()
	if names() != "west-1" {
		t.Errorf("none is in: %s", names())
	}
	ready["east-1"].Store(true)
	ready["east-2"].Store(true)
	balancer.askAll()
	if names() != "east-1 east-2" {
		t.Errorf("two are back: %s", names())
	}
}
