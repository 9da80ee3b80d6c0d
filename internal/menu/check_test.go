package menu

import (
	stderrors "errors"
	"testing"

	"seamloom.example/seamloom/internal/trouble"
)

func TestCheckNamesEveryFailureWithPathAndType(test *testing.T) {
	_, failure := Check([]byte(`{"services":{"chat":{"tries":0,"colour":1},"chat":{}},"routes":{"a":{"to":{"refuse":true,"districts":["n"]}},"b":{}},"evacuations":{"n":{"reason":5}},"x":1}`))
	var findings *Findings
	if !stderrors.As(failure, &findings) {
		test.Fatalf("no findings: %v", failure)
	}
	found := map[string]trouble.Kind{}
	for _, entry := range findings.Troubles {
		found[entry.Path] = entry.Kind
	}
	for path, kind := range map[string]trouble.Kind{"/services/chat/tries": trouble.OutOfRange, "/services/chat/colour": trouble.UnknownField,
		"/services/chat": trouble.Contradictory, "/routes/a/to": trouble.Contradictory, "/routes/b/to": trouble.Missing,
		"/evacuations/n/reason": trouble.WrongType, "/x": trouble.UnknownField} {
		if found[path] != kind {
			test.Errorf("%s: %q, not %q", path, found[path], kind)
		}
	}
	if len(found) != 7 {
		test.Errorf("%d failures: %v", len(found), found)
	}
}

// TestMergeFollowsTheStandard uses cases of the kinds that RFC 7396 lists.
func TestMergeFollowsTheStandard(test *testing.T) {
	for _, row := range [][3]string{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"e":null}`, `{"a":1}`, `{"e":null,"a":1}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
	} {
		merged, failure := Merge([]byte(row[0]), []byte(row[1]))
		if failure != nil || string(merged) != row[2] {
			test.Errorf("%s and %s make %s, not %s (%v)", row[0], row[1], merged, row[2], failure)
		}
	}
	if _, failure := Merge([]byte(`{}`), []byte(`[]`)); trouble.KindOf(failure) != trouble.WrongType {
		test.Errorf("a list was merged: %v", failure)
	}
}

func TestTwoEvacuationsDoNotUndoEachOther(test *testing.T) {
	text, failure := Evacuate([]byte(`{}`), "north", "one")
	if failure == nil {
		text, failure = Evacuate(text, "south", "two")
	}
	if failure != nil {
		test.Fatal(failure)
	}
	if configuration, failure := Check(text); failure != nil || len(configuration.Evacuations) != 2 || !configuration.Evacuated("north") || !configuration.Evacuated("south") {
		test.Fatalf("%s: %v", text, failure)
	}
	if text, failure = Restore(text, "north"); failure != nil {
		test.Fatal(failure)
	}
	if configuration, failure := Check(text); failure != nil || configuration.Evacuated("north") || !configuration.Evacuated("south") {
		test.Fatalf("%s: %v", text, failure)
	}
}
