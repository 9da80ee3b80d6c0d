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

// tenantRouter is a router with one model server and a configuration that a test can change.
type tenantRouter struct {
	server  *fakeServer
	calls   *dataplane.Calls
	handler *Handler
	address string
	// version is the number of the configuration that was applied last; sent is the number of calls that were sent.
	version uint64
	sent    int
}

// newTenantRouter starts a model server, and a router that knows this server and has no configuration. Both run until
// the test ends.
func newTenantRouter(t *testing.T) *tenantRouter {
	t.Helper()
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		connection.writeText(streamHead(inbound.Header.Get("Seamloom-Call")) + chunk(event(1)) + "0\r\n\r\n")
		return true
	})
	server.record.Service, server.record.Slots, server.record.Models = "desk", 64, []string{"m"}
	ctx, cancel := context.WithCancel(t.Context())
	rt := osruntime.New(ctx, osruntime.NewClock())
	pool := NewPool(nil)
	router := &tenantRouter{server: server}
	router.calls = dataplane.NewCalls(rt, scheduler.New(scheduler.Options{Router: "router-1", Zone: "north"}), pool.SetServers)
	router.calls.SetRouters(1)
	router.calls.SetServers(rt.Now(), []membership.Server{server.record})
	handler, err := NewHandler(ctx, DefaultProtocol(), pool, router.calls, rt.Now)
	if err != nil {
		t.Fatal(err)
	}
	router.handler = handler
	httpServer := httptest.NewServer(handler)
	router.address = httpServer.Listener.Addr().String()
	t.Cleanup(func() { httpServer.Close(); cancel() })
	return router
}

// configure applies a new configuration with these tenants.
func (r *tenantRouter) configure(tenants ...config.Tenant) {
	configuration := twoRoutes()
	configuration.Routes = append(configuration.Routes, config.Route{
		Name: "open", Match: config.Match{Host: "calls.example", PathPrefix: "/open/"},
		Calls: &config.CallRoute{Shares: configuration.Routes[0].Calls.Shares, Timeout: configuration.Routes[0].Calls.Timeout,
			MaxAttempts: 1, Streams: true, Public: true}})
	configuration.Tenants = map[string]config.Tenant{}
	for _, tenant := range tenants {
		if tenant.HeaderValue == "" {
			tenant.HeaderValue = tenant.Name
		}
		configuration.Tenants[tenant.Name] = tenant
	}
	r.version++
	r.calls.SetConfiguration(configuration, replication.Version{Epoch: 1, Number: r.version})
}

// call sends a call with these headers. It returns the status and the headers that the server got,
// or nil if the server got no call.
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
	inbound, _ := r.server.request(before)
	return got.status, inbound.Header
}

// TestServersReceiveTheTenantAndNotTheKey guards against a fault that the replay's UNASKED checker reports:
// a client's key, and a tenant that the client named itself, were forwarded to servers.
func TestServersReceiveTheTenantAndNotTheKey(t *testing.T) {
	router := newTenantRouter(t)
	router.configure(config.Tenant{Name: "school", HeaderValue: "A School", Keys: []string{"key-1", "key-2"}},
		config.Tenant{Name: "other", Keys: []string{"key-3"}})
	for _, test := range []struct{ path, key, claimed, want string }{
		{"/once/x", "key-1", "", "A School"},
		{"/once/x", "key-2", "other", "A School"},
		{"/again/x", "key-3", "A School", "other"},
		{"/open/x", "", "", ""},
		{"/open/x", "", "A School", ""},
		{"/open/x", "key-3", "A School", "other"},
	} {
		header := http.Header{}
		if test.key != "" {
			header.Set("Seamloom-Key", test.key)
		}
		if test.claimed != "" {
			header.Set("Seamloom-Tenant", test.claimed)
		}
		status, got := router.call(t, test.path, header)
		if status != http.StatusOK || got.Get("Seamloom-Tenant") != test.want || len(got.Values("Seamloom-Tenant")) > 1 {
			t.Errorf("%+v: got status %d and tenant %q, want 200 and %q", test, status, got.Values("Seamloom-Tenant"), test.want)
		}
		if _, forwarded := got["Seamloom-Key"]; forwarded {
			t.Errorf("%+v: the key was forwarded to the server", test)
		}
	}
}

