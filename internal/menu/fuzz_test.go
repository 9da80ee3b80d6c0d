package menu

import "testing"

// FuzzCheckAndMerge gives configurations and patches that may be anything: no
// panic, and what passes the check passes it again when it is read back.
func FuzzCheckAndMerge(fuzzing *testing.F) {
	fuzzing.Add([]byte(`{"services":{"a":{"tries":3}},"routes":{"r":{"order":1,"match":{"service":"a"},"to":{"districts":["n"]}}},"evacuations":{"n":{}}}`), []byte(`{"routes":{"r":null}}`))
	fuzzing.Add([]byte(`{`), []byte(`[]`))
	fuzzing.Add([]byte(`{"services":{"a":{"tries":1e99}}}`), []byte(`{"services":{"a":{"tries":"3"}}}`))
	fuzzing.Add([]byte("{\"routes\":{\"\xff\":{}}}"), []byte(`{"a":{"a":{"a":{"a":{}}}}}`))
	fuzzing.Fuzz(func(test *testing.T, text, patch []byte) {
		configuration, failure := Check(text)
		if failure == nil {
			if _, again := Check(configuration.Text); again != nil {
				test.Fatalf("%q passed and does not pass again: %v", text, again)
			}
		}
		merged, failure := Merge(text, patch)
		if failure == nil {
			_, _ = Check(merged)
		}
		if evacuated, failure := Evacuate(text, string(patch), "because"); failure == nil {
			_, _ = Check(evacuated)
		}
	})
}
