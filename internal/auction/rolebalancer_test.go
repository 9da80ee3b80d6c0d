package auction

import (
	"testing"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// TestBalanceFollowsASwingWithoutFlapping lets prompts pile up and then
// streams, and wants few changes, never below one server of each role.
func TestBalanceFollowsASwingWithoutFlapping(t *testing.T) {
	balancer := NewRoleBalancer(false)
	var servers []membership.Server
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, membership.Server{Name: name, Zone: "north"})
	}
	currentOrders := map[string]codec.Order{}
	now := noon
	changes := 0
	observe := func(backlog int, active int) {
		loads := map[string]Load{}
		for _, server := range servers {
			load := Load{Server: server.Name, Role: ServerRole(currentOrders[server.Name].Part), PrefillRate: 20_000, DecodeSlots: 16}
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
			if ServerRole(order.Part) == role {
				count++
			}
		}
		return count
	}
	observe(0, 0)
	if count(Prefill) != 2 || count(Decode) != 3 {
		t.Fatalf("first roles: %v", currentOrders)
	}
	changes = 0
	for range 80 {
		observe(30_000, 1)
	}
	if count(Decode) != 1 {
		t.Errorf("while prompts pile up: %v", currentOrders)
	}
	if changes > 3 {
		t.Errorf("%d changes in one swing", changes)
	}
	for range 120 {
		observe(0, 15)
	}
	if count(Prefill) != 1 {
		t.Errorf("while streams pile up: %v", currentOrders)
	}
	changes = 0
	for number := range 40 {
		observe(30_000*(number%2), 8)
	}
	if changes != 0 {
		t.Errorf("%d changes without a lasting need", changes)
	}
}
