package dataplane

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime/runtimetest"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// recordingReply records the lines of a reply.
type recordingReply struct{ received []ReplyLine }

func (r *recordingReply) Begin(int, int) {}
func (r *recordingReply) Line(content []byte) error {
	var line ReplyLine
	err := json.Unmarshal(content, &line)
	r.received = append(r.received, line)
	return err
}
func (r *recordingReply) OnClientGone(func()) {}

// newTestRouter returns a router without a configuration, which refuses every request at once.
func newTestRouter(t *testing.T, nonce string) *Router {
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	options := Options{
		Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
		Nonce:   func() string { return nonce },
		OnEnded: func(*auction.Request, auction.Decision) {},
	}
	router := NewRouter(osruntime.New(lifetime, osruntime.NewClock()), nil, nil, nil, options, func(string, ...any) {})
	router.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: features.List{}})
	return router
}

// TestForwardingIsAcceptedOnce delivers one forwarded request twice, and another one that was sent to
// an earlier incarnation of the router. The router may decide only on the first delivery; it must
// answer the others with the outcome Unknown.
func TestForwardingIsAcceptedOnce(t *testing.T) {
	router := newTestRouter(t, "current incarnation")
	serve := func(forwarding wire.Forwarding) ReplyLine {
		reply := &recordingReply{}
		router.Serve(Arrival{Request: &auction.Request{ID: "one", Service: "chat"}, Forwarding: &forwarding}, reply)
		return reply.received[0]
	}
	if first := serve(wire.Forwarding{
		Nonce:       "first",
		Incarnation: "current incarnation",
	}); first.Type != failure.NoLease || first.Final != auction.Refused {
		t.Errorf("first delivery: got %+v, want Refused with type NoLease", first)
	}
	for name, rejected := range map[string]wire.Forwarding{
		"second delivery":     {Nonce: "first", Incarnation: "current incarnation"},
		"another incarnation": {Nonce: "second", Incarnation: "earlier incarnation"},
	} {
		if line := serve(rejected); line.Final != auction.Unknown || line.Type != failure.Duplicate {
			t.Errorf("%s: got %+v, want Unknown with type Duplicate", name, line)
		}
	}
	if line := serve(wire.Forwarding{}); line.Type != failure.NoLease {
		t.Errorf("forwarding from an older release: got %+v, want type NoLease", line)
	}
}

// TestRefusalOfADuplicateIDLeavesRanUnset checks that the refusal of a duplicate ID does not
// state whether the request ran, and that other refusals state that it did not.
func TestRefusalOfADuplicateIDLeavesRanUnset(t *testing.T) {
	if line := lineOf(auction.Decision{Kind: auction.Finish, Final: auction.Refused, Cause: failure.Duplicate}); line.Ran != nil {
		t.Errorf("refusal of a duplicate ID: got %+v, want Ran unset", line)
	}
	if line := lineOf(auction.Decision{Kind: auction.Finish, Final: auction.Refused, Cause: failure.Busy}); line.Ran == nil || *line.Ran {
		t.Errorf("refusal of a request that did not run: got %+v, want Ran false", line)
	}
}

// recordingCallService records the serving time and the servers that it receives.
type recordingCallService struct {
	until   time.Time
	servers []membership.Server
}

func (*recordingCallService) SetQuotas(*Quotas) {}

func (*recordingCallService) SetBacklogCounts(*BacklogCounts) {}

func (r *recordingCallService) SetServing(until time.Time) { r.until = until }
func (r *recordingCallService) SetServers(_ time.Time, servers []membership.Server) {
	r.servers = servers
}

// TestCallServiceReceivesItsServingTime applies updates with and without a lease, and a change
// of the period for which the router serves without a lease. Each time the call service must receive
// the time until which it may serve.
func TestCallServiceReceivesItsServingTime(t *testing.T) {
	service := &recordingCallService{until: runtimetest.AfterStart(time.Hour)}
	rt := &runtimetest.Moving{Runtime: osruntime.New(context.Background(), osruntime.NewClock()), Time: runtimetest.AfterStart(0)}
	options := Options{
		Options:           seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
		Nonce:             func() string { return "one" },
		OnEnded:           func(*auction.Request, auction.Decision) {},
		CallService:       func(*scheduler.Scheduler) CallService { return service },
		ServeWithoutLease: time.Minute,
	}
	router := NewRouter(rt, nil, nil, nil, options, func(string, ...any) {})
	if !service.until.IsZero() {
		t.Errorf("before any lease: got serving time %s, want zero", service.until)
	}
	version := replication.Version{Epoch: 1, Number: 4}
	sections := map[string]replication.Section{replication.ConfigurationSection: {Version: version, Content: config.Empty().Text}}
	router.applyUpdate(follower.Update{
		RequestedAt: runtimetest.AfterStart(0),
		Response:    wire.UpdateResponse{Leads: true, Configuration: version},
		Changed:     sections,
	})
	if !service.until.IsZero() || router.InForce() != version {
		t.Errorf("configuration without a lease: got serving time %s and version %s, want zero and 1.4", service.until, router.InForce())
	}
	router.applyUpdate(follower.Update{
		RequestedAt: runtimetest.AfterStart(time.Second),
		Response:    wire.UpdateResponse{Leads: true, Configuration: version, Lease: 4 * time.Second, Routers: 9},
		Servers:     &follower.ServerList{ReadAt: runtimetest.AfterStart(0), Servers: []membership.Server{{Name: "a"}}},
	})
	if !service.until.Equal(runtimetest.AfterStart(65*time.Second)) || len(service.servers) != 1 || router.routers.Load() != 9 {
		t.Errorf("got serving time %s and servers %v, want 65 seconds after StartTime, one server and 9 routers", service.until, service.servers)
	}
	router.SetServeWithoutLease(0)
	if !service.until.Equal(runtimetest.AfterStart(5 * time.Second)) {
		t.Errorf("after the change of the period: got serving time %s, want the end of the lease", service.until)
	}
	if router.core.HasRoles() {
		t.Error("the router has roles that no lease granted")
	}
}

// TestRecordedRoutersReachTheScheduler checks that the scheduler receives the names of the recorded
// routers. The scheduler uses them to select the routers that may send to a server that is warming
// up.
func TestRecordedRoutersReachTheScheduler(t *testing.T) {
	rt := &runtimetest.Moving{Runtime: osruntime.New(context.Background(), osruntime.NewClock()), Time: runtimetest.AfterStart(0)}
	options := Options{
		Options:     seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
		Nonce:       func() string { return "one" },
		OnEnded:     func(*auction.Request, auction.Decision) {},
		CallService: func(*scheduler.Scheduler) CallService { return &recordingCallService{} },
	}
	router := NewRouter(rt, nil, nil, nil, options, func(string, ...any) {})
	state := &replication.State{Members: map[string]membership.Member{
		"a": {Name: "a", Kind: membership.Router},
		"b": {Name: "b", Kind: membership.Router},
		"c": {Name: "c", Kind: membership.Controller},
	}}
	router.applyMembers(follower.Update{
		Response: wire.UpdateResponse{Routers: 9},
		Changed:  map[string]replication.Section{replication.MembersSection: {}},
	}, state)
	if known := router.core.Calls().RecordedRouters(); known != 2 {
		t.Errorf("got %d recorded routers, want 2", known)
	}
}
