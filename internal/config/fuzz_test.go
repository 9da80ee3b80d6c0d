package config

import "testing"

// FuzzCheckAndMerge gives configurations and patches that may be anything: no
// panic, and what passes the check passes it again when it is read back.
func FuzzCheckAndMerge(fuzzing *testing.F) {
	fuzzing.Add([]byte(`{"services":{"a":{"tries":3}},"routes":{"r":{"order":1,"match":{"service":"a"},"to":{"districts":["n"]}}},"evacuations":{"n":{}}}`), []byte(`{"routes":{"r":null}}`))
	fuzzing.Add([]byte(`{"tenants":{"a":{"keys":["k","k"],"rank":3,"per_second":4.5,"burst":1},"b":{"keys":["l"],"header_value":"B C"}}}`), []byte(`{"tenants":{"a":null,"b":{"keys":["k"]}}}`))
	fuzzing.Add([]byte(`{"tenants":{"a":{"keys":["k"]},"b":{"keys":["k"]}}}`), []byte(`{"tenants":null}`))
	fuzzing.Add([]byte(`{`), []byte(`[]`))
	fuzzing.Add([]byte(`{"services":{"a":{"tries":1e99}}}`), []byte(`{"services":{"a":{"tries":"3"}}}`))
	fuzzing.Add([]byte("{\"routes\":{\"\xff\":{}}}"), []byte(`{"a":{"a":{"a":{"a":{}}}}}`))
	fuzzing.Fuzz(func(t *testing.T, text, patch []byte) {
		configuration, err := Check(text)
		if err == nil {
			if _, again := Check(configuration.Text); again != nil {
				t.Fatalf("%q passed and does not pass again: %v", text, again)
			}
			holders := map[string]string{}
			for name, tenant := range configuration.Tenants {
				for _, key := range tenant.Keys {
					if holder, found := holders[key]; found {
						t.Fatalf("%q: %s and %s have one key", text, holder, name)
					}
					holders[key] = name
				}
			}
		}
		merged, err := Merge(text, patch)
		if err == nil {
			_, _ = Check(merged)
		}
		if evacuated, err := Evacuate(text, string(patch), "because"); err == nil {
			_, _ = Check(evacuated)
		}
	})
}
