package fleet

import "seamloom.example/seamloom/internal/membership"

// Links are the relays between the nodes of a fleet, one for each direction in
// which connections are opened.
type Links struct {
	// relays holds each relay under the name of the node that opens connections, followed by the
	// name of the node or server that accepts them.
	relays map[[2]string]*Relay
}

// LinkNodes puts a relay on every link between nodes, and on the link from each router to
// each model server. It must be called before the nodes start. Nodes and servers that are
// added later are reached directly.
func (f *Fleet) LinkNodes() error {
	f.Links = &Links{relays: map[[2]string]*Relay{}}
	for _, from := range f.Nodes() {
		detours := map[string]string{}
		targets := map[string]string{}
		for _, to := range f.Nodes() {
			if from != to {
				targets[to.Node.Name] = to.Node.Address
			}
		}
		if from.Node.Kind == membership.Router {
			for _, name := range f.ServerNames() {
				targets[name] = f.Server(name).Address()
			}
		}
		for name, address := range targets {
			relay, err := StartRelay(address)
			if err != nil {
				return err
			}
			f.Links.relays[[2]string{from.Node.Name, name}] = relay
			detours[address] = relay.Address()
		}
		from.Set("detours", detours)
	}
	return nil
}

// Each calls act with the relay of every link for which chosen returns true.
func (l *Links) Each(chosen func(from, to string) bool, act func(relay *Relay)) {
	for ends, relay := range l.relays {
		if chosen(ends[0], ends[1]) {
			act(relay)
		}
	}
}

// Heal ends the faults of all links.
func (l *Links) Heal() {
	l.Each(func(string, string) bool { return true }, func(relay *Relay) {
		relay.SetBlocked(false)
		relay.SetDelay(0)
		relay.SetDuplicate(false)
	})
}

// Close closes all relays.
func (l *Links) Close() {
	l.Each(func(string, string) bool { return true }, func(relay *Relay) { relay.Close() })
}
