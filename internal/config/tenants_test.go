package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestCheckParsesTenants(t *testing.T) {
	configuration, err := Check([]byte(`{"tenants":{"school":{"keys":["k1","k2"],"per_second":4.5,"burst":9,"rank":0},` +
		`"plain":{"keys":["k3","k3"],"header_value":"Ä School","annotations":{"sent":1}},"idle":{}}}`))
	if err != nil {
		t.Fatal(err)
	}
	zero := 0
	want := map[string]Tenant{
		"school": {Name: "school", HeaderValue: "school", Keys: []string{"k1", "k2"},
			Limit: RateLimit{PerSecond: 4.5, Burst: 9}, Priority: &zero},
		"plain": {Name: "plain", HeaderValue: "Ä School", Keys: []string{"k3"}},
		"idle":  {Name: "idle", HeaderValue: "idle"},
	}
	if !reflect.DeepEqual(configuration.Tenants, want) {
		t.Errorf("got tenants %+v, want %+v", configuration.Tenants, want)
	}
	if !configuration.Tenants["plain"].Limit.Unlimited() || configuration.Tenants["school"].Limit.Unlimited() {
		t.Error("want a tenant without per_second to be unlimited, and one with per_second to be limited")
	}
}

// TestAbsentTenantsDifferFromEmptyTenants guards against admitting calls without a key once the last tenant is
// removed: calls need a key as soon as the field is present, even if it is empty.
func TestAbsentTenantsDifferFromEmptyTenants(t *testing.T) {
	without, err := Check([]byte(`{}`))
	if err != nil || without.Tenants != nil {
		t.Errorf("without the field: got %v, error %v, want nil tenants", without, err)
	}
	empty, err := Check([]byte(`{"tenants":{}}`))
	if err != nil || empty.Tenants == nil {
		t.Errorf("with an empty field: got %v, error %v, want tenants that are not nil", empty, err)
	}
}

// TestInvalidTenantsAreReportedWithoutTheirKeys checks that each failure is reported with its path, and that no error
// contains a key.
func TestInvalidTenantsAreReportedWithoutTheirKeys(t *testing.T) {
	const secret = "a-secret-key"
	for text, want := range map[string]failure.Error{
		`{"tenants":[]}`:                                  {Code: failure.WrongType, Path: "/tenants"},
		`{"tenants":{"a":[]}}`:                            {Code: failure.WrongType, Path: "/tenants/a"},
		`{"tenants":{"a":{"keys":"` + secret + `"}}}`:     {Code: failure.WrongType, Path: "/tenants/a/keys"},
		`{"tenants":{"a":{"keys":[1]}}}`:                  {Code: failure.WrongType, Path: "/tenants/a/keys/0"},
		`{"tenants":{"a":{"keys":["` + secret + `\n"]}}}`: {Code: failure.OutOfRange, Path: "/tenants/a/keys/0"},
		`{"tenants":{"a":{"keys":[""]}}}`:                 {Code: failure.OutOfRange, Path: "/tenants/a/keys/0"},
		`{"tenants":{"a":{"per_second":-1}}}`:             {Code: failure.OutOfRange, Path: "/tenants/a/per_second"},
		`{"tenants":{"a":{"burst":"x"}}}`:                 {Code: failure.WrongType, Path: "/tenants/a/burst"},
		`{"tenants":{"a":{"rank":1.5}}}`:                  {Code: failure.WrongType, Path: "/tenants/a/rank"},
		`{"tenants":{"a":{"header_value":" x"}}}`:         {Code: failure.OutOfRange, Path: "/tenants/a/header_value"},
		`{"tenants":{"a":{"key":["` + secret + `"]}}}`:    {Code: failure.UnknownField, Path: "/tenants/a/key"},
		`{"tenants":{"a":{},"a":{}}}`:                     {Code: failure.Contradictory, Path: "/tenants/a"},
		`{"tenants":{"a b":{}}}`:                          {Code: failure.OutOfRange, Path: "/tenants/a b"},
		`{"tenants":{"a":{"keys":["` + secret + `"]},"b":{"keys":["x","` + secret + `"]}}}`: {
			Code: failure.Contradictory, Path: "/tenants/b/keys/1"},
	} {
		_, err := Check([]byte(text))
		var validation *ValidationError
		if !errors.As(err, &validation) || len(validation.Failures) != 1 {
			t.Errorf("%s: got error %v, want a ValidationError with one failure", text, err)
			continue
		}
		if got := validation.Failures[0]; got.Code != want.Code || got.Path != want.Path {
			t.Errorf("%s: got %s at %s, want %s at %s", text, got.Code, got.Path, want.Code, want.Path)
		}
		if strings.Contains(err.Error(), secret) {
			t.Errorf("the error contains the key: %v", err)
		}
	}
}

// TestErrorsShowNoKey guards against API keys in responses to operators and in logs: the errors of the JSON
// parser quote the text around a syntax error.
func TestErrorsShowNoKey(t *testing.T) {
	for _, text := range []string{
		`{"tenants":{"a":{"keys":["secret-1" "secret-2"]}}}`,
		`{"tenants":{"a":{"keys":[secret-1]}}}`,
		`{"tenants":{"a":{"keys":"secret-1"}}}`,
		`{"tenants":{"a":{"keys":[" secret-1"]}}}`,
		`{"tenants":{"a":{"keys":["secret-1"]},"b":{"keys":["secret-1"]}}}`,
		`{"tenants":{"a":{"keys":["secret-1"],"rank":"secret-1"}}}`,
	} {
		_, err := Check([]byte(text))
		if err == nil || strings.Contains(fmt.Sprintf("%v %+v", err, err.(*ValidationError).Failures), "secret") {
			t.Errorf("checking %s: got error %v, want an error without the key", text, err)
		}
		if _, err := Merge([]byte(`{}`), []byte(text)); err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("merging %s: got error %v, want an error without the key", text, err)
		}
	}
}
