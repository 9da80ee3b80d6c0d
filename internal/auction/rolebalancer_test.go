package auction

import (
	"testing"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// TestBalancerFollowsLoadWithoutFlapping applies a high prefill load, then a high decode load. The
// balancer must adapt the roles to the load with few changes and keep at least one server in each
// role. Then the prefill load is high only in every other check, which is fewer than balanceThreshold
// consecutive checks, and the balancer must change no role.
func TestBalancerFollowsLoadWithoutFlapping(t *testing.T) {
	balancer := NewRoleBalancer(false)
	var servers []membership.Server
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, membership.Server{Name: name, Zone: "north"})
	}
	currentOrders := map[string]codec.Order{}
	now := startTime
	changes := 0
	observe := func(backlog int, active int) {
		loads := map[string]Load{}
		for _, server := range servers {
			load := Load{Server: server.Name, Role: ServerRole(currentOrders[server.Name].Role), PrefillRate: 20_000, DecodeSlots: 16}
			if load.Role == Prefill {
				load.PrefillQueueTokens = backlog
			}
			if load.Role == Decode {
				load.DecodeActive = active
			}
			loads[server.Name] = load
		}
		for _, order := range balancer.Decide(now, servers, loads, currentOrders, func(string) bool { return false }) {
			currentOrders[order.Server] = order
			changes++
		}
		now = now.Add(balanceInterval)
	}
	count := func(role ServerRole) int {
		count := 0
		for _, order := range currentOrders {
			if ServerRole(order.Role) == role {
				count++
			}
		}
		return count
	}
	observe(0, 0)
	if count(Prefill) != 2 || count(Decode) != 3 {
		t.Fatalf("first orders: got %v, want 2 prefill and 3 decode servers", currentOrders)
	}
	changes = 0
	for range 80 {
		observe(30_000, 1)
	}
	if count(Decode) != 1 {
		t.Errorf("under high prefill load: got %v, want 1 decode server", currentOrders)
	}
	if changes > 3 {
		t.Errorf("got %d role changes under high prefill load, want at most 3", changes)
	}
	for range 120 {
		observe(0, 15)
	}
	if count(Prefill) != 1 {
		t.Errorf("under high decode load: got %v, want 1 prefill server", currentOrders)
	}
	changes = 0
	for number := range 40 {
		observe(30_000*(number%2), 8)
	}
	if changes != 0 {
		t.Errorf("got %d role changes while the prefill load was high in every other check, want 0", changes)
	}
}
