package larder

import (
	"testing"
	"time"
)

// FuzzFiles opens disks whose files may hold anything: no panic, and a copy that
// is not whole says so.
func FuzzFiles(fuzzing *testing.F) {
	shelf := newMemoryShelf()
	copied, failure := OpenCopy(shelf)
	if failure != nil {
		fuzzing.Fatal(failure)
	}
	if failure := copied.Write(Batch{Version: Version{1, 1}, Drawers: map[string]Drawer{MenuDrawer: {Version: Version{1, 1}, Content: []byte(`{}`)}}}); failure != nil {
		fuzzing.Fatal(failure)
	}
	for name, content := range shelf.files {
		fuzzing.Add(name, content)
	}
	fuzzing.Add("keeper-00000000000000000001", []byte{0x81})
	fuzzing.Add("", []byte(nil))
	fuzzing.Fuzz(func(test *testing.T, name string, content []byte) {
		shelf := newMemoryShelf()
		shelf.files[name] = content
		copied, failure := OpenCopy(shelf)
		if failure != nil {
			return
		}
		if copied.Damage() == "" {
			for drawer := range copied.Drawers() {
				if _, found := copied.Drawers()[drawer]; !found {
					test.Fatalf("%s is missing from an undamaged copy", drawer)
				}
			}
		}
		_, _ = ReadState(copied.Drawers())
		if keeper, _, failure := OpenKeeper(time.Unix(0, 0), shelf, Seat{Address: "a"}, "a/1"); failure == nil {
			_, _ = keeper.Prepare(time.Unix(9, 0), 7, "b")
		}
	})
}
