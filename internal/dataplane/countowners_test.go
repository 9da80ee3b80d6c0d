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

// ownerClient joins keepers by direct calls; those that are down don't answer.
type ownerClient struct {
	mutex  sync.Mutex
	owners map[string]*CountOwners
	down   map[string]bool
	calls  atomic.Int64
}

func (k *ownerClient) CallRaw(address, path string, body []byte, _ time.Duration) ([]byte, error) {
	k.calls.Add(1)
	k.mutex.Lock()
	owner, down := k.owners[address], k.down[address]
	k.mutex.Unlock()
	if down || owner == nil || path != wire.CountsPath {
		return nil, failure.New(failure.Unreachable, "nobody answers")
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

// ownerFleet is six nodes in two zones.
func ownerFleet(t *testing.T) (*ownerClient, map[string]*CountOwners) {
	t.Helper()
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	client := &ownerClient{owners: map[string]*CountOwners{}, down: map[string]bool{}}
	members := map[string]membership.Member{"expediter-1": {Name: "expediter-1", Kind: membership.Controller, Address: "e1", Zone: "north"}}
	all := map[string]*CountOwners{}
	for position, name := range []string{"a", "b", "c", "d", "e", "f"} {
		zone := []string{"north", "south"}[position%2]
		members[name] = membership.Member{Name: name, Kind: membership.Router, Address: "at-" + name, Zone: zone}
		all[name] = NewCountOwners(rt, client, scheduler.New(scheduler.Options{Router: name, Zone: zone}), name, "life-of-"+name)
		client.owners["at-"+name] = all[name]
	}
	for _, owners := range all {
		owners.SetMembers(members)
	}
	return client, all
}

func asks(group, server string, tokens int) []backlog.Request {
	return []backlog.Request{{Group: group, WantsCounts: true, Intent: &backlog.Change{Server: server, Tokens: tokens}}}
}

// TestNodesAgreeOnTheCountOwner has every node see what the others intend, in a group of its
// own zone and in one of the other.
func TestNodesAgreeOnTheCountOwner(t *testing.T) {
	_, all := ownerFleet(t)
	for _, group := range []string{"desk/north/0", "desk/south/1", "desk/elsewhere/0"} {
		want := 0
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			response, answered := all[name].Ask(asks(group, "s", 100))[group]
			if !answered {
				t.Fatalf("%s has no answer for %s", name, group)
			}
			got := 0
			for _, count := range response.Counts {
				got += count.Tokens
			}
			if got != want {
				t.Errorf("%s is told of %d tokens in %s, want %d", name, got, group, want)
			}
			want += 100
		}
	}
}

// TestCountOwnerInTheZone has the keeper of a group be a node of the group's zone.
func TestCountOwnerInTheZone(t *testing.T) {
	_, all := ownerFleet(t)
	for _, group := range []string{"desk/north/0", "desk/north/1", "desk/north/2"} {
		if owner, found := all["b"].owner(group); !found || owner.Zone != "north" || owner.Kind != membership.Router {
			t.Errorf("%s is kept by %+v", group, owner)
		}
	}
}

// TestSilentCountOwnerIsSkipped has a keeper die: the call that meets it has no answer, the
// next ones have the next keeper's, and the dead one is not asked again for a while.
func TestSilentCountOwnerIsSkipped(t *testing.T) {
	client, all := ownerFleet(t)
	const group = "desk/north/0"
	first, _ := all["b"].owner(group)
	client.mutex.Lock()
	client.down[first.Address] = true
	client.mutex.Unlock()
	if answers := all["b"].Ask(asks(group, "s", 100)); len(answers) != 0 {
		t.Errorf("a dead keeper answers: %v", answers)
	}
	before := client.calls.Load()
	for range 5 {
		if answers := all["b"].Ask(asks(group, "s", 100)); len(answers) != 1 {
			t.Error("no answer of the next keeper")
		}
	}
	if asked := client.calls.Load() - before; asked > 5 {
		t.Errorf("%d messages for 5 questions", asked)
	}
	if next, _ := all["b"].owner(group); next.Name == first.Name {
		t.Error("the dead keeper is still the keeper")
	}
}

// TestSeveralGroupsAtOnce has one ask bring all answers that there are.
func TestSeveralGroupsAtOnce(t *testing.T) {
	client, all := ownerFleet(t)
	client.mutex.Lock()
	for _, name := range []string{"b", "d", "f"} {
		client.down["at-"+name] = true
	}
	client.mutex.Unlock()
	questions := append(asks("desk/north/0", "s", 1), asks("desk/south/0", "s", 1)...)
	answers := all["a"].Ask(questions)
	if _, found := answers["desk/north/0"]; !found || len(answers) != 1 {
		t.Errorf("%v", answers)
	}
}

// readingExchange looks on while a prompt is read.
type readingExchange struct {
	scriptedExchange
	during func()
}

func (r *readingExchange) Read(decision scheduler.Decision) scheduler.Outcome {
	r.during()
	return r.scriptedExchange.Read(decision)
}

// TestCallsAskBeforeReads has a call counted while its prompt is read, and not after.
func TestCallsAskBeforeReads(t *testing.T) {
	_, all := ownerFleet(t)
	calls, _ := newCalls(t, "prefill", "decode")
	calls.window.SetBacklogQueries(true)
	owners := all["a"]
	owners.window = calls.window
	calls.SetCountOwners(owners)
	counted := func() []backlog.Change {
		return all["b"].Ask([]backlog.Request{{Group: "desk/north/0", WantsCounts: true}})["desk/north/0"].Counts
	}
	exchange := &readingExchange{scriptedExchange: scriptedExchange{outcomes: []scheduler.Outcome{{Result: scheduler.Complete, Handle: "h"}, {Result: scheduler.Complete}}}}
	exchange.during = func() {
		if counts := counted(); len(counts) != 1 || counts[0].Server != "stove-a" || counts[0].Tokens != 9000 {
			t.Errorf("while the prompt is read: %v", counts)
		}
	}
	call := arriving("/once/")
	call.PromptTokens = 9000
	calls.Serve(call, exchange)
	for group, changes := range calls.window.TakeBacklogChanges() {
		owners.send(backlog.Request{Group: group, Changes: changes})
	}
	if counts := counted(); len(counts) != 0 {
		t.Errorf("after the prompt was read: %v", counts)
	}
	if len(exchange.done) != 2 {
		t.Errorf("done: %v", exchange.done)
	}
}
