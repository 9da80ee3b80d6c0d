package dataplane

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// ownerClient connects count owners by direct calls. Calls to owners that are down fail.
type ownerClient struct {
	mutex  sync.Mutex
	owners map[string]*BacklogCounts
	down   map[string]bool
	calls  atomic.Int64
}

func (c *ownerClient) CallRaw(address, path string, body []byte, _ time.Duration) ([]byte, error) {
	c.calls.Add(1)
	c.mutex.Lock()
	owner, down := c.owners[address], c.down[address]
	c.mutex.Unlock()
	if down || owner == nil || path != wire.CountsPath {
		return nil, failure.New(failure.Unreachable, "the owner is down")
	}
	var request backlog.Request
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	response, err := owner.Answer(request)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(response)
}

// newOwners returns the count owners of six routers in two zones, by router, and the client that
// connects them.
func newOwners(t *testing.T) (*ownerClient, map[string]*BacklogCounts) {
	t.Helper()
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	client := &ownerClient{owners: map[string]*BacklogCounts{}, down: map[string]bool{}}
	members := map[string]membership.Member{"expediter-1": {Name: "expediter-1", Kind: membership.Controller, Address: "e1", Zone: "north"}}
	all := map[string]*BacklogCounts{}
	for position, name := range []string{"a", "b", "c", "d", "e", "f"} {
		zone := []string{"north", "south"}[position%2]
		members[name] = membership.Member{Name: name, Kind: membership.Router, Address: "at-" + name, Zone: zone}
		all[name] = NewBacklogCounts(rt, client, scheduler.New(scheduler.Options{Router: name, Zone: zone}), name, "incarnation-of-"+name)
		client.owners["at-"+name] = all[name]
	}
	for _, owners := range all {
		owners.SetMembers(members)
	}
	return client, all
}

// newRequests returns one request for the counts of a group, with the intent to send tokens to a
// server.
func newRequests(group, server string, tokens int) []backlog.Request {
	return []backlog.Request{{Group: group, WantsCounts: true, Intent: &backlog.Change{Server: server, Tokens: tokens}}}
}

// TestRoutersAgreeOnTheCountOwner has one router after another ask for counts, for groups of both
// zones and of an unknown zone. Each must receive the tokens of the routers that asked before it, so
// all of them must have asked the same owner.
func TestRoutersAgreeOnTheCountOwner(t *testing.T) {
	_, all := newOwners(t)
	for _, group := range []string{"desk/north/0", "desk/south/1", "desk/elsewhere/0"} {
		want := 0
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			response, answered := all[name].Ask(newRequests(group, "s", 100))[group]
			if !answered {
				t.Fatalf("%s got no response for %s", name, group)
			}
			got := 0
			for _, count := range response.Counts {
				got += count.Tokens
			}
			if got != want {
				t.Errorf("%s got a count of %d tokens for %s, want %d", name, got, group, want)
			}
			want += 100
		}
	}
}

// TestCountOwnerIsInTheZoneOfItsGroup checks that the owner of a group is a router in the
// group's zone.
func TestCountOwnerIsInTheZoneOfItsGroup(t *testing.T) {
	_, all := newOwners(t)
	for _, group := range []string{"desk/north/0", "desk/north/1", "desk/north/2"} {
		if owner, found := all["b"].owner(group); !found || owner.Zone != "north" || owner.Kind != membership.Router {
			t.Errorf("owner of %s: got %+v, want a router in zone north", group, owner)
		}
	}
}

// TestSilentCountOwnerIsSkipped makes the owner of a group unreachable. The first request gets no
// response. Later requests must get the response of the next owner, without a request to the owner
// that is down.
func TestSilentCountOwnerIsSkipped(t *testing.T) {
	client, all := newOwners(t)
	const group = "desk/north/0"
	first, _ := all["b"].owner(group)
	client.mutex.Lock()
	client.down[first.Address] = true
	client.mutex.Unlock()
	if answers := all["b"].Ask(newRequests(group, "s", 100)); len(answers) != 0 {
		t.Errorf("request to an owner that is down: got %v, want no response", answers)
	}
	before := client.calls.Load()
	for range 5 {
		if answers := all["b"].Ask(newRequests(group, "s", 100)); len(answers) != 1 {
			t.Error("got no response from the next owner")
		}
	}
	if sent := client.calls.Load() - before; sent > 5 {
		t.Errorf("got %d messages for 5 requests, want at most 5", sent)
	}
	if next, _ := all["b"].owner(group); next.Name == first.Name {
		t.Error("the router that is down is still the owner")
	}
}

// TestAskReturnsTheAvailableResponses asks for two groups, of which one has no owner that
// responds.
func TestAskReturnsTheAvailableResponses(t *testing.T) {
	client, all := newOwners(t)
	client.mutex.Lock()
	for _, name := range []string{"b", "d", "f"} {
		client.down["at-"+name] = true
	}
	client.mutex.Unlock()
	requests := append(newRequests("desk/north/0", "s", 1), newRequests("desk/south/0", "s", 1)...)
	answers := all["a"].Ask(requests)
	if _, found := answers["desk/north/0"]; !found || len(answers) != 1 {
		t.Errorf("got %v, want only a response for desk/north/0", answers)
	}
}

// prefillExchange calls duringPrefill during the prefill of a prompt.
type prefillExchange struct {
	scriptedExchange
	duringPrefill func()
}

func (p *prefillExchange) Prefill(decision scheduler.Decision) scheduler.Outcome {
	p.duringPrefill()
	return p.scriptedExchange.Prefill(decision)
}

// TestCallIsCountedDuringItsPrefill checks that a call's prompt tokens are counted during its
// prefill, and no longer afterwards.
func TestCallIsCountedDuringItsPrefill(t *testing.T) {
	_, all := newOwners(t)
	calls, _ := newCalls(t, "prefill", "decode")
	calls.callScheduler.SetBacklogQueries(true)
	owners := all["a"]
	owners.callScheduler = calls.callScheduler
	calls.SetBacklogCounts(owners)
	counted := func() []backlog.Change {
		return all["b"].Ask([]backlog.Request{{Group: "desk/north/0", WantsCounts: true}})["desk/north/0"].Counts
	}
	exchange := &prefillExchange{scriptedExchange: scriptedExchange{outcomes: []scheduler.Outcome{
		{Result: scheduler.Complete, Handle: "h"},
		{Result: scheduler.Complete},
	}}}
	exchange.duringPrefill = func() {
		if counts := counted(); len(counts) != 1 || counts[0].Server != "stove-a" || counts[0].Tokens != 9000 {
			t.Errorf("during the prefill: got counts %v, want 9000 tokens at stove-a", counts)
		}
	}
	call := newTestCall("/once/")
	call.PromptTokens = 9000
	calls.Serve(call, exchange)
	for group, changes := range calls.callScheduler.TakeBacklogChanges() {
		owners.send(backlog.Request{Group: group, Changes: changes})
	}
	if counts := counted(); len(counts) != 0 {
		t.Errorf("after the prefill: got counts %v, want none", counts)
	}
	if len(exchange.actions) != 2 {
		t.Errorf("got actions %v, want a prefill and a decode", exchange.actions)
	}
}
