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

// CountOwners reaches the routers that own the counts of what all routers have model servers
// prefill, and owns some itself. The owner of a group is the recorded router of the group's zone
// that rendezvous hashing ranks first, but for those that did not respond lately. Two routers
// may disagree on the owner for a while: the counts are hints.
type CountOwners struct {
	runtime runtime.Runtime
	client  wire.Client
	window  *scheduler.Scheduler
	// name is this router's, incarnation that of its process.
	name, incarnation string
	counts            backlog.Table
	changed           runtime.Cond

	mutex    sync.Mutex
	nodes    map[string]membership.Member
	ranked   map[string][]membership.Member
	failedAt map[string]time.Time
}

// The timeouts of owners. The values are ours.
const (
	// countTimeout is how long a response is waited for: longer than a healthy owner in the
	// same region takes, and short beside the latency target of a call.
	countTimeout = 30 * time.Millisecond
	// ownerRetryAfter is how long an owner that did not respond is passed over.
	ownerRetryAfter = 2 * time.Second
	// changesInterval is how long changes are batched before they are sent.
	changesInterval = 2 * time.Millisecond
)

// NewCountOwners makes one router's part in owning counts and its client of the other owners.
func NewCountOwners(rt runtime.Runtime, client wire.Client, window *scheduler.Scheduler, name, incarnation string) *CountOwners {
	return &CountOwners{runtime: rt, client: client, window: window, name: name, incarnation: incarnation, changed: rt.NewCond(),
		ranked: map[string][]membership.Member{}, failedAt: map[string]time.Time{}}
}

// SetMembers takes the recorded members.
func (c *CountOwners) SetMembers(members map[string]membership.Member) {
	nodes := map[string]membership.Member{}
	for name, member := range members {
		if member.Kind == membership.Router {
			nodes[name] = member
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes = nodes
	c.ranked = map[string][]membership.Member{}
}

// Answer serves another router's request to this owner.
func (c *CountOwners) Answer(request backlog.Request) (backlog.Response, error) {
	return c.counts.Apply(c.runtime.Now(), request), nil
}

// Ask sends questions to their owners, all at once, and gives the answers that come within
// countTimeout, by group.
func (c *CountOwners) Ask(questions []backlog.Request) map[string]backlog.Response {
	answers := make(map[string]backlog.Response, len(questions))
	var mutex sync.Mutex
	left := len(questions) - 1
	done := c.runtime.NewCond()
	ask := func(request backlog.Request) {
		response, answered := c.send(request)
		mutex.Lock()
		defer mutex.Unlock()
		if answered {
			answers[request.Group] = response
		}
	}
	for _, req := range questions[1:] {
		c.runtime.Go(func() {
			ask(req)
			mutex.Lock()
			left--
			mutex.Unlock()
			done.Broadcast()
		})
	}
	ask(questions[0])
	done.Wait(countTimeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return left == 0
	})
	mutex.Lock()
	defer mutex.Unlock()
	complete := make(map[string]backlog.Response, len(answers))
	for group, resp := range answers {
		complete[group] = resp
	}
	return complete
}

// send sends a question to the owner of its group.
func (c *CountOwners) send(request backlog.Request) (response backlog.Response, answered bool) {
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

// owner is the router that owns a group's counts; false if none is recorded or responds.
func (c *CountOwners) owner(group string) (membership.Member, bool) {
	now := c.runtime.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ranked, known := c.ranked[group]
	if !known {
		ranked = c.rank(group)
		c.ranked[group] = ranked
	}
	for _, node := range ranked {
		if silent, found := c.failedAt[node.Address]; !found || now.Sub(silent) >= ownerRetryAfter {
			return node, true
		}
	}
	return membership.Member{}, false
}

// rank ranks the routers for a group: those of its zone, or all if it has none.
func (c *CountOwners) rank(group string) []membership.Member {
	zone := ""
	if parts := strings.Split(group, "/"); len(parts) >= 2 {
		zone = parts[len(parts)-2]
	}
	var near, all []string
	for name, node := range c.nodes {
		all = append(all, name)
		if node.Zone == zone {
			near = append(near, name)
		}
	}
	if len(near) > 0 {
		all = near
	}
	var ranked []membership.Member
	for _, name := range membership.Ranked(group, all) {
		ranked = append(ranked, c.nodes[name])
	}
	return ranked
}

// SendChanges has Run send the changes of a decision, if there are any.
func (c *CountOwners) SendChanges() {
	if c.window.HasBacklogChanges() {
		c.changed.Broadcast()
	}
}

// Run sends changes to their owners whenever there are any.
func (c *CountOwners) Run() {
	for c.runtime.Alive() {
		c.changed.Wait(idleTick, c.window.HasBacklogChanges)
		runtime.Sleep(c.runtime, changesInterval)
		for group, changes := range c.window.TakeBacklogChanges() {
			c.send(backlog.Request{Group: group, Changes: changes})
		}
	}
}
