package controlplane

import (
	"testing"

	"seamloom.example/seamloom/internal/replication"
)

// TestRoleGrantsWakeNoPolls wants polls to be woken by batches that change what they follow, and by no
// others: the processor of the primary would go to 300 of them at each.
func TestRoleGrantsWakeNoPolls(t *testing.T) {
	for _, row := range []struct {
		name  string
		batch replication.Batch
		wakes bool
	}{
		{"roles", replication.Batch{Sections: map[string]replication.Section{replication.RolesSection: {}}}, false},
		{"an expired section of change records", replication.Batch{Removed: []string{replication.ChangesPrefix + "1"}}, false},
		{"the horizon", replication.Batch{Sections: map[string]replication.Section{replication.HorizonSection: {}}}, false},
		{"a configuration", replication.Batch{Sections: map[string]replication.Section{replication.ConfigurationSection: {}, replication.RolesSection: {}}}, true},
		{"members", replication.Batch{Sections: map[string]replication.Section{replication.MembersSection: {}}}, true},
		{"flags", replication.Batch{Sections: map[string]replication.Section{replication.FlagsSection: {}}}, true},
		{"orders", replication.Batch{Sections: map[string]replication.Section{replication.OrdersSection: {}}}, true},
	} {
		if followed(row.batch) != row.wakes {
			t.Errorf("%s: polls are woken: %v", row.name, !row.wakes)
		}
	}
}
