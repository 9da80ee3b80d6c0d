// Package config is the operators' configuration: services, routes, tenants and evacuations. It
// checks a configuration (Check), merges a partial one into it (Merge), builds the next
// revision (Revise) and compares a proposed one with the state of the fleet
// (ValidateAgainst). It is pure: the control plane stores and distributes what it makes,
// scheduler and auction read the checked Configuration, platform translates the users'
// format to its own.
package config

import (
	"time"
)

// Configuration is a checked configuration. Text is its JSON.
type Configuration struct {
	Text        []byte
	Services    map[string]Service
	Routes      []Route
	Evacuations map[string]Evacuation
	// Revision is the operator's own number of the configuration; zero if there is
	// none. A change that gives one must give a higher one.
	Revision uint64
	// Limits bound what a caller may send.
	Limits Limits
	// Tenants are those whose clients may send opaque calls; nil: calls need no key.
	Tenants map[string]Tenant
}

// Limits bound what a caller may send; a zero means the product's default.
type Limits struct {
	// HeaderBytes and BodyBytes bound the sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Empty is the configuration of a fleet that was given none: it has no
// services, so every request is refused as unknown.
func Empty() *Configuration {
	return &Configuration{Text: []byte(`{}`), Services: map[string]Service{}, Evacuations: map[string]Evacuation{}}
}
