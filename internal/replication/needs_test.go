package replication

import (
	"testing"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
)

// TestTenantsWaitForMembersThatCannotReadThem guards against a mixed fleet in which a member of an earlier
// release goes on without tenants, since it refuses the field and keeps its older configuration.
func TestTenantsWaitForMembersThatCannotReadThem(t *testing.T) {
	older := features.Supported(features.List{features.Tenants})
	with, without, evacuated := `{"revision":2,"tenants":{}}`, `{"revision":2}`, `{"revision":2,"tenants":{},"evacuations":{"north":{}}}`
	for _, c := range []struct {
		name    string
		present string
		members []features.List
		text    string
		sound   bool
		refused bool
	}{
		{"no member is recorded yet", `{}`, nil, with, false, false},
		{"all support it, no flag is enabled yet", `{}`, []features.List{features.Supported(nil), features.Supported(nil)}, with, false, false},
		{"one lacks it", `{}`, []features.List{features.Supported(nil), older}, with, false, true},
		{"one lacks it, there are no tenants", `{}`, []features.List{older}, without, false, false},
		{"one lacks it, and can't read what is in force either", with, []features.List{older}, evacuated, false, false},
		{"one lacks it, a sound edit of what is in force", with, []features.List{older}, evacuated, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := NewState()
			state.Configuration = []byte(c.present)
			for number, supported := range c.members {
				name := string(rune('a' + number))
				state.Members[name] = membership.Member{Name: name, Supported: supported}
			}
			edit := func([]byte) ([]byte, error) { return []byte(c.text), nil }
			prepared := PrepareConfiguration(Version{}, state.Configuration, edit, c.sound)
			err := ChangeConfiguration("one", "", nil, prepared, edit)(state, Version{1, 2}, Version{})
			switch {
			case c.refused && (failure.CodeOf(err) != failure.NotSupported || string(state.Configuration) != c.present || state.Changes.Count() != 0):
				t.Errorf("%v, %s", err, state.Configuration)
			case !c.refused && (err != nil || string(state.Configuration) != c.text):
				t.Errorf("%v, %s", err, state.Configuration)
			}
		})
	}
}
