package config

import (
	"errors"
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestCheckReportsPathAndCodeOfEveryFailure(t *testing.T) {
	_, err := Check([]byte(`{"services":{"chat":{"tries":0,"colour":1},"chat":{}},` +
		`"routes":{"a":{"to":{"refuse":true,"districts":["n"]}},"b":{}},"evacuations":{"n":{"reason":5}},"x":1}`))
	var validation *ValidationError
	if !errors.As(err, &validation) {
		t.Fatalf("got error %v, want a ValidationError", err)
	}
	found := map[string]failure.Code{}
	for _, entry := range validation.Failures {
		found[entry.Path] = entry.Code
	}
	for path, code := range map[string]failure.Code{"/services/chat/tries": failure.OutOfRange, "/services/chat/colour": failure.UnknownField,
		"/services/chat": failure.Contradictory, "/routes/a/to": failure.Contradictory, "/routes/b/to": failure.Missing,
		"/evacuations/n/reason": failure.WrongType, "/x": failure.UnknownField} {
		if found[path] != code {
			t.Errorf("%s: got code %q, want %q", path, found[path], code)
		}
	}
	if len(found) != 7 {
		t.Errorf("got %d failures, want 7: %v", len(found), found)
	}
}

// TestMergeFollowsRFC7396 checks cases of the kinds that the appendix of RFC 7396 lists.
func TestMergeFollowsRFC7396(t *testing.T) {
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
			t.Errorf("merging %s with %s: got %s, want %s (error %v)", row[0], row[1], merged, row[2], err)
		}
	}
	if _, err := Merge([]byte(`{}`), []byte(`[]`)); failure.CodeOf(err) != failure.WrongType {
		t.Errorf("merging a list: got error %v, want one with the code wrong_type", err)
	}
}

func TestEvacuationsOfTwoZonesAreIndependent(t *testing.T) {
	text, err := Evacuate([]byte(`{}`), "north", "one")
	if err == nil {
		text, err = Evacuate(text, "south", "two")
	}
	if err != nil {
		t.Fatal(err)
	}
	if configuration, err := Check(text); err != nil || len(configuration.Evacuations) != 2 ||
		!configuration.Evacuated("north") || !configuration.Evacuated("south") {
		t.Fatalf("after two evacuations got %s (error %v), want north and south evacuated", text, err)
	}
	if text, err = EndEvacuation(text, "north"); err != nil {
		t.Fatal(err)
	}
	if configuration, err := Check(text); err != nil || configuration.Evacuated("north") || !configuration.Evacuated("south") {
		t.Fatalf("after restoring north got %s (error %v), want only south evacuated", text, err)
	}
}
