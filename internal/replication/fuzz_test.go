package replication

import (
	"testing"
	"time"
)

// FuzzFiles opens disks that hold a file of any name and content: nothing may panic, and an
// incomplete replica must report its damage.
func FuzzFiles(fuzzing *testing.F) {
	storage := newMemoryStorage()
	replica, err := OpenLocalReplica(storage)
	if err != nil {
		fuzzing.Fatal(err)
	}
	section := Section{Version: Version{1, 1}, Content: []byte(`{}`)}
	batch := Batch{Version: Version{1, 1}, Sections: map[string]Section{ConfigurationSection: section}}
	if err := replica.Write(batch); err != nil {
		fuzzing.Fatal(err)
	}
	for name, content := range storage.files {
		fuzzing.Add(name, content)
	}
	fuzzing.Add("keeper-00000000000000000001", []byte{0x81})
	fuzzing.Add("", []byte(nil))
	fuzzing.Fuzz(func(t *testing.T, name string, content []byte) {
		disk := newMemoryStorage()
		disk.files[name] = content
		replica, err := OpenLocalReplica(disk)
		if err != nil {
			return
		}
		if replica.Damage() == "" {
			for section := range replica.Sections() {
				if _, found := replica.Sections()[section]; !found {
					t.Fatalf("section %s is missing from an undamaged replica", section)
				}
			}
		}
		_, _ = ReadState(replica.Sections())
		if witness, _, err := OpenWitness(time.Unix(0, 0), disk, Replica{Address: "a"}, "a/1"); err == nil {
			_, _ = witness.Prepare(time.Unix(9, 0), 7, "b")
		}
	})
}
