package settings

import (
	"path/filepath"
	"testing"

	"seamloom.example/seamloom/internal/membership"
)

// TestSettingsOfEarlierReleasesAreRead reads settings files that were written for release facc4d7: each key
// must still be known, and the settings must be valid.
func TestSettingsOfEarlierReleasesAreRead(t *testing.T) {
	for _, file := range []struct {
		name string
		kind membership.NodeKind
		want Settings
	}{
		{"controller.json", membership.Controller,
			Settings{Name: "expediter-1", Address: "127.0.0.1:10454", DataFolder: "/tmp/oldfleet/expediter-1-disk"}},
		{"router.json", membership.Router, Settings{Name: "courier-1", Address: "127.0.0.1:14241"}},
	} {
		t.Run(file.name, func(t *testing.T) {
			read := Defaults(file.kind)
			if err := read.ReadFile(filepath.Join("testdata", "facc4d7", file.name)); err != nil {
				t.Fatal(err)
			}
			if err := read.Check(); err != nil {
				t.Error(err)
			}
			if read.Name != file.want.Name || read.Address != file.want.Address || read.DataFolder != file.want.DataFolder ||
				read.Zone != "harbour" || read.Platform != "127.0.0.1:33693" || len(read.Seeds) != 3 {
				t.Errorf("got %+v, want %+v with the zone, platform and seeds of the file", read, file.want)
			}
		})
	}
}
