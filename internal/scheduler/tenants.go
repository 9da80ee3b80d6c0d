package scheduler

import (
	"crypto/sha256"

	"seamloom.example/seamloom/internal/config"
)

// tenantTable finds the tenant of a key. Keys are looked up by their digests, so that the time that a
// lookup takes tells nothing of the keys.
type tenantTable struct {
	byDigest map[[sha256.Size]byte]*config.Tenant
}

// compileTenants makes the table of a configuration; nil if its calls need no key.
func compileTenants(tenants map[string]config.Tenant) *tenantTable {
	if tenants == nil {
		return nil
	}
	table := &tenantTable{byDigest: map[[sha256.Size]byte]*config.Tenant{}}
	for _, tenant := range tenants {
		for _, key := range tenant.Keys {
			table.byDigest[sha256.Sum256([]byte(key))] = &tenant
		}
	}
	return table
}

// authenticate finds the tenant of a call on a route, and reports whether the call may be served. A call
// without a key may only use public routes; one with an unknown key may use none. The tenant is nil
// where the configuration has no tenants, and for calls without a key.
func (t *tenantTable) authenticate(key string, calls *config.CallRoute) (*config.Tenant, bool) {
	switch {
	case t == nil:
		return nil, true
	case key == "":
		return nil, calls.Public
	}
	tenant, found := t.byDigest[sha256.Sum256([]byte(key))]
	return tenant, found
}

// priority is the call's rank among a server's calls: its tenant's, or else its route's.
func (t *CallState) priority() int {
	if t.tenant != nil && t.tenant.Priority != nil {
		return *t.tenant.Priority
	}
	return t.routeRule.calls.Priority
}

// tenantHeader is how model servers are told the call's tenant; empty if it has none.
func (t *CallState) tenantHeader() string {
	if t.tenant == nil {
		return ""
	}
	return t.tenant.HeaderValue
}

// Screen decides by a call's host, path and key alone whether it is refused, before its body is read:
// the second result is true for a refusal.
func (s *Scheduler) Screen(call *Call) (Decision, bool) {
	routes := s.routes.Load()
	if routes == nil {
		return Decision{}, false
	}
	_, _, _, refused := routes.admit(call)
	return refused, refused.Kind == Refuse
}

// admit finds the route of a call, its service and its tenant, or the decision that refuses it.
func (rt *RouteTable) admit(call *Call) (*routeRule, *config.Service, *config.Tenant, Decision) {
	r, service := rt.rule(call)
	if r == nil {
		return nil, nil, nil, Decision{Kind: Refuse, Cause: NoRoute}
	}
	tenant, known := rt.tenants.authenticate(call.Key, r.calls)
	if !known {
		return nil, nil, nil, Decision{Kind: Refuse, Cause: Unauthenticated}
	}
	return r, service, tenant, Decision{}
}
