package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/scheduler"
)

// tenantRouter is a router over one server, with a configuration that changes.
type tenantRouter struct {
	server  *standin
	conduct *dataplane.Calls
	handler *Handler
	address string
	version uint64
	sent    int
}

func newTenantRouter(t *testing.T) *tenantRouter {
	t.Helper()
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		connection.say(stream(inbound.Header.Get("Seamloom-Call")) + chunk(event(1)) + "0\r\n\r\n")
		return true
	})
	s.server.Service, s.server.Slots, s.server.Models = "desk", 64, []string{"m"}
	ctx, cancel := context.WithCancel(t.Context())
	rt := osruntime.New(ctx, osruntime.NewClock())
	connections := NewPool(nil)
	r := &tenantRouter{server: s}
	r.conduct = dataplane.NewCalls(rt, scheduler.New(scheduler.Options{Router: "router-1", Zone: "north"}), connections.SetServers)
	r.conduct.SetRouters(1)
	r.conduct.SetServers(rt.Now(), []membership.Server{s.server})
	handler, err := NewHandler(ctx, DefaultProtocol(), connections, r.conduct, rt.Now)
	if err != nil {
		t.Fatal(err)
	}
	r.handler = handler
	front := httptest.NewServer(handler)
	r.address = front.Listener.Addr().String()
	t.Cleanup(func() { front.Close(); cancel() })
	return r
}

// configure puts a configuration with these tenants in force.
func (r *tenantRouter) configure(tenants ...config.Tenant) {
	configuration := twoRoutes()
	configuration.Routes = append(configuration.Routes, config.Route{Name: "open", Match: config.Match{Host: "calls.example", PathPrefix: "/open/"},
		Calls: &config.CallRoute{Shares: configuration.Routes[0].Calls.Shares, Timeout: configuration.Routes[0].Calls.Timeout, MaxAttempts: 1, Streams: true, Public: true}})
	configuration.Tenants = map[string]config.Tenant{}
	for _, tenant := range tenants {
		if tenant.HeaderValue == "" {
			tenant.HeaderValue = tenant.Name
		}
		configuration.Tenants[tenant.Name] = tenant
	}
	r.version++
	r.conduct.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: r.version})
}

// call sends a call with these headers and gives the status and what the server was sent; nil if it
// was sent nothing.
func (r *tenantRouter) call(t *testing.T, path string, header http.Header) (int, http.Header) {
	t.Helper()
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+r.address+path, strings.NewReader("prompt"))
	outbound.Host = "calls.example"
	for name, values := range header {
		outbound.Header[name] = values
	}
	r.sent++
	outbound.Header.Set("Seamloom-Call", fmt.Sprint("call-", r.sent))
	outbound.Header.Set("Seamloom-Limit-Milliseconds", "2000")
	outbound.Header.Set("Seamloom-Model", "m")
	outbound.Header.Set("Seamloom-Tokens", "10,2")
	before := r.server.count()
	got := send(outbound)
	if got.failure != nil {
		t.Fatal(got.failure)
	}
	if r.server.count() == before {
		return got.status, nil
	}
	inbound, _ := r.server.call(before)
	return got.status, inbound.Header
}

// TestServersAreToldTheTenantAndNotTheKey guards against UNASKED: a client's key, and a tenant that the
// client names itself, went on to servers.
func TestServersAreToldTheTenantAndNotTheKey(t *testing.T) {
	r := newTenantRouter(t)
	r.configure(config.Tenant{Name: "school", HeaderValue: "A School", Keys: []string{"key-1", "key-2"}}, config.Tenant{Name: "other", Keys: []string{"key-3"}})
	for _, c := range []struct{ path, key, claimed, want string }{
		{"/once/x", "key-1", "", "A School"},
		{"/once/x", "key-2", "other", "A School"},
		{"/again/x", "key-3", "A School", "other"},
		{"/open/x", "", "", ""},
		{"/open/x", "", "A School", ""},
		{"/open/x", "key-3", "A School", "other"},
	} {
		header := http.Header{}
		if c.key != "" {
			header.Set("Seamloom-Key", c.key)
		}
		if c.claimed != "" {
			header.Set("Seamloom-Tenant", c.claimed)
		}
		status, got := r.call(t, c.path, header)
		if status != http.StatusOK || got.Get("Seamloom-Tenant") != c.want || len(got.Values("Seamloom-Tenant")) > 1 {
			t.Errorf("%+v: status %d, tenant %q", c, status, got.Values("Seamloom-Tenant"))
		}
		if _, shown := got["Seamloom-Key"]; shown {
			t.Errorf("%+v: the server saw the key", c)
		}
	}
}

