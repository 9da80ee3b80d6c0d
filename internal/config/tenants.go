package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Tenant is a customer whose clients authenticate each opaque call with one of the tenant's keys.
type Tenant struct {
	Name string
	// HeaderValue identifies the tenant in a header to model servers; default Name.
	HeaderValue string
	// Keys are secrets: they must not appear in logs or errors.
	Keys []string
	// Limit bounds the tenant's calls over all routers together.
	Limit RateLimit
	// Priority overrides the priority of the route; 0 is the most urgent. Nil means the route's priority.
	Priority *int
}

// RateLimit bounds the calls over all routers together: at most PerSecond*t + Burst in any span of
// t seconds. A PerSecond of zero means that there is no limit.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// Unlimited reports whether there is no limit.
func (l RateLimit) Unlimited() bool { return l.PerSecond <= 0 }

// tenants reads and checks the tenants. If the field is present, even as an empty object, calls need a key: removing
// the last tenant must not admit calls without a key.
func (c *checker) tenants(value *fastjson.Value, at pointer) {
	c.configuration.Tenants = map[string]Tenant{}
	owners := map[string]string{}
	c.named(value, at, func(name string, value *fastjson.Value, at pointer) {
		c.tenant(name, owners, value, at)
	})
}

// tenant reads and checks one tenant. The map owners contains each key that was read so far, with the name of
// its tenant.
func (c *checker) tenant(name string, owners map[string]string, value *fastjson.Value, at pointer) {
	tenant := Tenant{Name: name, HeaderValue: name}
	c.fields(value, at, func(field string, value *fastjson.Value, at pointer) bool {
		switch field {
		case "keys":
			c.tenantKeys(&tenant, owners, value, at)
		case "per_second":
			c.number(&tenant.Limit.PerSecond, value, at)
		case "burst":
			c.number(&tenant.Limit.Burst, value, at)
		case "rank":
			tenant.Priority = new(int)
			c.integer(tenant.Priority, 0, 1_000_000, value, at)
		case "header_value":
			c.headerValue(&tenant.HeaderValue, value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	})
	c.configuration.Tenants[name] = tenant
}

// tenantKeys reads and checks a tenant's keys. A key that the tenant lists twice is kept once. If two tenants
// have the same key, the error names the tenants but not the key.
func (c *checker) tenantKeys(tenant *Tenant, owners map[string]string, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of keys is required")
		return
	}
	for i, entry := range entries {
		here := at.field(strconv.Itoa(i))
		var key string
		if c.headerValue(&key, entry, here); key == "" {
			continue
		}
		switch owner, found := owners[key]; {
		case !found:
			owners[key] = tenant.Name
			tenant.Keys = append(tenant.Keys, key)
		case owner != tenant.Name:
			c.failures.add(failure.Contradictory, here.String(), "the tenant "+owner+" has the same key")
		}
	}
}

// headerValue reads and checks a string that is used as the value of an HTTP header: 1 to maxTextBytes bytes,
// without control characters and without leading or trailing spaces.
func (c *checker) headerValue(target *string, value *fastjson.Value, at pointer) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a string is required")
		return
	}
	valid := len(text) > 0 && len(text) <= maxTextBytes && text[0] != ' ' && text[len(text)-1] != ' '
	for _, char := range text {
		valid = valid && char >= ' ' && char != 0x7f
	}
	if !valid {
		c.failures.add(failure.OutOfRange, at.String(), "the string is not valid as an HTTP header value")
		return
	}
	*target = string(text)
}
