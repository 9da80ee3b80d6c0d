package replication

import (
	"testing"
	"time"
)

// FuzzFiles opens disks whose files may hold anything: no panic, and a copy that
// is not whole says so.
func FuzzFiles(fuzzing *testing.F) {
	shelf := newMemoryShelf()
	copied, err := OpenCopy(shelf)
	if err != nil {
		fuzzing.Fatal(err)
	}
	if err := copied.Write(Batch{Version: Version{1, 1}, Drawers: map[string]Section{ConfigurationSection: {Version: Version{1, 1}, Content: []byte(`{}`)}}}); err != nil {
		fuzzing.Fatal(err)
	}
	for name, content := range shelf.files {
		fuzzing.Add(name, content)
	}
	fuzzing.Add("keeper-00000000000000000001", []byte{0x81})
	fuzzing.Add("", []byte(nil))
	fuzzing.Fuzz(func(t *testing.T, name string, content []byte) {
		shelf := newMemoryShelf()
		shelf.files[name] = content
		copied, err := OpenCopy(shelf)
		if err != nil {
			return
		}
		if copied.Damage() == "" {
			for section := range copied.Drawers() {
				if _, found := copied.Drawers()[section]; !found {
					t.Fatalf("%s is missing from an undamaged copy", section)
				}
			}
		}
		_, _ = ReadState(copied.Drawers())
		if witness, _, err := OpenWitness(time.Unix(0, 0), shelf, Replica{Address: "a"}, "a/1"); err == nil {
			_, _ = witness.Prepare(time.Unix(9, 0), 7, "b")
		}
	})
}
