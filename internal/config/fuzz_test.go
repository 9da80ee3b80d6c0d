package config

import "testing"

// FuzzCheckAndMerge passes arbitrary texts to Check, Merge and Evacuate. No text may cause a panic. The text of a
// valid configuration must be valid when it is checked again, and no two tenants of a valid
// configuration may have the same key.
func FuzzCheckAndMerge(fuzzing *testing.F) {
	fuzzing.Add(
		[]byte(`{"services":{"a":{"tries":3}},"routes":{"r":{"order":1,"match":{"service":"a"},"to":{"districts":["n"]}}},`+
			`"evacuations":{"n":{}}}`),
		[]byte(`{"routes":{"r":null}}`))
	fuzzing.Add(
		[]byte(`{"tenants":{"a":{"keys":["k","k"],"rank":3,"per_second":4.5,"burst":1},"b":{"keys":["l"],"header_value":"B C"}}}`),
		[]byte(`{"tenants":{"a":null,"b":{"keys":["k"]}}}`))
	fuzzing.Add([]byte(`{"tenants":{"a":{"keys":["k"]},"b":{"keys":["k"]}}}`), []byte(`{"tenants":null}`))
	fuzzing.Add([]byte(`{`), []byte(`[]`))
	fuzzing.Add([]byte(`{"services":{"a":{"tries":1e99}}}`), []byte(`{"services":{"a":{"tries":"3"}}}`))
	fuzzing.Add([]byte("{\"routes\":{\"\xff\":{}}}"), []byte(`{"a":{"a":{"a":{"a":{}}}}}`))
	fuzzing.Fuzz(func(t *testing.T, text, patch []byte) {
		configuration, err := Check(text)
		if err == nil {
			if _, again := Check(configuration.Text); again != nil {
				t.Fatalf("%q is valid, but its text is invalid when checked again: %v", text, again)
			}
			owners := map[string]string{}
			for name, tenant := range configuration.Tenants {
				for _, key := range tenant.Keys {
					if owner, found := owners[key]; found {
						t.Fatalf("%q is valid, but the tenants %s and %s have the same key", text, owner, name)
					}
					owners[key] = name
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
