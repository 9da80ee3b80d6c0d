package config

import (
	"sort"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// parsers are reused: what they read is copied before they go back to the pool.
var parsers fastjson.ParserPool

// maxTextBytes bounds a string that is no name, such as a path.
const maxTextBytes = 4096

// MaxBytes is the size of the largest configuration that is read.
const MaxBytes = 16 << 20

// Check reads a complete configuration. It returns either the configuration or a
// *ValidationError with the code and path of every failure: Oversize and Malformed for
// the text, WrongType, OutOfRange, Missing, UnknownField and Contradictory for fields.
func Check(text []byte) (*Configuration, error) {
	failures := &ValidationError{}
	if len(text) > MaxBytes {
		failures.add(failure.Oversize, "/", "a configuration has at most "+strconv.Itoa(MaxBytes)+" bytes")
		return nil, failures
	}
	if !utf8.Valid(text) {
		failures.add(failure.Malformed, "/", "the text is not UTF-8")
		return nil, failures
	}
	// The validator is stricter than the parser, which takes anything for a number.
	if err := fastjson.ValidateBytes(text); err != nil {
		failures.add(failure.Malformed, "/", SyntaxDetail(text))
		return nil, failures
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		failures.add(failure.Malformed, "/", SyntaxDetail(text))
		return nil, failures
	}
	c := &checker{failures: failures, configuration: Empty(), hostPaths: map[hostPath]string{}}
	c.configuration.Text = append([]byte(nil), text...)
	c.root(root, pointer{})
	if len(failures.Errors) > 0 {
		return nil, failures
	}
	routes := c.configuration.Routes
	sort.Slice(routes, func(a, b int) bool {
		if routes[a].Order != routes[b].Order {
			return routes[a].Order < routes[b].Order
		}
		return routes[a].Name < routes[b].Name
	})
	return c.configuration, nil
}

// checker fills a configuration from its JSON and collects the failures. Each method
// checks one kind of object; those in values.go check single values.
type checker struct {
	failures      *ValidationError
	configuration *Configuration
	// places are the hosts and prefixes that routes of calls have, by route.
	hostPaths map[hostPath]string
}

// hostPath is the condition of a route of calls: no two routes may share one.
type hostPath struct{ host, prefix string }

func (c *checker) root(root *fastjson.Value, at pointer) {
	c.fields(root, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "services":
			c.named(value, at, c.service)
		case "routes":
			c.named(value, at, c.route)
		case "evacuations":
			c.named(value, at, c.evacuation)
		case "revision":
			c.revision(value, at)
		case "limits":
			c.limits(value, at)
		case "tenants":
			c.tenants(value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	})
	c.references()
}

// references checks that every service that a route names exists.
func (c *checker) references() {
	routes := pointer{}.field("routes")
	for _, route := range c.configuration.Routes {
		at := routes.field(route.Name)
		c.reference(route.Match.Service, at.field("match").field("service"))
		if route.Calls == nil {
			continue
		}
		shares := at.field("calls").field("shares")
		for i, share := range route.Calls.Shares {
			c.reference(share.Service, shares.field(strconv.Itoa(i)).field("service"))
		}
	}
}

func (c *checker) reference(service string, at pointer) {
	if _, found := c.configuration.Services[service]; service != "" && !found {
		c.failures.add(failure.Contradictory, at.String(), "no service "+service)
	}
}

func (c *checker) revision(value *fastjson.Value, at pointer) {
	revision, err := value.Uint64()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	c.configuration.Revision = revision
}

func (c *checker) limits(value *fastjson.Value, at pointer) {
	limits := &c.configuration.Limits
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "header_bytes":
			c.integer(&limits.HeaderBytes, 1, 1<<30, value, at)
		case "body_bytes":
			c.integer(&limits.BodyBytes, 1, 1<<40, value, at)
		case "header_patience_milliseconds":
			c.milliseconds(&limits.HeaderTimeout, 1, MaxCallTimeout, value, at)
		case "idle_patience_milliseconds":
			c.milliseconds(&limits.IdleTimeout, 1, MaxCallTimeout, value, at)
		default:
			return false
		}
		return true
	})
}