// TestCallsWithoutAKnownKeyAreRefused guards against ROUTE: calls were served whose key no configuration holds.
func TestCallsWithoutAKnownKeyAreRefused(t *testing.T) {
	r := newTenantRouter(t)
	r.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	for _, c := range []struct {
		path, key string
		want      int
	}{
		{"/once/x", "", http.StatusUnauthorized},
		{"/once/x", "key-9", http.StatusUnauthorized},
		{"/once/x", "key", http.StatusUnauthorized},
		{"/open/x", "key-9", http.StatusUnauthorized},
		{"/nowhere/x", "key-9", http.StatusNotFound},
		{"/nowhere/x", "key-1", http.StatusNotFound},
	} {
		header := http.Header{}
		if c.key != "" {
			header.Set("Seamloom-Key", c.key)
		}
		if status, got := r.call(t, c.path, header); status != c.want || got != nil {
			t.Errorf("%+v: status %d, sent to the server: %v", c, status, got != nil)
		}
	}
}

// TestAKeyThatWasTakenAwayIsServedNoMore guards against CONFIG: a call on a kept connection, with a key that
// the configuration in force does not hold any more, was served. The key may come back with another tenant.
func TestAKeyThatWasTakenAwayIsServedNoMore(t *testing.T) {
	r := newTenantRouter(t)
	header := http.Header{"Seamloom-Key": {"key-1"}}
	for _, step := range []struct {
		tenants []config.Tenant
		status  int
		tenant  string
	}{
		{[]config.Tenant{{Name: "school", Keys: []string{"key-1", "key-2"}}}, http.StatusOK, "school"},
		{[]config.Tenant{{Name: "school", Keys: []string{"key-2"}}}, http.StatusUnauthorized, ""},
		{[]config.Tenant{{Name: "school", Keys: []string{"key-2"}}, {Name: "other", Keys: []string{"key-1"}}}, http.StatusOK, "other"},
		{nil, http.StatusUnauthorized, ""},
	} {
		r.configure(step.tenants...)
		status, got := r.call(t, "/once/x", header)
		if status != step.status || got.Get("Seamloom-Tenant") != step.tenant {
			t.Errorf("%+v: status %d, tenant %q", step, status, got.Get("Seamloom-Tenant"))
		}
	}
}

// TestATenantsPriorityGoesBeforeItsRoutes has a tenant's rank told to servers in place of the route's.
func TestATenantsPriorityGoesBeforeItsRoutes(t *testing.T) {
	r := newTenantRouter(t)
	urgent := 3
	r.configure(config.Tenant{Name: "urgent", Keys: []string{"key-1"}, Priority: &urgent}, config.Tenant{Name: "plain", Keys: []string{"key-2"}})
	for key, want := range map[string]string{"key-1": "3", "key-2": "0"} {
		if _, got := r.call(t, "/once/x", http.Header{"Seamloom-Key": {key}}); got.Get("Seamloom-Urgency") != want {
			t.Errorf("%s: %q, want %s", key, got.Get("Seamloom-Urgency"), want)
		}
	}
}

// TestRefusalsForKeysAreCountedByCause guards against a stale configuration looking like a client without
// a key: both were one count, so that a key that had not arrived yet could not be told from the metrics.
func TestRefusalsForKeysAreCountedByCause(t *testing.T) {
	r := newTenantRouter(t)
	r.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	r.call(t, "/once/x", http.Header{})
	r.call(t, "/once/x", http.Header{"Seamloom-Key": {"secret-9"}})
	r.call(t, "/once/x", http.Header{"Seamloom-Key": {"secret-8"}})
	var text strings.Builder
	r.handler.WriteMetrics(&text)
	for _, want := range []string{`seamloom_calls_total{ending="key_missing"} 1`, `seamloom_calls_total{ending="key_unknown"} 2`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	if strings.Contains(text.String(), "secret-") {
		t.Error("the metrics show a key")
	}
}

// screening refuses each call by its head.
type screening struct {
	*scripted
	refusal dataplane.Refusal
}

// Screen refuses the call.
func (s *screening) Screen(*scheduler.Call) (dataplane.Refusal, bool) { return s.refusal, true }

// TestRefusalsByTheHeadSayWhenToComeBack guards against a 429 without Retry-After: a call refused before its
// body was read lost the time after which its tenant is within the limit again.
func TestRefusalsByTheHeadSayWhenToComeBack(t *testing.T) {
	conduct := &screening{scripted: &scripted{}, refusal: dataplane.Refusal{Cause: scheduler.OverLimit, Status: http.StatusTooManyRequests, RetryAfter: 250 * time.Millisecond}}
	handler, err := NewHandler(t.Context(), DefaultProtocol(), NewPool(nil), conduct, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("prompt")))
	if got := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusTooManyRequests || got != "0.250" {
		t.Errorf("status %d, Retry-After %q", recorder.Code, got)
	}
}

// TestAClientNamesNoRevisionOfWeights guards against a client that makes every server answer 421 to its call, which
// a router takes for servers that are gone.
func TestAClientNamesNoRevisionOfWeights(t *testing.T) {
	r := newTenantRouter(t)
	r.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	status, got := r.call(t, "/once/x", http.Header{"Seamloom-Key": {"key-1"}, "Seamloom-Revision": {"9"}})
	if _, passed := got["Seamloom-Revision"]; status != http.StatusOK || passed {
		t.Errorf("status %d, passed on: %v", status, passed)
	}
}
