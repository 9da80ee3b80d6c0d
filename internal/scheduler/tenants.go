package scheduler

import (
	"crypto/sha256"

	"seamloom.example/seamloom/internal/config"
)

// tenantTable finds the tenant of a key. Keys are looked up by their digests, so that the duration of
// a lookup reveals nothing about the keys.
type tenantTable struct {
	byDigest map[[sha256.Size]byte]*config.Tenant
}

// compileTenants makes the table of a configuration's tenants; nil if its calls need no key.
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
// without a key may only use public routes; a call with an unknown key may use no route. The tenant is
// nil if the configuration has no tenants, and for calls without a key.
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

// priority returns the call's priority at a server: the priority of its tenant, or else of its route.
func (state *CallState) priority() int {
	if state.tenant != nil && state.tenant.Priority != nil {
		return *state.tenant.Priority
	}
	return state.routeRule.calls.Priority
}

// tenantHeader returns the value of the header that names the call's tenant to model servers; empty if the
// call has no tenant.
func (state *CallState) tenantHeader() string {
	if state.tenant == nil {
		return ""
	}
	return state.tenant.HeaderValue
}

// TenantLimit is the rate limit of a call's tenant over all routers, with the version of the
// configuration that sets it.
type TenantLimit struct {
	Tenant        string
	Limit         config.RateLimit
	Epoch, Number uint64
}

// Screening is the result of checking a call's host, path and key only. Refused has the kind Refuse if
// the call is refused. Otherwise Limit is the limit of the call's tenant, if it has one.
type Screening struct {
	Refused Decision
	Limit   TenantLimit
}

// Limited reports whether the call counts against a limit.
func (s Screening) Limited() bool { return s.Limit.Tenant != "" && !s.Limit.Limit.Unlimited() }

// Screen checks a call's host, path and key by the configuration in force.
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

// admit finds a call's route, service and tenant, or returns the decision that refuses the call.
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
