// Package config defines the operators' configuration: services, routes, tenants and evacuations. It
// checks a configuration (Check), merges a partial configuration into it (Merge), builds the next
// revision (Revise) and compares a proposed configuration with the state of the fleet
// (ValidateAgainst). The package does no I/O: the control plane stores and distributes configurations,
// the packages scheduler and auction use the checked Configuration, and package platform translates the
// users' format to the format of this package.
package config

import (
	"time"
)

// Configuration is a validated configuration. Text is its JSON.
type Configuration struct {
	Text        []byte
	Services    map[string]Service
	Routes      []Route
	Evacuations map[string]Evacuation
	// Revision is the number that the operator gives the configuration; zero if there is
	// none. If a change contains a revision, it must be higher than the current one.
	Revision uint64
	// Limits bounds the requests of clients.
	Limits Limits
	// Tenants are the tenants whose clients may send opaque calls; nil means that calls need no key.
	Tenants map[string]Tenant
}

// Limits bounds the requests of clients. A zero field means the built-in default.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is how long a client may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Empty returns the configuration of a fleet that has not received one yet. It has no
// services, so every request is rejected as unknown.
func Empty() *Configuration {
	return &Configuration{Text: []byte(`{}`), Services: map[string]Service{}, Evacuations: map[string]Evacuation{}}
}
