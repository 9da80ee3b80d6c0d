// Package config owns the operators' configuration: services, routes and
// evacuations, how they are checked, and how a partial one is merged.
package config

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Configuration is a checked configuration. Text is its JSON.
type Configuration struct {
	Text        []byte
	Services    map[string]Service
	Routes      []Route
	Evacuations map[string]Evacuation
	// Revision is the operator's own number of the configuration; zero if there is
	// none. A change that gives one must give a higher one.
	Revision uint64
	// Limits bound what a caller may send.
	Limits Limits
}

// Limits bound what a caller may send and how long it may take or stay idle; zero
// means the product's default.
type Limits struct {
	HeaderBytes    int
	BodyBytes      int
	HeaderPatience time.Duration
	IdlePatience   time.Duration
}

// Empty is the configuration of a fleet that was given none: it has no
// services, so every request is refused as unknown.
func Empty() *Configuration {
	return &Configuration{Text: []byte(`{}`), Services: map[string]Service{}, Evacuations: map[string]Evacuation{}}
}

// Evacuated tells whether a zone is evacuated.
func (c *Configuration) Evacuated(zone string) bool {
	_, found := c.Evacuations[zone]
	return found
}

// Evacuate is the configuration's text with the zone evacuated: the very text
// if it is so for that reason already.
func Evacuate(text []byte, zone, reason string) ([]byte, error) {
	if current, evacuated, err := evacuationOf(text, zone); err != nil || evacuated && current == reason {
		return text, err
	}
	arena := &fastjson.Arena{}
	evacuation := arena.NewObject()
	evacuation.Set("reason", arena.NewString(reason))
	return mergeOne(text, arena, zone, evacuation)
}

// Restore is the configuration's text with the zone's evacuation lifted: the
// very text if there is none.
func Restore(text []byte, zone string) ([]byte, error) {
	if _, evacuated, err := evacuationOf(text, zone); err != nil || !evacuated {
		return text, err
	}
	arena := &fastjson.Arena{}
	return mergeOne(text, arena, zone, arena.NewNull())
}

// evacuationOf tells whether the text has the zone evacuated, and why.
func evacuationOf(text []byte, zone string) (reason string, evacuated bool, err error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		return "", false, failure.At(failure.Malformed, "/", err.Error())
	}
	found := root.Get("evacuations", zone)
	return string(found.GetStringBytes("reason")), found != nil, nil
}

func mergeOne(text []byte, arena *fastjson.Arena, zone string, value *fastjson.Value) ([]byte, error) {
	evacuations := arena.NewObject()
	evacuations.Set(zone, value)
	patch := arena.NewObject()
	patch.Set("evacuations", evacuations)
	// Only what is added is checked: the rest was, when it was taken.
	if value.Type() != fastjson.TypeNull {
		if _, err := Check(patch.MarshalTo(nil)); err != nil {
			return nil, err
		}
	}
	merged, err := Merge(text, patch.MarshalTo(nil))
	if err == nil && len(merged) > MostBytes {
		return nil, &Findings{Troubles: []*failure.Error{failure.At(failure.Oversize, "/", "a configuration has at most "+strconv.Itoa(MostBytes)+" bytes")}}
	}
	return merged, err
}
