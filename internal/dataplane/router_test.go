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

// lines collects a reply.
type lines struct{ said []ReplyLine }

func (l *lines) Begin(int, int) {}
func (l *lines) Line(content []byte) error {
	var line ReplyLine
	err := json.Unmarshal(content, &line)
	l.said = append(l.said, line)
	return err
}
func (l *lines) OnClientGone(func()) {}

// newTestRouter is a router that knows its configuration's absence only: it
// refuses everything, at once.
func newTestRouter(t *testing.T, nonce string) *Router {
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	options := Options{Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)}, Nonce: func() string { return nonce },
		OnEnded: func(*auction.Request, auction.Decision) {}}
	router := NewRouter(osruntime.New(lifetime, osruntime.NewClock()), nil, nil, nil, options, func(string, ...any) {})
	router.Apply(auction.Event{Kind: auction.FlagsRead, Enabled: features.List{}})
	return router
}

// TestPassingOnIsTakenOnce brings one forwarding twice, and one to another life
// of the router than it was meant for. Only the first may be decided on; of the
// others nobody knows here what became.
func TestPassingOnIsTakenOnce(t *testing.T) {
	router := newTestRouter(t, "this life")
	serve := func(forwarding wire.Forwarding) ReplyLine {
		reply := &lines{}
		router.Serve(Arrival{Request: &auction.Request{ID: "one", Service: "chat"}, Forwarding: &forwarding}, reply)
		return reply.said[0]
	}
	if first := serve(wire.Forwarding{Nonce: "first", Incarnation: "this life"}); first.Type != failure.NoLease || first.Final != auction.Refused {
		t.Errorf("the first was not decided on: %+v", first)
	}
	for name, passage := range map[string]wire.Forwarding{"again": {Nonce: "first", Incarnation: "this life"}, "another life": {Nonce: "second", Incarnation: "an earlier life"}} {
		if line := serve(passage); line.Final != auction.Unknown || line.Type != failure.Duplicate {
			t.Errorf("%s: %+v", name, line)
		}
	}
	if line := serve(wire.Forwarding{}); line.Type != failure.NoLease {
		t.Errorf("an older release's passing-on was not taken: %+v", line)
	}
}

// TestTakenIDIsNotSaidToHaveNeverRun wants no word on whether an id ran that
// another arrival took, and the word where it is certain.
func TestTakenIDIsNotSaidToHaveNeverRun(t *testing.T) {
	if line := lineOf(auction.Decision{Kind: auction.Finish, Final: auction.Refused, Cause: failure.Duplicate}); line.Ran != nil {
		t.Errorf("an id that is taken is said to have run or not: %+v", line)
	}
	if line := lineOf(auction.Decision{Kind: auction.Finish, Final: auction.Refused, Cause: failure.Busy}); line.Ran == nil || *line.Ran {
		t.Errorf("a refused inquiry is not said to never run: %+v", line)
	}
}

// noted is a board that keeps what it was told.
type noted struct {
	until   time.Time
	servers []membership.Server
}

// SetQuotas notes nothing.
func (*noted) SetQuotas(*Quotas) {}

func (*noted) SetCountOwners(*CountOwners) {}

func (n *noted) SetServing(until time.Time)                          { n.until = until }
func (n *noted) SetServers(_ time.Time, servers []membership.Server) { n.servers = servers }

// TestCallServiceKnowsUntilWhenItMayServe brings news with and without a hold, and settings.
func TestCallServiceKnowsUntilWhenItMayServe(t *testing.T) {
	board := &noted{until: runtimetest.AtNoon(time.Hour)}
	rt := &runtimetest.Moving{Runtime: osruntime.New(context.Background(), osruntime.NewClock()), Time: runtimetest.AtNoon(0)}
	options := Options{Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)}, Nonce: func() string { return "one" },
		OnEnded: func(*auction.Request, auction.Decision) {}, CallService: func(*scheduler.Scheduler) CallService { return board }, ServeWithoutLease: time.Minute}
	router := NewRouter(rt, nil, nil, nil, options, func(string, ...any) {})
	if !board.until.IsZero() {
		t.Errorf("before any hold it serves until %s", board.until)
	}
	version := replication.Version{Epoch: 1, Number: 4}
	sections := map[string]replication.Section{replication.ConfigurationSection: {Version: version, Content: config.Empty().Text}}
	router.applyUpdate(follower.Update{RequestedAt: runtimetest.AtNoon(0), Response: wire.UpdateResponse{Leads: true, Configuration: version}, Changed: sections})
	if !board.until.IsZero() || router.InForce() != version {
		t.Errorf("a configuration without a hold: serves until %s with %s", board.until, router.InForce())
	}
	router.applyUpdate(follower.Update{RequestedAt: runtimetest.AtNoon(time.Second), Response: wire.UpdateResponse{Leads: true, Configuration: version, Lease: 4 * time.Second, Routers: 9},
		Servers: &follower.ServerList{ReadAt: runtimetest.AtNoon(0), Servers: []membership.Server{{Name: "a"}}}})
	if !board.until.Equal(runtimetest.AtNoon(65*time.Second)) || len(board.servers) != 1 || router.routers.Load() != 9 {
		t.Errorf("serves until %s, servers %v", board.until, board.servers)
	}
	router.SetServeWithoutLease(0)
	if !board.until.Equal(runtimetest.AtNoon(5 * time.Second)) {
		t.Errorf("after a reload it serves until %s", board.until)
	}
	if router.core.HasRoles() {
		t.Error("it has duties that nobody gave")
	}
}

// TestRecordedRoutersReachTheScheduler wants the scheduler to know the names of the recorded
// routers, by which those that send to a warming server are chosen.
func TestRecordedRoutersReachTheScheduler(t *testing.T) {
	rt := &runtimetest.Moving{Runtime: osruntime.New(context.Background(), osruntime.NewClock()), Time: runtimetest.AtNoon(0)}
	options := Options{Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)}, Nonce: func() string { return "one" },
		OnEnded: func(*auction.Request, auction.Decision) {}, CallService: func(*scheduler.Scheduler) CallService { return &noted{} }}
	router := NewRouter(rt, nil, nil, nil, options, func(string, ...any) {})
	state := &replication.State{Members: map[string]membership.Member{"a": {Name: "a", Kind: membership.Router}, "b": {Name: "b", Kind: membership.Router}, "c": {Name: "c", Kind: membership.Controller}}}
	router.applyMembers(follower.Update{Response: wire.UpdateResponse{Routers: 9}, Changed: map[string]replication.Section{replication.MembersSection: {}}}, state)
	if known := router.core.Calls().RecordedRouters(); known != 2 {
		t.Errorf("%d routers are known", known)
	}
}
