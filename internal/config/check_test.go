package config

import (
	"errors"
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestCheckNamesEveryFailureWithPathAndType(t *testing.T) {
	_, err := Check([]byte(`{"services":{"chat":{"tries":0,"colour":1},"chat":{}},"routes":{"a":{"to":{"refuse":true,"districts":["n"]}},"b":{}},"evacuations":{"n":{"reason":5}},"x":1}`))
	var validation *ValidationError
	if !errors.As(err, &validation) {
		t.Fatalf("no findings: %v", err)
	}
	found := map[string]failure.Code{}
	for _, entry := range validation.Errors {
		found[entry.Path] = entry.Code
	}
	for path, code := range map[string]failure.Code{"/services/chat/tries": failure.OutOfRange, "/services/chat/colour": failure.UnknownField,
		"/services/chat": failure.Contradictory, "/routes/a/to": failure.Contradictory, "/routes/b/to": failure.Missing,
		"/evacuations/n/reason": failure.WrongType, "/x": failure.UnknownField} {
		if found[path] != code {
			t.Errorf("%s: %q, not %q", path, found[path], code)
		}
	}
	if len(found) != 7 {
		t.Errorf("%d failures: %v", len(found), found)
	}
}

// TestMergeFollowsTheStandard uses cases of the kinds that RFC 7396 lists.
func TestMergeFollowsTheStandard(t *testing.T) {
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
		merged, err := Merge([]byte(row[0]), []byte(row[1]))
		if err != nil || string(merged) != row[2] {
			t.Errorf("%s and %s make %s, not %s (%v)", row[0], row[1], merged, row[2], err)
		}
	}
	if _, err := Merge([]byte(`{}`), []byte(`[]`)); failure.CodeOf(err) != failure.WrongType {
		t.Errorf("a list was merged: %v", err)
	}
}

func TestTwoEvacuationsDoNotUndoEachOther(t *testing.T) {
	text, err := Evacuate([]byte(`{}`), "north", "one")
	if err == nil {
		text, err = Evacuate(text, "south", "two")
	}
	if err != nil {
		t.Fatal(err)
	}
	if configuration, err := Check(text); err != nil || len(configuration.Evacuations) != 2 || !configuration.Evacuated("north") || !configuration.Evacuated("south") {
		t.Fatalf("%s: %v", text, err)
	}
	if text, err = Restore(text, "north"); err != nil {
		t.Fatal(err)
	}
	if configuration, err := Check(text); err != nil || configuration.Evacuated("north") || !configuration.Evacuated("south") {
		t.Fatalf("%s: %v", text, err)
	}
}
