package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
)

// Settings are the settings of a fleet. The zero value means the product's defaults, which a
// platform may override.
type Settings struct {
	AcknowledgeWait   time.Duration
	ServeWithoutLease time.Duration
	RetireAfter       time.Duration
	// CatchUp is the bound from which a core's waits are derived; zero means the default.
	CatchUp time.Duration
	// JoinOnly forbids controllers with blank disks to form a first core. FormOnce forbids the same,
	// except at a controller's first start while the fleet starts.
	JoinOnly, FormOnce bool
	// NoNodes means that the platform lists servers only.
	NoNodes bool
	// Calls makes routers serve opaque calls and follow the servers' load reports.
	Calls bool
}

// unusedCallService is a call service that ignores all updates.
type unusedCallService struct{}

// SetServing does nothing.
func (unusedCallService) SetServing(time.Time) {}

// SetBacklogCounts does nothing.
func (unusedCallService) SetBacklogCounts(*dataplane.BacklogCounts) {}

// SetQuotas does nothing: the simulated clients' requests have no tenants.
func (unusedCallService) SetQuotas(*dataplane.Quotas) {}

// SetServers does nothing.
func (unusedCallService) SetServers(time.Time, []membership.Server) {}

// PlatformSettings returns the settings of the users' platform.
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

// SetSettings sets the fleet's settings; it must be called before the fleet starts.
func (w *World) SetSettings(settings Settings) { w.settings = settings }
