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

// LoadReader is the interface through which the primary reads the load of a model server on behalf of
// all routers.
type LoadReader interface {
	ReadLoad(server membership.Server, timeout time.Duration) (scheduler.Load, error)
}

// readServers reads the platform's list of servers on behalf of all nodes: while this controller is
// primary, once per listInterval, and for the first time as soon as its term begins.
func (c *Controller) readServers() {
	for c.runtime.Alive() {
		if !c.serverList.leading() {
			c.termBegan.Wait(time.Minute, c.serverList.leading)
			continue
		}
		requestedAt := c.runtime.Now()
		servers, err := c.options.Directory.Servers()
		// If the list cannot be read, the last known list stays in use.
		if err == nil && c.serverList.update(requestedAt, servers) {
			c.updated.Broadcast()
		}
		c.logListError(err)
		if left := listInterval - c.runtime.Now().Sub(requestedAt); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// provisionalTimeout is how long a response to a router that fetches a configuration from a copy
// waits for the list of servers that is being read.
const provisionalTimeout = 150 * time.Millisecond

// provisionalServers returns the list of servers for a router that has found no primary. The first
// request of such a router in each listInterval makes this controller read the list, so that the
// routers do not all read it themselves. Only routers that fetch a configuration (fetches) get the
// list; the result is nil for other routers, and if there is no recent list.
func (c *Controller) provisionalServers(fetches bool) *wire.ServersUpdate {
	if c.options.Directory == nil {
		return nil
	}
	if c.serverList.startRead(c.runtime.Now()) {
		c.runtime.Go(func() {
			requestedAt := c.runtime.Now()
			servers, err := c.options.Directory.Servers()
			if err == nil {
				c.serverList.update(requestedAt, servers)
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

// logListError logs the result of reading the list if its error code has changed, also when reads succeed again.
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

// readReports polls the loads of all listed servers in cycles while this controller is primary and a
// router wants load reports. A cycle skips the servers whose earlier poll has not ended.
func (c *Controller) readReports() {
	for c.runtime.Alive() {
		if !c.serverList.leading() {
			c.termBegan.Wait(time.Minute, c.serverList.leading)
			continue
		}
		began := c.runtime.Now()
		if wanted := c.serverList.startPolls(began); len(wanted) > 0 {
			c.pollServers(wanted)
			c.serverList.endCycle(c.runtime.Now())
			c.updated.Broadcast()
		}
		if left := c.serverList.pollInterval(c.runtime.Now()) - c.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// pollServers reads the loads of the given servers in parallel and waits up to cycleTimeout for them.
func (c *Controller) pollServers(servers []membership.Server) {
	c.serverList.mutex.Lock()
	epoch := c.serverList.epoch
	c.serverList.mutex.Unlock()
	cond := c.runtime.NewCond()
	var mutex sync.Mutex
	left := len(servers)
	for _, server := range servers {
		c.runtime.Go(func() {
			requestedAt := c.runtime.Now()
			load, err := c.options.LoadReader.ReadLoad(server, reportTimeout)
			c.serverList.endPoll(epoch, server.Name, requestedAt, load, err)
			mutex.Lock()
			left--
			last := left == 0
			mutex.Unlock()
			if last {
				cond.Broadcast()
			}
		})
	}
	cond.Wait(cycleTimeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return left == 0
	})
}
