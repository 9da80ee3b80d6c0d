package capacity

import (
	"testing"

	"seamloom.example/seamloom/internal/config"
)

// TestHollowConfigurationsAreSound checks both kinds as an operator's would be, and
// the edits that are made of them.
func TestHollowConfigurationsAreSound(t *testing.T) {
	sizes := Sized{Routes: 40, Tenants: 9, Models: 3}
	configuration, err := config.Check(Configuration(sizes, 1))
	if err != nil || len(configuration.Routes) != 40+9+2 || len(configuration.Services) != 3+1 {
		t.Errorf("%v", err)
	}
	for _, edit := range []func([]byte) ([]byte, error){onePlace(1), twoPlaces(1)} {
		edited, err := edit(Configuration(sizes, 1))
		if err == nil {
			_, err = config.Check(edited)
		}
		if err != nil {
			t.Error(err)
		}
	}
	calls, err := config.Check(CallsConfiguration(sizes))
	if err != nil || len(calls.Routes) != 18 || len(calls.Services) != 3 {
		t.Errorf("%v", err)
	}
}
