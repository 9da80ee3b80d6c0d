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

// CountOwners reach the nodes that keep the counts of what all nodes have model servers
// read, and are one of them. The keeper of a group is the recorded node of the group's
// zone that rendezvous hashing puts first, but for those that did not answer lately. Two
// nodes may take different ones for the keeper for a while: the counts are hints.
type CountOwners struct {
	runtime runtime.Runtime
	client  wire.Client
	window  *scheduler.Scheduler
	// self is this node's name, life this life of it.
	name, incarnation string
	counts            backlog.Table
	changed           runtime.Cond

	mutex    sync.Mutex
	nodes    map[string]membership.Member
	ranked   map[string][]membership.Member
	failedAt map[string]time.Time
}

// The patience with keepers. The values are ours.
const (
	// countTimeout is how long an answer is waited for: longer than a healthy keeper
	// in the same region takes, and short beside the aim of a call.
	countTimeout = 30 * time.Millisecond
	// ownerRetryAfter is how long a keeper that did not answer is passed over.
	ownerRetryAfter = 2 * time.Second
	// changesInterval lets the changes of a moment go in one message.
	changesInterval = 2 * time.Millisecond
)

// NewCountOwners makes the keepers' side and the asking side of one life of a node.
func NewCountOwners(rt runtime.Runtime, client wire.Client, window *scheduler.Scheduler, self, incarnation string) *CountOwners {
	return &CountOwners{runtime: rt, client: client, window: window, name: self, incarnation: incarnation, changed: rt.NewCond(),
		ranked: map[string][]membership.Member{}, failedAt: map[string]time.Time{}}
}

// SetMembers tells which nodes of the data plane are recorded.
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

// Handle answers a question of another node.
func (c *CountOwners) Answer(request backlog.Request) (backlog.Response, error) {
	return c.counts.Apply(c.runtime.Now(), request), nil
}

// Ask brings questions to their keepers, all at once, and gives the answers that come in
// time, by group.
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

// bring has the keeper of a question's group answer it.
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

// keeper is the node that keeps a group's counts.
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

// rank orders the nodes for a group: those of its zone, or all if there are none.
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

// SendChanges has the keepers told, soon, of what changed by a decision.
func (c *CountOwners) SendChanges() {
	if c.window.HasBacklogChanges() {
		c.changed.Broadcast()
	}
}

// Run brings changes to the keepers whenever there are any.
func (c *CountOwners) Run() {
	for c.runtime.Alive() {
		c.changed.Wait(idleTick, c.window.HasBacklogChanges)
		runtime.Sleep(c.runtime, changesInterval)
		for group, changes := range c.window.TakeBacklogChanges() {
			c.send(backlog.Request{Group: group, Changes: changes})
		}
	}
}
