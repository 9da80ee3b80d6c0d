package controller

import (
	"net/http"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/replication"
)

// Edit changes the configuration if this controller is primary. It returns the version of the
// change once the change is in force.
func (p *Process) Edit(edit controlplane.Edit) (replication.Version, error) {
	return p.controller.Edit(edit)
}

// Configuration returns the newest committed configuration if this controller is primary, and
// an error otherwise.
func (p *Process) Configuration() ([]byte, error) {
	_, _, state, err := p.controller.Read()
	if err != nil {
		return nil, err
	}
	return state.Configuration, nil
}

// IsPrimary reports whether this controller is currently primary. If it is not, IsPrimary also returns the
// address at which other nodes reach the primary. The address is empty if this controller does not know the
// primary, or if the newest membership that it knows still names this controller as primary.
func (p *Process) IsPrimary() (isPrimary bool, primary string) {
	if _, _, err := p.controller.Leading(); err == nil {
		return true, ""
	}
	address := p.controller.Coordinator().Membership().Primary.Address
	if address == p.controller.Witness().Replica().Address {
		return false, ""
	}
	return false, address
}

// Serve serves the handler on an additional address until the process ends.
func (p *Process) Serve(address string, handler http.Handler) error {
	return daemon.Serve(&p.tomb, address, handler, p.clock.Now)
}
