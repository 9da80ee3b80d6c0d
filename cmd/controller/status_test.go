package main

import (
	"encoding/json"
	"os"
	"testing"
)

// TestStatusOfEarlierReleasesIsRead decodes the status of a controller of release facc4d7. During an
// upgrade the command may send its request to such a controller.
func TestStatusOfEarlierReleasesIsRead(t *testing.T) {
	text, err := os.ReadFile("testdata/facc4d7/status.json")
	if err != nil {
		t.Fatal(err)
	}
	var status statusResponse
	if err := json.Unmarshal(text, &status); err != nil {
		t.Fatal(err)
	}
	if status.Primary.Name != "expediter-2" || status.Backup.Name != "expediter-3" || len(status.Witnesses) != 3 ||
		status.Epoch != 3 || status.Version == "" || status.ConfigurationVersion != "3.66" || status.PrimarySinceMilliseconds == 0 {
		t.Errorf("got status %+v, want the one in the file", status)
	}
	if len(status.Members) != 10 || len(status.Flags) == 0 || len(status.Roles) != 10 || len(status.Orders) == 0 {
		t.Errorf("got %d members, %d flags, %d roles and %d orders, want 10 members, 10 roles, and some flags and orders",
			len(status.Members), len(status.Flags), len(status.Roles), len(status.Orders))
	}
	for name, member := range status.Members {
		if member.Kind == "" || member.Zone == "" || !member.Running {
			t.Errorf("member %s: got %+v, want a running node with a kind and a zone", name, member)
		}
	}
}
