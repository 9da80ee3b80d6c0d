package capacity

import (
	"testing"

	"seamloom.example/seamloom/internal/menu"
)

// TestHollowConfigurationsAreSound checks both kinds as an operator's would be, and
// the edits that are made of them.
func TestHollowConfigurationsAreSound(test *testing.T) {
	sizes := Sized{Routes: 40, Tenants: 9, Models: 3}
	configuration, failure := menu.Check(Configuration(sizes, 1))
	if failure != nil || len(configuration.Routes) != 40+9+2 || len(configuration.Services) != 3+1 {
		test.Errorf("%v", failure)
	}
	for _, edit := range []func([]byte) ([]byte, error){onePlace(1), twoPlaces(1)} {
		edited, failure := edit(Configuration(sizes, 1))
		if failure == nil {
			_, failure = menu.Check(edited)
		}
		if failure != nil {
			test.Error(failure)
		}
	}
	calls, failure := menu.Check(CallsConfiguration(sizes))
	if failure != nil || len(calls.Routes) != 18 || len(calls.Services) != 3 {
		test.Errorf("%v", failure)
	}
}
