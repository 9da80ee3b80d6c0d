package membership

import (
	"time"

	"seamloom.example/seamloom/internal/features"
)

// Member is a node as it is recorded, running or stopped.
type Member struct {
	Name      string        `msgpack:"name" json:"name"`
	Kind      NodeKind      `msgpack:"kind" json:"kind"`
	Address   string        `msgpack:"address" json:"address"`
	Zone      string        `msgpack:"district" json:"district"`
	Supported features.List `msgpack:"supported" json:"supported"`
	Since     time.Time     `msgpack:"since" json:"since"`
}

// Restricted tells whether the member lacks an enabled flag.
func (m Member) Restricted(enabled features.List) bool {
	return len(m.Supported.Lacks(enabled)) > 0
}

// Same tells whether recording the other member would change nothing.
func (m Member) Same(other Member) bool {
	return m.Name == other.Name && m.Kind == other.Kind && m.Address == other.Address &&
		m.Zone == other.Zone && len(m.Supported.Lacks(other.Supported)) == 0 &&
		len(other.Supported.Lacks(m.Supported)) == 0
}

// RouterNames are the names of the routers among recorded members, in no order.
func RouterNames(members map[string]Member) []string {
	var names []string
	for name, member := range members {
		if member.Kind == Router {
			names = append(names, name)
		}
	}
	return names
}
