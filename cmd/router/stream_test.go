package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"seamloom.example/seamloom"
)

// goldenFolder holds recorded events and the decisions that the core of release facc4d7 made on them.
const goldenFolder = "testdata/facc4d7"

// TestStreamDecidesAsEarlierReleases feeds the recorded events to the core line by line. It checks that the
// output is identical, byte for byte, to that of the earlier release.
func TestStreamDecidesAsEarlierReleases(t *testing.T) {
	for _, recording := range []string{"request", "call"} {
		t.Run(recording, func(t *testing.T) {
			events, err := os.Open(filepath.Join(goldenFolder, recording+"_events.jsonl"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = events.Close() }()
			want, err := os.ReadFile(filepath.Join(goldenFolder, recording+"_decisions.jsonl"))
			if err != nil {
				t.Fatal(err)
			}
			core := seamloom.New(seamloom.Options{Router: "courier-1", Zone: "north", Supported: seamloom.Supported(nil)})
			var decisions bytes.Buffer
			if err := streamCore(core, events, &decisions); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(decisions.Bytes(), want) {
				t.Errorf("got decisions\n%swant\n%s", decisions.Bytes(), want)
			}
		})
	}
}
