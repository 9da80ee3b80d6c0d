package controlplane

import (
	"testing"

	"seamloom.example/seamloom/internal/replication"
)

// TestRoleGrantsWakeNoPolls expects polls to be woken only by batches that change a section that nodes
// follow. Otherwise each batch would make the primary spend its CPU on waking about 300 polls.
func TestRoleGrantsWakeNoPolls(t *testing.T) {
	for _, row := range []struct {
		name  string
		batch replication.Batch
		wakes bool
	}{
		{"roles", replication.Batch{Sections: map[string]replication.Section{replication.RolesSection: {}}}, false},
		{"an expired section of change records", replication.Batch{Removed: []string{replication.ChangesPrefix + "1"}}, false},
		{"the horizon", replication.Batch{Sections: map[string]replication.Section{replication.HorizonSection: {}}}, false},
		{"a configuration", replication.Batch{Sections: map[string]replication.Section{
			replication.ConfigurationSection: {},
			replication.RolesSection:         {},
		}}, true},
		{"members", replication.Batch{Sections: map[string]replication.Section{replication.MembersSection: {}}}, true},
		{"flags", replication.Batch{Sections: map[string]replication.Section{replication.FlagsSection: {}}}, true},
		{"orders", replication.Batch{Sections: map[string]replication.Section{replication.OrdersSection: {}}}, true},
	} {
		if changesFollowedSection(row.batch) != row.wakes {
			t.Errorf("a batch with %s: got polls woken %v, want %v", row.name, !row.wakes, row.wakes)
		}
	}
}