// TestCallsWithoutAKnownKeyAreRefused guards against a fault that the replay's ROUTE checker reports: calls
// with a key that is not in the configuration were served.
func TestCallsWithoutAKnownKeyAreRefused(t *testing.T) {
	router := newTenantRouter(t)
	router.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	for _, test := range []struct {
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
		if test.key != "" {
			header.Set("Seamloom-Key", test.key)
		}
		if status, got := router.call(t, test.path, header); status != test.want || got != nil {
			t.Errorf("%+v: got status %d, forwarded: %v; want status %d and not forwarded", test, status, got != nil, test.want)
		}
	}
}

// TestRemovedKeyIsRefused guards against a fault that the replay's CONFIG checkers report: a call on an open
// connection was served with a key that the current configuration no longer has. A removed key may be
// added again for another tenant.
func TestRemovedKeyIsRefused(t *testing.T) {
	router := newTenantRouter(t)
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
		router.configure(step.tenants...)
		status, got := router.call(t, "/once/x", header)
		if status != step.status || got.Get("Seamloom-Tenant") != step.tenant {
			t.Errorf("tenants %+v: got status %d and tenant %q, want %d and %q",
				step.tenants, status, got.Get("Seamloom-Tenant"), step.status, step.tenant)
		}
	}
}

// TestTenantPriorityOverridesRoutePriority guards against sending the route's priority to servers for
// the calls of a tenant that has its own priority.
func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	router := newTenantRouter(t)
	urgent := 3
	router.configure(config.Tenant{Name: "urgent", Keys: []string{"key-1"}, Priority: &urgent},
		config.Tenant{Name: "plain", Keys: []string{"key-2"}})
	for key, want := range map[string]string{"key-1": "3", "key-2": "0"} {
		if _, got := router.call(t, "/once/x", http.Header{"Seamloom-Key": {key}}); got.Get("Seamloom-Urgency") != want {
			t.Errorf("key %s: got priority %q, want %s", key, got.Get("Seamloom-Urgency"), want)
		}
	}
}

// TestRefusalsForKeysAreCountedByCause guards against one count for both causes, from which operators could
// not tell whether clients send no key or a stale configuration lacks a new key.
func TestRefusalsForKeysAreCountedByCause(t *testing.T) {
	router := newTenantRouter(t)
	router.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	router.call(t, "/once/x", http.Header{})
	router.call(t, "/once/x", http.Header{"Seamloom-Key": {"secret-9"}})
	router.call(t, "/once/x", http.Header{"Seamloom-Key": {"secret-8"}})
	var text strings.Builder
	router.handler.WriteMetrics(&text)
	for _, want := range []string{`seamloom_calls_total{ending="key_missing"} 1`, `seamloom_calls_total{ending="key_unknown"} 2`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	if strings.Contains(text.String(), "secret-") {
		t.Error("the metrics contain a key")
	}
}

// screeningExecutor refuses each call before its body is read.
type screeningExecutor struct {
	*scriptedExecutor
	refusal dataplane.Refusal
}

// Screen refuses every call with the test's refusal.
func (s *screeningExecutor) Screen(*scheduler.Call) (dataplane.Refusal, bool) {
	return s.refusal, true
}

// TestRefusalBeforeTheBodyHasRetryAfter guards against a 429 without Retry-After: a call refused before its
// body was read lost the time after which its tenant is within the limit again.
func TestRefusalBeforeTheBodyHasRetryAfter(t *testing.T) {
	executor := &screeningExecutor{scriptedExecutor: &scriptedExecutor{}, refusal: dataplane.Refusal{
		Cause: scheduler.OverLimit, Status: http.StatusTooManyRequests, RetryAfter: 250 * time.Millisecond}}
	handler, err := NewHandler(t.Context(), DefaultProtocol(), NewPool(nil), executor, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("prompt")))
	if got := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusTooManyRequests || got != "0.250" {
		t.Errorf("got status %d and Retry-After %q, want 429 and 0.250", recorder.Code, got)
	}
}

// TestClientCannotSetTheRevision guards against a client that makes every server answer its call with 421:
// a router concludes from a 421 that the addressed server is gone.
func TestClientCannotSetTheRevision(t *testing.T) {
	router := newTenantRouter(t)
	router.configure(config.Tenant{Name: "school", Keys: []string{"key-1"}})
	status, got := router.call(t, "/once/x", http.Header{"Seamloom-Key": {"key-1"}, "Seamloom-Revision": {"9"}})
	if _, forwarded := got["Seamloom-Revision"]; status != http.StatusOK || forwarded {
		t.Errorf("got status %d, revision forwarded: %v; want 200 and not forwarded", status, forwarded)
	}
}
