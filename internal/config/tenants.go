package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Tenant is a customer whose clients show one of its keys with each opaque call.
type Tenant struct {
	Name string
	// HeaderValue is how model servers are told the tenant; default Name.
	HeaderValue string
	// Keys are secrets: they appear in no log and in no error.
	Keys []string
	// Limit bounds the tenant's calls over all routers together.
	Limit RateLimit
	// Priority takes the place of the route's, 0 the most urgent; nil: the route's counts.
	Priority *int
}

// RateLimit bounds calls over all routers: in any span of t seconds at most PerSecond*t + Burst.
// PerSecond zero means no limit.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// Unlimited reports whether there is no limit.
func (l RateLimit) Unlimited() bool { return l.PerSecond <= 0 }

// tenants reads the tenants. That the field is there, even without an entry, means that calls need
// a key: when the last tenant is taken away nobody is let in.
func (c *checker) tenants(value *fastjson.Value, at pointer) {
	c.configuration.Tenants = map[string]Tenant{}
	holders := map[string]string{}
	c.named(value, at, func(name string, value *fastjson.Value, at pointer) {
		c.tenant(name, holders, value, at)
	})
}

// tenant reads one tenant; holders are the tenants of the keys read so far.
func (c *checker) tenant(name string, holders map[string]string, value *fastjson.Value, at pointer) {
	tenant := Tenant{Name: name, HeaderValue: name}
	c.fields(value, at, func(field string, value *fastjson.Value, at pointer) bool {
		switch field {
		case "keys":
			c.tenantKeys(&tenant, holders, value, at)
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

// tenantKeys reads a tenant's keys. A key of two tenants is an error that names the tenants, not
// the key.
func (c *checker) tenantKeys(tenant *Tenant, holders map[string]string, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of keys is needed")
		return
	}
	for i, entry := range entries {
		here := at.field(strconv.Itoa(i))
		var key string
		if c.headerValue(&key, entry, here); key == "" {
			continue
		}
		switch holder, found := holders[key]; {
		case !found:
			holders[key] = tenant.Name
			tenant.Keys = append(tenant.Keys, key)
		case holder != tenant.Name:
			c.failures.add(failure.Contradictory, here.String(), "the tenant "+holder+" has the same key")
		}
	}
}

// headerValue reads a text that can stand in an HTTP header: visible characters and spaces within.
func (c *checker) headerValue(target *string, value *fastjson.Value, at pointer) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a text is needed")
		return
	}
	proper := len(text) > 0 && len(text) <= maxTextBytes && text[0] != ' ' && text[len(text)-1] != ' '
	for _, char := range text {
		proper = proper && char >= ' ' && char != 0x7f
	}
	if !proper {
		c.failures.add(failure.OutOfRange, at.String(), "the text must be fit for a header")
		return
	}
	*target = string(text)
}
