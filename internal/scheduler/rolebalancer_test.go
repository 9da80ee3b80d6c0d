package scheduler

import (
	"testing"
	"time"
)

// roleDay gives a scheduler's servers steady work and carries the balancer's orders out.
type roleDay struct {
	calls    *Scheduler
	balancer *RoleBalancer
	parts    map[string]string
	now      time.Time
	count    int
	orders   int
}

func newPoolDay(count int) *roleDay {
	day := &roleDay{calls: opened(count), balancer: NewRoleBalancer(), parts: map[string]string{}, now: noon, count: count}
	for _, server := range servers(count) {
		day.parts[server.Name] = server.Part
	}
	return day
}

func (day *roleDay) prefillServers() int {
	prefillServers := 0
	for _, part := range day.parts {
		if part == prefill {
			prefillServers++
		}
	}
	return prefillServers
}

// last lets so much time pass with so many calls at each prefill server and at each decode server.
func (day *roleDay) last(span time.Duration, atPrefillServer, atDecodeServer int) {
	day.reporting(span, atPrefillServer, atDecodeServer)
}

// reporting is the same where those without a part have gone dark.
func (day *roleDay) reporting(span time.Duration, atPrefillServer, atDecodeServer int) {
	for ends := day.now.Add(span); day.now.Before(ends); day.now = day.now.Add(100 * time.Millisecond) {
		var loads []Load
		for _, server := range servers(day.count) {
			if day.parts[server.Name] == "" {
				continue
			}
			load := Load{Server: server.Name, Role: day.parts[server.Name], Running: atDecodeServer, MemoryTotal: 295_740}
			if load.Role == prefill {
				load.Running = atPrefillServer
			}
			loads = append(loads, load)
		}
		day.calls.SetLoads(day.now, loads)
		for _, order := range day.balancer.Decide(day.now, day.calls) {
			day.parts[order.Server] = order.Part
			day.orders++
		}
	}
}

// TestPoolsFollowTheWork lets prompts pile up, then answers, and then lets both come
// and go, and wants few orders and some of each part.
func TestPoolsFollowTheWork(t *testing.T) {
	day := newPoolDay(9)
	day.last(10*time.Second, 0, 5)
	if day.orders != 0 {
		t.Errorf("%d orders without a need", day.orders)
	}
	day.last(30*time.Second, 4, 5)
	if day.prefillServers() != 5 || day.orders != 1 {
		t.Errorf("while prompts pile up: %d readers by %d orders", day.prefillServers(), day.orders)
	}
	day.last(60*time.Second, 0, 60)
	if day.prefillServers() > 2 || day.prefillServers() < 1 {
		t.Errorf("while answers pile up: %d readers", day.prefillServers())
	}
	before := day.orders
	for range 40 {
		day.last(300*time.Millisecond, 4, 5)
		day.last(1200*time.Millisecond, 0, 20)
	}
	if day.orders > before {
		t.Errorf("%d orders without a lasting need", day.orders-before)
	}
}

// TestPoolsBearDarkDecodeServers has two of three decode servers go dark while prompts pile up: the
// one that is left can't wait for its answers to pile up, too.
func TestPoolsBearDarkDecodeServers(t *testing.T) {
	day := newPoolDay(9)
	decodeServers := 0
	for _, server := range servers(9) {
		if day.parts[server.Name] == decode {
			if decodeServers++; decodeServers > 3 {
				day.parts[server.Name] = prefill
			}
		}
	}
	day.last(2*time.Second, 4, 20)
	for _, server := range servers(9) {
		if day.parts[server.Name] == decode && decodeServers > 4 {
			decodeServers--
			delete(day.parts, server.Name)
		}
	}
	before := day.prefillServers()
	day.reporting(7*time.Second, 4, 20)
	if day.prefillServers() >= before {
		t.Errorf("%d of %d readers while one runner is left", day.prefillServers(), before)
	}
}

// TestPoolsKeepOneOfEach wants a prefill and a decode server while two servers are open, and
// the prefill servers in all zones.
func TestPoolsKeepOneOfEach(t *testing.T) {
	day := newPoolDay(9)
	for name := range day.parts {
		day.parts[name] = decode
	}
	day.last(time.Second, 0, 1)
	if day.prefillServers() != 1 {
		t.Errorf("%d readers of none", day.prefillServers())
	}
	day.last(30*time.Second, 1, 1)
	zones := map[string]int{}
	for _, server := range servers(9) {
		if day.parts[server.Name] == prefill {
			zones[server.Zone]++
		}
	}
	if len(zones) != 3 || zones["north"] > 2 || zones["south"] > 2 || zones["west"] > 2 {
		t.Errorf("readers by district: %v", zones)
	}
	for name := range day.parts {
		day.parts[name] = prefill
	}
	day.last(4*time.Second, 1, 1)
	if day.prefillServers() == 9 {
		t.Error("no server makes answers")
	}
}

// TestPoolsHelpThePressed plays more traffic than the parts were made for, with and
// without orders: with a third of the servers reading, orders are worth a fiftieth.
func TestPoolsHelpThePressed(t *testing.T) {
	left, managed := nine().world(3, nil), nine().world(3, nil)
	managed.pool(NewRoleBalancer())
	day(left, 1.4, 30*time.Second)
	day(managed, 1.4, 30*time.Second)
	t.Logf("left alone\n%s\nwith %d orders\n%s", left, managed.orders, managed)
	if managed.score() <= left.score()+0.02 {
		t.Errorf("%.4f with orders, %.4f without", managed.score(), left.score())
	}
	if managed.orders > 4 {
		t.Errorf("%d orders", managed.orders)
	}
}

// TestIdleServiceIsDividedEvenly wants half of an idle service's servers to read, by
// orders given once and before there is traffic, and none for a moment without work.
func TestIdleServiceIsDividedEvenly(t *testing.T) {
	day := newPoolDay(9)
	day.last(20*time.Second, 0, 0)
	if day.prefillServers() != 5 || day.orders != 1 {
		t.Errorf("%d readers by %d orders", day.prefillServers(), day.orders)
	}
	day = newPoolDay(9)
	for range 10 {
		day.last(2*time.Second, 0, 0)
		day.last(800*time.Millisecond, 1, 5)
	}
	if day.orders != 0 {
		t.Errorf("%d orders in moments without work", day.orders)
	}
}
