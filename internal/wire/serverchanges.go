package wire

import (
	"slices"
	"strings"

	"seamloom.example/seamloom/internal/membership"
)

// ServerChanges are the changes between two revisions of the list of servers.
type ServerChanges struct {
	// Base is the revision to which the changes apply.
	Base uint64 `msgpack:"base"`
	// Changed are the servers that are new or listed differently. Their remaining warm-up time is as of
	// when the update was made.
	Changed []membership.Server `msgpack:"changed,omitempty"`
	Removed []string            `msgpack:"removed,omitempty"`
}

// Apply applies the changes to the list of revision Base and returns the new list, sorted by name.
func (c ServerChanges) Apply(base []membership.Server) []membership.Server {
	servers := map[string]membership.Server{}
	for _, server := range base {
		servers[server.Name] = server
	}
	// A server that was removed and listed again is in both Removed and Changed.
	for _, name := range c.Removed {
		delete(servers, name)
	}
	for _, server := range c.Changed {
		servers[server.Name] = server
	}
	list := make([]membership.Server, 0, len(servers))
	for _, server := range servers {
		list = append(list, server)
	}
	slices.SortFunc(list, func(left, right membership.Server) int { return strings.Compare(left.Name, right.Name) })
	return list
}
