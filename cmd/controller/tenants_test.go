package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startWitnesses starts servers that answer as witnesses; those without tenants answer 503.
func startWitnesses(t *testing.T, ledgers [][]tenantStatus) *operator {
	t.Helper()
	var witnesses []witnessReplica
	for i, tenants := range ledgers {
		identity := string(rune('a' + i))
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if tenants == nil {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_ = json.NewEncoder(writer).Encode(tenantsAnswer{Identity: identity, Epoch: 7, Witnesses: witnesses, Tenants: tenants})
		}))
		t.Cleanup(server.Close)
		witnesses = append(witnesses, witnessReplica{Identity: identity, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return &operator{addresses: []string{witnesses[0].Address}, timeout: time.Second, client: http.DefaultClient}
}

// TestTenantsShowsWhatAQuorumCanGrant has a witness that was never asked count as full, and a silent one as empty.
func TestTenantsShowsWhatAQuorumCanGrant(t *testing.T) {
	low := []tenantStatus{{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 3.5, Held: 2, Routers: 1, Granted: 40, Refused: 1}}
	high := []tenantStatus{{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 9, Held: 1, Routers: 2, Granted: 30, Refused: 4}}
	report, err := startWitnesses(t, [][]tenantStatus{low, high, {}, nil, low}).tenants()
	if err != nil {
		t.Fatal(err)
	}
	want := tenantStatus{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 3, Held: 2, Routers: 2, Granted: 40, Refused: 4}
	if len(report.Tenants) != 1 || report.Tenants[0] != want || report.Answered != 4 || report.Witnesses != 5 {
		t.Errorf("%+v", report)
	}
	var text strings.Builder
	if err := report.write(&text, false); err != nil || !strings.Contains(text.String(), "4 of 5 witnesses answered, epoch 7") {
		t.Errorf("%v: %s", err, text.String())
	}
}

// TestTenantsNeedsAMajorityOfWitnesses guards against a table of a minority, whose ledgers may be empty.
func TestTenantsNeedsAMajorityOfWitnesses(t *testing.T) {
	if report, err := startWitnesses(t, [][]tenantStatus{{}, nil, nil}).tenants(); err == nil {
		t.Errorf("%+v", report)
	}
}
