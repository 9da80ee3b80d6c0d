package replication

// Drawer is one named part of the larder's content, at the version that wrote
// it last.
type Drawer struct {
	Version Version `msgpack:"version"`
	Content []byte  `msgpack:"content"`
}

// The drawers. Claims have one drawer for each span of time.
const (
	MenuDrawer    = "menu"
	MembersDrawer = "members"
	FlagsDrawer   = "flags"
	RotaDrawer    = "rota"
	OrdersDrawer  = "orders"
	ChangesDrawer = "changes"
	HorizonDrawer = "horizon"
	ClaimsPrefix  = "claims/"
)
