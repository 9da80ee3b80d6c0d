package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// validSettings returns settings that pass Check.
func validSettings(kind membership.NodeKind) Settings {
	settings := Defaults(kind)
	settings.Name, settings.Address, settings.Zone, settings.Platform = "node-1", "127.0.0.1:7101", "north", "127.0.0.1:7000"
	settings.Seeds = []string{"127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"}
	if kind == membership.Controller {
		settings.DataFolder = "folder"
	}
	return settings
}

// TestDefaultsRequireLeases checks that by default changes wait for the leases of unresponsive routers, and
// that no request is admitted without a lease.
func TestDefaultsRequireLeases(t *testing.T) {
	for _, kind := range []membership.NodeKind{membership.Router, membership.Controller} {
		settings := validSettings(kind)
		if err := settings.Check(); err != nil {
			t.Errorf("%s: Check failed: %v", kind, err)
		}
		if settings.AcknowledgeWait != 0 || settings.ServeWithoutLease != 0 || !settings.Bootstrap || settings.Grace != 20*time.Second {
			t.Errorf("%s: got defaults %+v, want no acknowledge wait, no serving without a lease, bootstrap and a grace of 20s", kind, settings)
		}
	}
}

// TestReadFileSetsFields reads booleans, durations and additional addresses from a file, and rejects values
// of the wrong type or format.
func TestReadFileSetsFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	read := func(text string) (Settings, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		settings := validSettings(membership.Router)
		err := settings.ReadFile(path)
		return settings, err
	}
	settings, err := read(`{"bootstrap":false,"acknowledge_wait":"1s","serve_without_hold":"90s","grace":"8s",
		"calls_address":"10.0.0.1:80","ready_address":"10.0.0.1:81","control_address":"10.0.0.1:82"}`)
	if err != nil {
		t.Fatal(err)
	}
	if settings.Bootstrap || settings.AcknowledgeWait != time.Second || settings.ServeWithoutLease != 90*time.Second ||
		settings.Grace != 8*time.Second ||
		settings.CallsAddress != "10.0.0.1:80" || settings.ReadyAddress != "10.0.0.1:81" || settings.ControlAddress != "10.0.0.1:82" {
		t.Errorf("got %+v, want the values of the file", settings)
	}
	for _, invalid := range []string{
		`{"bootstrap":"yes"}`,
		`{"acknowledge_wait":1}`,
		`{"acknowledge_wait":"soon"}`,
		`{"grace":true}`,
		`{"calls_address":5}`,
	} {
		if _, err := read(invalid); err == nil {
			t.Errorf("%s was accepted, want an error", invalid)
		}
	}
}

// TestCheckNamesInvalidSettings makes one setting invalid at a time: the error must contain its key.
func TestCheckNamesInvalidSettings(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"acknowledge_wait":   func(settings *Settings) { settings.AcknowledgeWait = -1 },
		"serve_without_hold": func(settings *Settings) { settings.ServeWithoutLease = -1 },
		"grace":              func(settings *Settings) { settings.Grace = -1 },
		"calls_address":      func(settings *Settings) { settings.CallsAddress = "here" },
		"ready_address":      func(settings *Settings) { settings.ReadyAddress = settings.Address },
		"control_address":    func(settings *Settings) { settings.ControlAddress = "127.0.0.1:9" },
		"seeds":              func(settings *Settings) { settings.Bootstrap, settings.Seeds = false, nil },
	} {
		settings := validSettings(membership.Router)
		invalidate(&settings)
		if err := settings.Check(); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("got error %v, want one that names %s", err, key)
		}
	}
	joining := validSettings(membership.Controller)
	joining.Bootstrap, joining.Seeds = false, joining.Seeds[:1]
	if err := joining.Check(); err != nil {
		t.Errorf("got error %v for one seed without bootstrap, want none", err)
	}
	joining.Bootstrap = true
	if joining.Check() == nil {
		t.Error("bootstrap with one seed was accepted, want an error")
	}
}

// TestReloadChangesOnlyReloadableFields changes durations, which can be reloaded, and an address, which
// needs a restart.
func TestReloadChangesOnlyReloadableFields(t *testing.T) {
	settings := validSettings(membership.Router)
	next := settings
	next.AcknowledgeWait, next.ServeWithoutLease, next.Grace, next.CallsAddress = time.Second, time.Minute, 8*time.Second, "127.0.0.1:9"
	needRestart := settings.Reload(next)
	if !slices.Equal(needRestart, []string{"CallsAddress"}) || settings.Grace != 8*time.Second ||
		settings.ServeWithoutLease != time.Minute || settings.AcknowledgeWait != time.Second || settings.CallsAddress != "" {
		t.Errorf("got fields that need a restart %v, settings %+v, want CallsAddress unchanged and the durations changed", needRestart, settings)
	}
}

// TestReloadableFieldsExist checks the names in reloadable, because the compiler does not find a name whose
// field was renamed.
func TestReloadableFieldsExist(t *testing.T) {
	for _, name := range reloadable {
		if _, found := reflect.TypeFor[Settings]().FieldByName(name); !found {
			t.Errorf("Settings has no field %s", name)
		}
	}
}
