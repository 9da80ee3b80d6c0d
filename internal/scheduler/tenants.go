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

// TenantLimit is the limit of a call's tenant over all routers, with the version of the configuration that
// has it.
type TenantLimit struct {
	Tenant        string
	Limit         config.RateLimit
	Epoch, Number uint64
}

// Screening is what a call's host, path and key alone say of it: Refused is the decision that refuses it, of
// the kind Refuse, or Limit bounds it if it has a tenant.
type Screening struct {
	Refused Decision
	Limit   TenantLimit
}

// Limited reports whether the call counts against a limit.
func (s Screening) Limited() bool { return s.Limit.Tenant != "" && !s.Limit.Limit.Unlimited() }

// Screen looks at a call's host, path and key by the configuration in force.
func (s *Scheduler) Screen(call *Call) Screening {
	routes := s.routes.Load()
	if routes == nil {
		return Screening{}
	}
	_, _, tenant, refused := routes.admit(call)
	screening := Screening{Refused: refused}
	if tenant != nil {
		screening.Limit = TenantLimit{Tenant: tenant.Name, Limit: tenant.Limit, Epoch: routes.epoch, Number: routes.number}
	}
	return screening
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
