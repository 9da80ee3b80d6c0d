package replication

import (
	"testing"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
)

// TestTenantsWaitForMembersThatCannotReadThem guards against accepting a configuration with tenants
// while a member of an earlier release is recorded. That member would refuse the field tenants, keep
// its older configuration, and serve without tenants.
func TestTenantsWaitForMembersThatCannotReadThem(t *testing.T) {
	older := features.Supported(features.List{features.Tenants})
	with, without, evacuated := `{"revision":2,"tenants":{}}`, `{"revision":2}`,
		`{"revision":2,"tenants":{},"evacuations":{"north":{}}}`
	for _, c := range []struct {
		name            string
		present         string
		members         []features.List
		text            string
		validatesItself bool
		refused         bool
	}{
		{"no member is recorded yet", `{}`, nil, with, false, false},
		{
			"all members support the flag, which is not enabled yet", `{}`,
			[]features.List{features.Supported(nil), features.Supported(nil)}, with, false, false,
		},
		{"one member lacks the flag", `{}`, []features.List{features.Supported(nil), older}, with, false, true},
		{"one member lacks the flag, there are no tenants", `{}`, []features.List{older}, without, false, false},
		{
			"one member lacks the flag and can't read the present configuration either", with,
			[]features.List{older}, evacuated, false, false,
		},
		{"one member lacks the flag, the edit validates itself", with, []features.List{older}, evacuated, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := NewState()
			state.Configuration = []byte(c.present)
			for number, supported := range c.members {
				name := string(rune('a' + number))
				state.Members[name] = membership.Member{Name: name, Supported: supported}
			}
			edit := func([]byte) ([]byte, error) { return []byte(c.text), nil }
			prepared := PrepareConfiguration(Version{}, state.Configuration, edit, c.validatesItself)
			err := ChangeConfiguration("one", "", nil, prepared, edit)(state, Version{1, 2}, Version{})
			switch {
			case c.refused && (failure.CodeOf(err) != failure.NotSupported ||
				string(state.Configuration) != c.present || state.Changes.Count() != 0):
				t.Errorf("got error %v, configuration %s, want NotSupported and the present configuration", err, state.Configuration)
			case !c.refused && (err != nil || string(state.Configuration) != c.text):
				t.Errorf("got error %v, configuration %s, want the edited configuration", err, state.Configuration)
			}
		})
	}
}
