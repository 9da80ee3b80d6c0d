package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startWitnesses starts one witness server for each list of tenants, and returns an operator that knows the first
// of them. A witness with a nil list responds with status 503.
func startWitnesses(t *testing.T, tenantsByWitness [][]tenantStatus) *operator {
	t.Helper()
	var witnesses []witnessReplica
	for i, tenants := range tenantsByWitness {
		identity := string(rune('a' + i))
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if tenants == nil {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_ = json.NewEncoder(writer).Encode(tenantsResponse{Identity: identity, Epoch: 7, Witnesses: witnesses, Tenants: tenants})
		}))
		t.Cleanup(server.Close)
		witnesses = append(witnesses, witnessReplica{Identity: identity, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return &operator{addresses: []string{witnesses[0].Address}, timeout: time.Second, client: http.DefaultClient}
}

// TestTenantsShowsWhatAQuorumCanGrant checks that a witness that was never asked for a tenant counts with the full
// capacity, and a witness without a response with zero. Of the values 20, 9, 3.5, 3.5 and 0, a quorum of three
// witnesses can grant 3.5, which is rounded down.
func TestTenantsShowsWhatAQuorumCanGrant(t *testing.T) {
	low := []tenantStatus{{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 3.5, Held: 2, Routers: 1, Granted: 40, Refused: 1}}
	high := []tenantStatus{{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 9, Held: 1, Routers: 2, Granted: 30, Refused: 4}}
	report, err := startWitnesses(t, [][]tenantStatus{low, high, {}, nil, low}).tenants()
	if err != nil {
		t.Fatal(err)
	}
	want := tenantStatus{Tenant: "a", PerSecond: 5, Capacity: 20, Left: 3, Held: 2, Routers: 2, Granted: 40, Refused: 4}
	if len(report.Tenants) != 1 || report.Tenants[0] != want || report.Answered != 4 || report.Witnesses != 5 {
		t.Errorf("got report %+v, want tenant %+v from 4 of 5 witnesses", report, want)
	}
	var text strings.Builder
	if err := report.write(&text, false); err != nil || !strings.Contains(text.String(), "4 of 5 witnesses answered, epoch 7") {
		t.Errorf("got table %s (error %v), want a line with 4 of 5 witnesses and epoch 7", text.String(), err)
	}
}

// TestTenantsNeedsAMajorityOfWitnesses guards against a report from a minority of witnesses, whose counts may be
// empty.
func TestTenantsNeedsAMajorityOfWitnesses(t *testing.T) {
	if report, err := startWitnesses(t, [][]tenantStatus{{}, nil, nil}).tenants(); err == nil {
		t.Errorf("one of three witnesses: got report %+v, want an error", report)
	}
}
