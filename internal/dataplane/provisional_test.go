package dataplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestPrimaryConfirmsOrReplacesAProvisionalConfiguration puts a replica's configuration provisionally
// in force. Then a primary responds with the same, a newer or an older version of the configuration.
// The newer version must replace the provisional one, and the older version must not. The router must
// accept the lease in the response unless the version is older.
func TestPrimaryConfirmsOrReplacesAProvisionalConfiguration(t *testing.T) {
	rt := osruntime.New(t.Context(), osruntime.NewClock())
	provisional := replication.Section{
		Version: replication.Version{Epoch: 3, Number: 7},
		Content: []byte(`{"routes":{"a":{"to":{"refuse":true}}}}`),
	}
	newer := replication.Section{
		Version: replication.Version{Epoch: 4, Number: 9},
		Content: []byte(`{"routes":{"b":{"to":{"refuse":true}}}}`),
	}
	for _, test := range []struct {
		name     string
		response wire.UpdateResponse
		inForce  replication.Version
		lease    bool
	}{
		{"the same", wire.UpdateResponse{Leads: true, Configuration: provisional.Version, Lease: time.Second}, provisional.Version, true},
		{"newer", wire.UpdateResponse{
			Leads:         true,
			Configuration: newer.Version,
			Lease:         time.Second,
			Sections:      map[string]replication.Section{replication.ConfigurationSection: newer},
		}, newer.Version, true},
		{"older", wire.UpdateResponse{
			Leads:         true,
			Configuration: replication.Version{Epoch: 3, Number: 5},
			Lease:         time.Second,
		}, provisional.Version, false},
	} {
		router := NewRouter(rt, nil, nil, nil, Options{
			Options:           seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
			ServeWithoutLease: time.Minute,
			Nonce:             func() string { return "nonce" },
		}, func(string, ...any) {})
		copyState := &wire.CopyState{
			Configuration: provisional.Version,
			Sections:      map[string]replication.Section{replication.ConfigurationSection: provisional},
		}
		router.follower.ApplyProvisional(rt.Now(), wire.UpdateResponse{Copy: copyState})
		if router.InForce() != provisional.Version || router.Core().HasRoles() {
			t.Fatalf("%s: got version %s in force, has roles %v, want the provisional version %s without roles",
				test.name, router.InForce(), router.Core().HasRoles(), provisional.Version)
		}
		router.follower.Apply(rt.Now(), test.response)
		if router.InForce() != test.inForce || router.Core().LeaseEnds().IsZero() == test.lease {
			t.Errorf("%s: got version %s in force, lease until %v, want version %s, has lease %v",
				test.name, router.InForce(), router.Core().LeaseEnds(), test.inForce, test.lease)
		}
		if router.LastUpdateAt().IsZero() || !router.Core().ServesUntil().After(rt.Now()) {
			t.Errorf("%s: got last update at %v, serving until %v, want a recorded update and serving until after now",
				test.name, router.LastUpdateAt(), router.Core().ServesUntil())
		}
	}
}
