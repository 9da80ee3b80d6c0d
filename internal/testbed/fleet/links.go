package fleet

import "seamloom.example/seamloom/internal/membership"

// Links are the relays between the nodes of a fleet, one for each direction in
// which circuits are opened.
type Links struct {
	relays map[[2]string]*Relay
}

// LinkNodes puts a relay on every link between nodes, and from each courier to
// each model server. It is called before the nodes begin; whoever is added later
// is reached directly.
func (fleet *Fleet) LinkNodes() error {
	fleet.Links = &Links{relays: map[[2]string]*Relay{}}
	for _, from := range fleet.Nodes() {
		detours := map[string]string{}
		targets := map[string]string{}
		for _, to := range fleet.Nodes() {
			if from != to {
				targets[to.Node.Name] = to.Node.Address
			}
		}
		if from.Node.Kind == membership.Router {
			for _, name := range fleet.ServerNames() {
				targets[name] = fleet.Server(name).Address()
			}
		}
		for name, address := range targets {
			relay, err := StartRelay(address)
			if err != nil {
				return err
			}
			fleet.Links.relays[[2]string{from.Node.Name, name}] = relay
			detours[address] = relay.Address()
		}
		from.Set("detours", detours)
	}
	return nil
}

// Each does something to every link that chosen picks.
func (links *Links) Each(chosen func(from, to string) bool, act func(relay *Relay)) {
	for ends, relay := range links.relays {
		if chosen(ends[0], ends[1]) {
			act(relay)
		}
	}
}

// Heal ends all faults of all links.
func (links *Links) Heal() {
	links.Each(func(string, string) bool { return true }, func(relay *Relay) {
		relay.SetDark(false)
		relay.SetDelay(0)
		relay.SetDuplicate(false)
	})
}

// Close ends all relays.
func (links *Links) Close() {
	links.Each(func(string, string) bool { return true }, func(relay *Relay) { relay.Close() })
}
