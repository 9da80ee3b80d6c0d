package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
)

// Settings are the settings of a fleet on a platform that asks for others than the
// product's own.
type Settings struct {
	AcknowledgeWait   time.Duration
	ServeWithoutLease time.Duration
	RetireAfter       time.Duration
	// CatchUp is the bound that a core's waits are derived from; zero: the default.
	CatchUp time.Duration
	// JoinOnly lets no blank disk form a first core; FormOnce only those that start
	// with the fleet.
	JoinOnly, FormOnce bool
	// NoNodes: the platform lists servers only.
	NoNodes bool
	// Calls has routers follow the servers' reports, as those that serve calls do.
	Calls bool
}

// ignoringBoard is a board on which nothing is done: no calls come in these days.
type ignoringBoard struct{}

// SetServing is not minded.
func (ignoringBoard) SetServing(time.Time) {}

// SetCountOwners is not needed.
func (ignoringBoard) SetCountOwners(*dataplane.CountOwners) {}

// SetQuotas is not needed: requests of this protocol have no tenants.
func (ignoringBoard) SetQuotas(*dataplane.Quotas) {}

// SetServers is not minded.
func (ignoringBoard) SetServers(time.Time, []membership.Server) {}

// PlatformSettings are those of the users' platform.
func PlatformSettings() Settings {
	return Settings{
		AcknowledgeWait:   600 * time.Millisecond,
		ServeWithoutLease: 24 * time.Hour,
		RetireAfter:       20 * time.Second,
		FormOnce:          true,
		NoNodes:           true,
		Calls:             true,
	}
}

// SetSettings chooses them, before the fleet starts.
func (w *World) SetSettings(ways Settings) { w.settings = ways }
