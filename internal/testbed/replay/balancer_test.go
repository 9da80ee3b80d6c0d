package replay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestBalancerExcludesMachinesAfterTwoFailedProbes lets the probes of machines in two zones fail and succeed,
// and checks which machines accept clients.
func TestBalancerExcludesMachinesAfterTwoFailedProbes(t *testing.T) {
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
		balancer.add(target{machine: machine, zone: machine[:4], readinessAddress: strings.TrimPrefix(server.URL, "http://")})
	}
	names := func() string {
		var text []string
		for _, accepted := range balancer.accepting("east") {
			text = append(text, accepted.machine)
		}
		return strings.Join(text, " ")
	}
	if !balancer.allReady() || names() != "east-1 east-2 east-3" {
		t.Fatalf("with all machines ready, got %q, want all of the zone", names())
	}
	ready["east-1"].Store(false)
	balancer.probeAll()
	if names() != "east-1 east-2 east-3" {
		t.Errorf("after one failed probe, got %q, want all of the zone", names())
	}
	balancer.probeAll()
	if names() != "east-2 east-3" {
		t.Errorf("after two failed probes, got %q, want the machines without east-1", names())
	}
	ready["east-2"].Store(false)
	balancer.probeAll()
	balancer.probeAll()
	if names() != "east-1 east-2 east-3" {
		t.Errorf("with fewer than half of the zone ready, got %q, want all of the zone", names())
	}
	ready["east-3"].Store(false)
	balancer.probeAll()
	balancer.probeAll()
	if names() != "west-1" {
		t.Errorf("with none of the zone ready, got %q, want the machine of the other zone", names())
	}
	ready["east-1"].Store(true)
	ready["east-2"].Store(true)
	balancer.probeAll()
	if names() != "east-1 east-2" {
		t.Errorf("with two machines ready again, got %q, want these two", names())
	}
}
