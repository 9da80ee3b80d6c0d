package controlplane

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// LoadReader is the port by which the primary asks a model server for its load, for
// all routers.
type LoadReader interface {
	ReadLoad(server membership.Server, timeout time.Duration) (scheduler.Load, error)
}

// readServers reads the platform's list for the fleet for as long as this controller
// leads, and at once when it begins to.
func (c *Controller) readServers() {
	for c.runtime.Alive() {
		if !c.serverList.leading() {
			c.termBegan.Wait(time.Minute, c.serverList.leading)
			continue
		}
		asked := c.runtime.Now()
		servers, err := c.options.Directory.Servers()
		// A list that could not be read leaves what is known as it is.
		if err == nil && c.serverList.update(asked, servers) {
			c.updated.Broadcast()
		}
		c.logListError(err)
		if left := listInterval - c.runtime.Now().Sub(asked); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// provisionalTimeout is how long the response to a router that fetches a configuration from a
// copy waits for the list that is being read. The value is ours.
const provisionalTimeout = 150 * time.Millisecond

// provisionalServers is the list of servers for routers that have no primary. It is
// read when the first of them asks, so that they need not all read it themselves, and
// sent to those that fetch a configuration.
func (c *Controller) provisionalServers(fetches bool) *wire.ServersUpdate {
	if c.options.Directory == nil {
		return nil
	}
	if c.serverList.startRead(c.runtime.Now()) {
		c.runtime.Go(func() {
			asked := c.runtime.Now()
			servers, err := c.options.Directory.Servers()
			if err == nil {
				c.serverList.update(asked, servers)
				c.updated.Broadcast()
			}
			c.logListError(err)
		})
	}
	if !fetches {
		return nil
	}
	var servers *wire.ServersUpdate
	c.updated.Wait(provisionalTimeout, func() bool {
		servers = c.serverList.recent(c.runtime.Now())
		return servers != nil
	})
	return servers
}

// logListError logs that the list can't be read, and that it can again, once each.
func (c *Controller) logListError(err error) {
	cause := ""
	if err != nil {
		cause = string(failure.CodeOf(err))
	}
	c.serverList.mutex.Lock()
	logged := c.serverList.lastError == cause
	c.serverList.lastError = cause
	c.serverList.mutex.Unlock()
	if !logged {
		c.observe("list_read", "error", err)
	}
}

// readReports asks all servers for their load, over and over, while this controller
// leads and a router follows reports.
func (c *Controller) readReports() {
	for c.runtime.Alive() {
		if !c.serverList.leading() {
			c.termBegan.Wait(time.Minute, c.serverList.leading)
			continue
		}
		began := c.runtime.Now()
		if wanted := c.serverList.startPolls(began); len(wanted) > 0 {
			c.pollServers(wanted)
			c.serverList.endRound(c.runtime.Now())
			c.updated.Broadcast()
		}
		if left := c.serverList.reportPause(c.runtime.Now()) - c.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// pollServers reads all servers' loads at once and waits roundTimeout for them.
func (c *Controller) pollServers(servers []membership.Server) {
	c.serverList.mutex.Lock()
	epoch := c.serverList.epoch
	c.serverList.mutex.Unlock()
	cond := c.runtime.NewCond()
	var mutex sync.Mutex
	left := len(servers)
	for _, server := range servers {
		c.runtime.Go(func() {
			asked := c.runtime.Now()
			load, err := c.options.LoadReader.ReadLoad(server, reportTimeout)
			c.serverList.endPoll(epoch, server.Name, asked, load, err)
			mutex.Lock()
			left--
			last := left == 0
			mutex.Unlock()
			if last {
				cond.Broadcast()
			}
		})
	}
	cond.Wait(roundTimeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return left == 0
	})
}
