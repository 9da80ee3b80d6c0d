package config

import (
	"sort"
	"strconv"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// parsers holds reusable JSON parsers. All text that outlives a call is copied before the parser returns to the pool,
// because the parser overwrites its values when it is used again.
var parsers fastjson.ParserPool

// maxTextBytes is the maximum size of a string, such as a path. Names have a limit of their own.
const maxTextBytes = 4096

// MaxBytes is the maximum size of a configuration's text.
const MaxBytes = 16 << 20

// Check parses and validates a complete configuration. It returns either the configuration or a
// *ValidationError with the code and path of every failure: Oversize and Malformed for
// the text, WrongType, OutOfRange, Missing, UnknownField and Contradictory for fields.
func Check(text []byte) (*Configuration, error) {
	validation := &ValidationError{}
	if len(text) > MaxBytes {
		validation.add(failure.Oversize, "/", "the configuration exceeds "+strconv.Itoa(MaxBytes)+" bytes")
		return nil, validation
	}
	if !utf8.Valid(text) {
		validation.add(failure.Malformed, "/", "the text is not UTF-8")
		return nil, validation
	}
	// The text is validated first because the parser accepts malformed numbers.
	if err := fastjson.ValidateBytes(text); err != nil {
		validation.add(failure.Malformed, "/", SyntaxDetail(text))
		return nil, validation
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		validation.add(failure.Malformed, "/", SyntaxDetail(text))
		return nil, validation
	}
	c := &checker{failures: validation, configuration: Empty(), hostPaths: map[hostPath]string{}}
	c.configuration.Text = append([]byte(nil), text...)
	c.root(root, pointer{})
	if len(validation.Failures) > 0 {
		return nil, validation
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

// checker fills a configuration from its JSON and collects validation failures. Each method
// checks one kind of object; the methods in values.go check single values.
type checker struct {
	failures      *ValidationError
	configuration *Configuration
	// hostPaths maps the host and path prefix of each route for opaque calls to the name of the route.
	hostPaths map[hostPath]string
}

// hostPath is the host and path prefix that a route for opaque calls matches. No two routes may match the same pair.
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
		c.failures.add(failure.Contradictory, at.String(), "there is no service "+service)
	}
}

func (c *checker) revision(value *fastjson.Value, at pointer) {
	revision, err := value.Uint64()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "an integer is required")
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
