package dataplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestPrimaryConfirmsOrReplacesAProvisionalConfiguration lets the primary come back,
// with the configuration that was lent, a newer one, or an older one, which nobody may
// go back to.
func TestPrimaryConfirmsOrReplacesAProvisionalConfiguration(t *testing.T) {
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	lent := replication.Section{Version: replication.Version{Epoch: 3, Number: 7}, Content: []byte(`{"routes":{"a":{"to":{"refuse":true}}}}`)}
	newer := replication.Section{Version: replication.Version{Epoch: 4, Number: 9}, Content: []byte(`{"routes":{"b":{"to":{"refuse":true}}}}`)}
	for _, row := range []struct {
		name    string
		answer  wire.UpdateResponse
		inForce replication.Version
		lease   bool
	}{
		{"the same", wire.UpdateResponse{Leads: true, Configuration: lent.Version, Lease: time.Second}, lent.Version, true},
		{"newer", wire.UpdateResponse{Leads: true, Configuration: newer.Version, Lease: time.Second, Sections: map[string]replication.Section{replication.ConfigurationSection: newer}}, newer.Version, true},
		{"older", wire.UpdateResponse{Leads: true, Configuration: replication.Version{Epoch: 3, Number: 5}, Lease: time.Second}, lent.Version, false},
	} {
		router := NewRouter(rt, nil, nil, nil, Options{Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
			ServeWithoutLease: time.Minute, Nonce: func() string { return "nonce" }}, func(string, ...any) {})
		copied := &wire.CopyState{Configuration: lent.Version, Sections: map[string]replication.Section{replication.ConfigurationSection: lent}}
		router.follower.ApplyProvisional(rt.Now(), wire.UpdateResponse{Copy: copied})
		if router.InForce() != lent.Version || router.Core().HasRoles() {
			t.Fatalf("%s: %s in force", row.name, router.InForce())
		}
		router.follower.Apply(rt.Now(), row.answer)
		if router.InForce() != row.inForce || router.Core().LeaseEnds().IsZero() == row.lease {
			t.Errorf("%s: %s in force, hold until %v", row.name, router.InForce(), router.Core().LeaseEnds())
		}
		if router.Heard().IsZero() || !router.Core().ServesUntil().After(rt.Now()) {
			t.Errorf("%s: the primary was not heard", row.name)
		}
	}
}
