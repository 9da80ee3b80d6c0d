package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Evacuation excludes a zone's servers from routing until it is lifted.
type Evacuation struct {
	Zone   string
	Reason string
}

// Evacuated reports whether a zone is evacuated.
func (c *Configuration) Evacuated(zone string) bool {
	_, found := c.Evacuations[zone]
	return found
}

// Evacuate returns the configuration's text with the zone evacuated, or text itself if the zone is
// already evacuated for the same reason. It fails with Malformed if the text cannot be parsed, and
// with a *ValidationError if the zone is not a valid name or the result exceeds MaxBytes.
func Evacuate(text []byte, zone, reason string) ([]byte, error) {
	if current, evacuated, err := evacuationOf(text, zone); err != nil || evacuated && current == reason {
		return text, err
	}
	arena := &fastjson.Arena{}
	evacuation := arena.NewObject()
	evacuation.Set("reason", arena.NewString(reason))
	return mergeEvacuation(text, arena, zone, evacuation)
}

// EndEvacuation returns the configuration's text without the zone's evacuation, or text itself
// if the zone is not evacuated.
func EndEvacuation(text []byte, zone string) ([]byte, error) {
	if _, evacuated, err := evacuationOf(text, zone); err != nil || !evacuated {
		return text, err
	}
	arena := &fastjson.Arena{}
	return mergeEvacuation(text, arena, zone, arena.NewNull())
}

// ZoneEvacuated reports whether the zone is evacuated in the configuration's text. It fails with
// Malformed if the text cannot be parsed.
func ZoneEvacuated(text []byte, zone string) (bool, error) {
	_, evacuated, err := evacuationOf(text, zone)
	return evacuated, err
}

// evacuationOf reports whether the zone is evacuated in the text, and for which reason.
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

// mergeEvacuation sets a zone's evacuation in the configuration's text to the value, or removes the evacuation if
// the value is null.
func mergeEvacuation(text []byte, arena *fastjson.Arena, zone string, value *fastjson.Value) ([]byte, error) {
	evacuations := arena.NewObject()
	evacuations.Set(zone, value)
	patch := arena.NewObject()
	patch.Set("evacuations", evacuations)
	// Only the patch is checked: the rest of the text was checked when it was accepted.
	if value.Type() != fastjson.TypeNull {
		if _, err := Check(patch.MarshalTo(nil)); err != nil {
			return nil, err
		}
	}
	merged, err := Merge(text, patch.MarshalTo(nil))
	if err == nil && len(merged) > MaxBytes {
		return nil, invalid(failure.Oversize, "/", "the configuration exceeds "+strconv.Itoa(MaxBytes)+" bytes")
	}
	return merged, err
}

func (c *checker) evacuation(name string, value *fastjson.Value, at pointer) {
	evacuation := Evacuation{Zone: name}
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		if name == "annotations" {
			c.annotations(value, at)
			return true
		}
		if name != "reason" {
			return false
		}
		text, err := value.StringBytes()
		if err != nil {
			c.failures.add(failure.WrongType, at.String(), "a string is required")
		}
		evacuation.Reason = string(text)
		return true
	})
	c.configuration.Evacuations[evacuation.Zone] = evacuation
}
