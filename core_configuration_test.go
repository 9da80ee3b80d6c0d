package seamloom

import (
	"errors"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/features"
)

// TestUntranslatableStoredConfigurationIsNotInForce guards against two faults: serving calls without an API
// key under a stored configuration whose tenants can't be read, and using a stored text without translation.
func TestUntranslatableStoredConfigurationIsNotInForce(t *testing.T) {
	stored := func(text []byte) ([]byte, error) {
		if string(text) == `{"revision":2}` {
			return nil, errors.New("refused")
		}
		return []byte(`{"tenants":{"school":{"keys":["key-1"]}}}`), nil
	}
	core := New(Options{Router: "router-1", Supported: Supported(nil), StoredConfiguration: stored})
	now := time.Unix(3_000_000, 0)
	core.Apply(Event{Kind: auction.ConfigurationReceived, At: now, Configuration: []byte(`{"revision":2}`), Epoch: 1, Number: 1})
	if epoch, number := core.InForce(); epoch != 0 || number != 0 {
		t.Errorf("after a failed translation: got version %d.%d in force, want none", epoch, number)
	}
	if core.Counts()["unreadable_configurations"] != 1 {
		t.Error("the failed translation is not counted")
	}
	core.Apply(Event{Kind: auction.ConfigurationReceived, At: now, Configuration: []byte(`{"revision":3}`), Epoch: 1, Number: 2})
	if _, number := core.InForce(); number != 2 || len(core.configuration.Tenants) != 1 {
		t.Errorf("got version %d in force with tenants %v, want version 2 with one tenant", number, core.configuration.Tenants)
	}
}

// TestCoreWithoutTenantSupportRejectsTenants guards against a build without tenant support serving calls
// without an API key: it must reject a configuration with tenants and keep the one in force.
func TestCoreWithoutTenantSupportRejectsTenants(t *testing.T) {
	core := New(Options{Router: "router-1", Supported: Supported(FlagList{features.Tenants})})
	now := time.Unix(3_000_000, 0)
	for number, text := range []string{`{"revision":1}`, `{"revision":2,"tenants":{}}`, `{"revision":3}`} {
		core.Apply(Event{Kind: auction.ConfigurationReceived, At: now, Configuration: []byte(text), Epoch: 1, Number: uint64(number + 1)})
		want := []uint64{1, 1, 3}[number]
		if _, inForce := core.InForce(); inForce != want {
			t.Errorf("after %s: got version %d in force, want %d", text, inForce, want)
		}
	}
}
