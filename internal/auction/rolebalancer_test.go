package auction

import (
	"testing"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
)

// TestBalanceFollowsASwingWithoutFlapping lets prompts pile up and then
// answers, and wants few turns, never below one server of each part.
func TestBalanceFollowsASwingWithoutFlapping(t *testing.T) {
	balance := NewRoleBalancer(false)
	var servers []membership.Server
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, membership.Server{Name: name, Zone: "north"})
	}
	standing := map[string]codec.Order{}
	now := noon
	changes := 0
	observe := func(backlog int, active int) {
		loads := map[string]Load{}
		for _, server := range servers {
			load := Load{Server: server.Name, Role: ServerRole(standing[server.Name].Part), PrefillRate: 20_000, DecodeSlots: 16}
			if load.Role == Prefill {
				load.PrefillQueueTokens = backlog
			}
			if load.Role == Decode {
				load.DecodeActive = active
			}
			loads[server.Name] = load
		}
		for _, order := range balance.Decide(now, servers, loads, standing, func(string) bool { return false }) {
			standing[order.Server] = order
			changes++
		}
		now = now.Add(balanceInterval)
	}
	count := func(role ServerRole) int {
		count := 0
		for _, order := range standing {
			if ServerRole(order.Part) == role {
				count++
			}
		}
		return count
	}
	observe(0, 0)
	if count(Prefill) != 2 || count(Decode) != 3 {
		t.Fatalf("first parts: %v", standing)
	}
	changes = 0
	for range 80 {
		observe(30_000, 1)
	}
	if count(Decode) != 1 {
		t.Errorf("while prompts pile up: %v", standing)
	}
	if changes > 3 {
		t.Errorf("%d turns in one swing", changes)
	}
	for range 120 {
		observe(0, 15)
	}
	if count(Prefill) != 1 {
		t.Errorf("while answers pile up: %v", standing)
	}
	changes = 0
	for number := range 40 {
		observe(30_000*(number%2), 8)
	}
	if changes != 0 {
		t.Errorf("%d turns without a lasting need", changes)
	}
}
