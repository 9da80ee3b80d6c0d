package scheduler

import (
	"testing"
	"time"
)

// balancerFixture sends a scheduler steady load reports of its servers, and changes the roles of the servers
// as the balancer orders.
type balancerFixture struct {
	sched    *Scheduler
	balancer *RoleBalancer
	roles    map[string]string
	now      time.Time
	count    int
	orders   int
}

func newBalancerFixture(count int) *balancerFixture {
	fixture := &balancerFixture{
		sched: newTestScheduler(count), balancer: NewRoleBalancer(), roles: map[string]string{}, now: noon, count: count,
	}
	for _, server := range servers(count) {
		fixture.roles[server.Name] = server.Role
	}
	return fixture
}

func (fixture *balancerFixture) prefillServers() int {
	prefillServers := 0
	for _, role := range fixture.roles {
		if role == prefill {
			prefillServers++
		}
	}
	return prefillServers
}

// advance lets time pass while each prefill server and each decode server reports the given number of running
// calls. Servers that a test has removed from fixture.roles send no load reports.
func (fixture *balancerFixture) advance(span time.Duration, callsPerPrefillServer, callsPerDecodeServer int) {
	for ends := fixture.now.Add(span); fixture.now.Before(ends); fixture.now = fixture.now.Add(100 * time.Millisecond) {
		var loads []Load
		for _, server := range servers(fixture.count) {
			if fixture.roles[server.Name] == "" {
				continue
			}
			load := Load{Server: server.Name, Role: fixture.roles[server.Name], Running: callsPerDecodeServer, MemoryTotal: 295_740}
			if load.Role == prefill {
				load.Running = callsPerPrefillServer
			}
			loads = append(loads, load)
		}
		fixture.sched.SetLoads(fixture.now, loads)
		for _, order := range fixture.balancer.Decide(fixture.now, fixture.sched) {
			fixture.roles[order.Server] = order.Role
			fixture.orders++
		}
	}
}

// TestRolesFollowTheDemand overloads the prefill servers, then the decode servers, and then alternates between
// the two for short times. It checks that servers change roles only for lasting overload, with few orders, and
// that both roles remain.
func TestRolesFollowTheDemand(t *testing.T) {
	fixture := newBalancerFixture(9)
	fixture.advance(10*time.Second, 0, 5)
	if fixture.orders != 0 {
		t.Errorf("got %d orders without a need, want none", fixture.orders)
	}
	fixture.advance(30*time.Second, 4, 5)
	if fixture.prefillServers() != 5 || fixture.orders != 1 {
		t.Errorf("busy prefill servers: got %d prefill servers and %d orders, want 5 and 1", fixture.prefillServers(), fixture.orders)
	}
	fixture.advance(60*time.Second, 0, 60)
	if fixture.prefillServers() > 2 || fixture.prefillServers() < 1 {
		t.Errorf("busy decode servers: got %d prefill servers, want 1 or 2", fixture.prefillServers())
	}
	before := fixture.orders
	for range 40 {
		fixture.advance(300*time.Millisecond, 4, 5)
		fixture.advance(1200*time.Millisecond, 0, 20)
	}
	if fixture.orders > before {
		t.Errorf("got %d orders without a lasting need, want none", fixture.orders-before)
	}
}

// TestLostDecodeServersAreReplaced makes two of three decode servers unresponsive while the prefill servers
// are busy. The balancer has to order further decode servers before the remaining one is overloaded.
func TestLostDecodeServersAreReplaced(t *testing.T) {
	fixture := newBalancerFixture(9)
	decodeServers := 0
	for _, server := range servers(9) {
		if fixture.roles[server.Name] == decode {
			if decodeServers++; decodeServers > 3 {
				fixture.roles[server.Name] = prefill
			}
		}
	}
	fixture.advance(2*time.Second, 4, 20)
	for _, server := range servers(9) {
		if fixture.roles[server.Name] == decode && decodeServers > 4 {
			decodeServers--
			delete(fixture.roles, server.Name)
		}
	}
	before := fixture.prefillServers()
	fixture.advance(7*time.Second, 4, 20)
	if fixture.prefillServers() >= before {
		t.Errorf("got %d prefill servers, and %d before, while one decode server is left, want fewer than before",
			fixture.prefillServers(), before)
	}
}

// TestBothRolesAreFilled checks that the balancer assigns a server to a role that has none, and that prefill
// servers are spread over all zones.
func TestBothRolesAreFilled(t *testing.T) {
	fixture := newBalancerFixture(9)
	for name := range fixture.roles {
		fixture.roles[name] = decode
	}
	fixture.advance(time.Second, 0, 1)
	if fixture.prefillServers() != 1 {
		t.Errorf("got %d prefill servers after there was none, want 1", fixture.prefillServers())
	}
	fixture.advance(30*time.Second, 1, 1)
	zones := map[string]int{}
	for _, server := range servers(9) {
		if fixture.roles[server.Name] == prefill {
			zones[server.Zone]++
		}
	}
	if len(zones) != 3 || zones["north"] > 2 || zones["south"] > 2 || zones["west"] > 2 {
		t.Errorf("prefill servers by zone: got %v, want 1 or 2 in each of three zones", zones)
	}
	for name := range fixture.roles {
		fixture.roles[name] = prefill
	}
	fixture.advance(4*time.Second, 1, 1)
	if fixture.prefillServers() == 9 {
		t.Error("got no decode server")
	}
}

// TestRoleChangesImproveTheScoreUnderLoad compares runs with and without the balancer, under more traffic than
// the initial roles can serve well. The orders must be few and increase the score by more than 0.02.
func TestRoleChangesImproveTheScoreUnderLoad(t *testing.T) {
	unmanaged, managed := nine().simulation(3, nil), nine().simulation(3, nil)
	managed.balanceRoles(NewRoleBalancer())
	playTraffic(unmanaged, 1.4, 30*time.Second)
	playTraffic(managed, 1.4, 30*time.Second)
	t.Logf("without orders\n%s\nwith %d orders\n%s", unmanaged, managed.orders, managed)
	if managed.score() <= unmanaged.score()+0.02 {
		t.Errorf("got a score of %.4f with orders and %.4f without, want an increase above 0.02", managed.score(), unmanaged.score())
	}
	if managed.orders > 4 {
		t.Errorf("got %d orders, want at most 4", managed.orders)
	}
}

// TestIdleServiceIsDividedEvenly checks that about half of an idle service's servers become prefill servers,
// with a single order, and that short times without calls cause no orders.
func TestIdleServiceIsDividedEvenly(t *testing.T) {
	fixture := newBalancerFixture(9)
	fixture.advance(20*time.Second, 0, 0)
	if fixture.prefillServers() != 5 || fixture.orders != 1 {
		t.Errorf("got %d prefill servers and %d orders, want 5 and 1", fixture.prefillServers(), fixture.orders)
	}
	fixture = newBalancerFixture(9)
	for range 10 {
		fixture.advance(2*time.Second, 0, 0)
		fixture.advance(800*time.Millisecond, 1, 5)
	}
	if fixture.orders != 0 {
		t.Errorf("got %d orders for short idle times, want none", fixture.orders)
	}
}
