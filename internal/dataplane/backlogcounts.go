package dataplane

import (
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// BacklogCounts holds the prefill backlog counts of the groups of model servers that this router
// owns, and sends requests for the counts of other groups to their owners. Each group has one router
// as its owner, which counts the prompt tokens that all routers send to the group. The owner is the
// first in the rendezvous hashing order of the recorded routers in the group's zone, or of all
// recorded routers if the zone has none; routers that failed to respond recently are skipped. For a
// short time two routers may disagree on the owner; that is harmless, because the counts are only
// hints.
type BacklogCounts struct {
	runtime       runtime.Runtime
	client        wire.Client
	callScheduler *scheduler.Scheduler
	// name is the name of this router, incarnation identifies its process.
	name, incarnation string
	// counts are the counts that this router owns.
	counts backlog.Table
	// changed signals that the scheduler has changes of backlog counts to send.
	changed runtime.Cond

	mutex sync.Mutex
	// routers are the recorded routers by name.
	routers map[string]membership.Member
	// ranked caches the result of rank for each group.
	ranked map[string][]membership.Member
	// failedAt is when the owner at an address last failed to respond.
	failedAt map[string]time.Time
}

// Timeouts of requests to owners.
const (
	// countTimeout is how long a router waits for the response of an owner: longer than a healthy
	// owner in the same region needs, and short compared with the latency target of a call.
	countTimeout = 30 * time.Millisecond
	// ownerRetryAfter is how long an owner that did not respond is skipped.
	ownerRetryAfter = 2 * time.Second
	// changesInterval is how long changes of backlog counts are batched before they are sent.
	changesInterval = 2 * time.Millisecond
)

// NewBacklogCounts returns the BacklogCounts of the router with the given name and incarnation.
func NewBacklogCounts(
	rt runtime.Runtime,
	client wire.Client,
	callScheduler *scheduler.Scheduler,
	name, incarnation string,
) *BacklogCounts {
	return &BacklogCounts{
		runtime:       rt,
		client:        client,
		callScheduler: callScheduler,
		name:          name,
		incarnation:   incarnation,
		changed:       rt.NewCond(),
		ranked:        map[string][]membership.Member{},
		failedAt:      map[string]time.Time{},
	}
}

// SetMembers replaces the recorded members.
func (c *BacklogCounts) SetMembers(members map[string]membership.Member) {
	routers := map[string]membership.Member{}
	for name, member := range members {
		if member.Kind == membership.Router {
			routers[name] = member
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.routers = routers
	c.ranked = map[string][]membership.Member{}
}

// Answer handles another router's request for counts that this router owns.
func (c *BacklogCounts) Answer(request backlog.Request) (backlog.Response, error) {
	return c.counts.Apply(c.runtime.Now(), request), nil
}

// Ask sends each request to the owner of its group, all in parallel. There must be at least one
// request. It returns the responses that arrive within countTimeout, by group.
func (c *BacklogCounts) Ask(requests []backlog.Request) map[string]backlog.Response {
	answers := make(map[string]backlog.Response, len(requests))
	var mutex sync.Mutex
	pending := len(requests) - 1
	done := c.runtime.NewCond()
	ask := func(request backlog.Request) {
		response, answered := c.send(request)
		mutex.Lock()
		defer mutex.Unlock()
		if answered {
			answers[request.Group] = response
		}
	}
	for _, request := range requests[1:] {
		c.runtime.Go(func() {
			ask(request)
			mutex.Lock()
			pending--
			mutex.Unlock()
			done.Broadcast()
		})
	}
	ask(requests[0])
	done.Wait(countTimeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return pending == 0
	})
	mutex.Lock()
	defer mutex.Unlock()
	// The result is a copy, because late responses are still added to answers.
	received := make(map[string]backlog.Response, len(answers))
	for group, answer := range answers {
		received[group] = answer
	}
	return received
}

// send sends a request to the owner of its group. If the owner does not respond, send returns false,
// and the owner is skipped for ownerRetryAfter.
func (c *BacklogCounts) send(request backlog.Request) (response backlog.Response, answered bool) {
	request.Router = c.incarnation
	owner, found := c.owner(request.Group)
	if !found {
		return response, false
	}
	if owner.Name == c.name {
		return c.counts.Apply(c.runtime.Now(), request), true
	}
	if err := wire.Call(c.client, owner.Address, wire.CountsPath, request, &response, countTimeout); err != nil {
		c.mutex.Lock()
		c.failedAt[owner.Address] = c.runtime.Now()
		c.mutex.Unlock()
		return response, false
	}
	return response, true
}

// owner returns the router that owns a group's counts, or false if no router is recorded or
// all failed to respond recently.
func (c *BacklogCounts) owner(group string) (membership.Member, bool) {
	now := c.runtime.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ranked, known := c.ranked[group]
	if !known {
		ranked = c.rank(group)
		c.ranked[group] = ranked
	}
	for _, router := range ranked {
		if lastFailure, found := c.failedAt[router.Address]; !found || now.Sub(lastFailure) >= ownerRetryAfter {
			return router, true
		}
	}
	return membership.Member{}, false
}

// rank returns the routers of a group's zone, or all routers if the zone has none, in the
// order of rendezvous hashing for the group. The zone is the second to last part of the group's
// name, whose parts are separated by slashes.
func (c *BacklogCounts) rank(group string) []membership.Member {
	zone := ""
	if parts := strings.Split(group, "/"); len(parts) >= 2 {
		zone = parts[len(parts)-2]
	}
	var sameZone, all []string
	for name, router := range c.routers {
		all = append(all, name)
		if router.Zone == zone {
			sameZone = append(sameZone, name)
		}
	}
	if len(sameZone) > 0 {
		all = sameZone
	}
	var ranked []membership.Member
	for _, name := range membership.RankByWeight(group, all) {
		ranked = append(ranked, c.routers[name])
	}
	return ranked
}

// SendChanges wakes Run if the scheduler has changes of backlog counts to send.
func (c *BacklogCounts) SendChanges() {
	if c.callScheduler.HasBacklogChanges() {
		c.changed.Broadcast()
	}
}

// Run sends the scheduler's changes of backlog counts to the owners until the process ends.
func (c *BacklogCounts) Run() {
	for c.runtime.Alive() {
		c.changed.Wait(idleTick, c.callScheduler.HasBacklogChanges)
		runtime.Sleep(c.runtime, changesInterval)
		for group, changes := range c.callScheduler.TakeBacklogChanges() {
			c.send(backlog.Request{Group: group, Changes: changes})
		}
	}
}
