package replication

// Section is one named part of the replicated state's content, at the version that wrote
// it last.
type Section struct {
	Version Version `msgpack:"version"`
	Content []byte  `msgpack:"content"`
}

// The sections. Claims have one section for each span of time.
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
