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

func sound(kind membership.NodeKind) Settings {
	chosen := Defaults(kind)
	chosen.Name, chosen.Address, chosen.Zone, chosen.Platform = "node-1", "127.0.0.1:7101", "north", "127.0.0.1:7000"
	chosen.Seeds = []string{"127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"}
	if kind == membership.Controller {
		chosen.DataFolder = "folder"
	}
	return chosen
}

// TestDefaultsKeepTheStrictConduct wants settings that say nothing of holds to
// mean that holds are waited for, and that nothing is admitted without one.
func TestDefaultsKeepTheStrictConduct(t *testing.T) {
	for _, kind := range []membership.NodeKind{membership.Router, membership.Controller} {
		chosen := sound(kind)
		if err := chosen.Check(); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
		if chosen.AcknowledgeWait != 0 || chosen.ServeWithoutLease != 0 || !chosen.Bootstrap || chosen.Grace != 20*time.Second {
			t.Errorf("%s: %+v", kind, chosen)
		}
	}
}

// TestFileGivesTheNewFields reads each new field from a file, and each in a form
// that it can't have.
func TestFileGivesTheNewFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	read := func(text string) (Settings, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		chosen := sound(membership.Router)
		err := chosen.ReadFile(path)
		return chosen, err
	}
	chosen, err := read(`{"bootstrap":false,"acknowledge_wait":"1s","serve_without_hold":"90s","grace":"8s",
		"calls_address":"10.0.0.1:80","ready_address":"10.0.0.1:81","control_address":"10.0.0.1:82"}`)
	if err != nil {
		t.Fatal(err)
	}
	if chosen.Bootstrap || chosen.AcknowledgeWait != time.Second || chosen.ServeWithoutLease != 90*time.Second || chosen.Grace != 8*time.Second ||
		chosen.CallsAddress != "10.0.0.1:80" || chosen.ReadyAddress != "10.0.0.1:81" || chosen.ControlAddress != "10.0.0.1:82" {
		t.Errorf("%+v", chosen)
	}
	for _, wrong := range []string{`{"bootstrap":"yes"}`, `{"acknowledge_wait":1}`, `{"acknowledge_wait":"soon"}`, `{"grace":true}`, `{"calls_address":5}`} {
		if _, err := read(wrong); err == nil {
			t.Errorf("%s was taken", wrong)
		}
	}
}

// TestCheckNamesWhatIsWrong brings each mistake about the new fields.
func TestCheckNamesWhatIsWrong(t *testing.T) {
	for path, mistake := range map[string]func(*Settings){
		"acknowledge_wait":   func(chosen *Settings) { chosen.AcknowledgeWait = -1 },
		"serve_without_hold": func(chosen *Settings) { chosen.ServeWithoutLease = -1 },
		"grace":              func(chosen *Settings) { chosen.Grace = -1 },
		"calls_address":      func(chosen *Settings) { chosen.CallsAddress = "here" },
		"ready_address":      func(chosen *Settings) { chosen.ReadyAddress = chosen.Address },
		"control_address":    func(chosen *Settings) { chosen.ControlAddress = "127.0.0.1:9" },
		"seeds":              func(chosen *Settings) { chosen.Bootstrap, chosen.Seeds = false, nil },
	} {
		chosen := sound(membership.Router)
		mistake(&chosen)
		if err := chosen.Check(); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", path, err)
		}
	}
	joining := sound(membership.Controller)
	joining.Bootstrap, joining.Seeds = false, joining.Seeds[:1]
	if err := joining.Check(); err != nil {
		t.Errorf("one seed is enough to join: %v", err)
	}
	joining.Bootstrap = true
	if joining.Check() == nil {
		t.Error("a first core was to be formed with one seed")
	}
}

// TestReloadTakesLengthsAndLeavesAddresses changes fields while the process runs.
func TestReloadTakesLengthsAndLeavesAddresses(t *testing.T) {
	chosen := sound(membership.Router)
	next := chosen
	next.AcknowledgeWait, next.ServeWithoutLease, next.Grace, next.CallsAddress = time.Second, time.Minute, 8*time.Second, "127.0.0.1:9"
	stays := chosen.Reload(next)
	if !slices.Equal(stays, []string{"CallsAddress"}) || chosen.Grace != 8*time.Second || chosen.ServeWithoutLease != time.Minute || chosen.AcknowledgeWait != time.Second || chosen.CallsAddress != "" {
		t.Errorf("stays %v, %+v", stays, chosen)
	}
}

// TestReloadableFieldsExist guards the names in reloadable: the compiler does not see a
// field that was renamed.
func TestReloadableFieldsExist(t *testing.T) {
	for _, name := range reloadable {
		if _, found := reflect.TypeFor[Settings]().FieldByName(name); !found {
			t.Errorf("Settings has no field %s", name)
		}
	}
}
