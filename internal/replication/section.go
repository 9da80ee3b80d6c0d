package replication

// Section is one named part of the larder's content, at the version that wrote
// it last.
type Section struct {
	Version Version `msgpack:"version"`
	Content []byte  `msgpack:"content"`
}

// The drawers. Claims have one drawer for each span of time.
const (
	ConfigurationSection = "menu"
	MembersSection       = "members"
	FlagsSection         = "flags"
	RolesSection         = "rota"
	OrdersSection        = "orders"
	ChangesSection       = "changes"
	HorizonSection       = "horizon"
	ClaimsPrefix         = "claims/"
)
