// Package menu owns the operators' configuration: services, routes and
// evacuations, how they are checked, and how a partial one is merged.
package menu

import "github.com/valyala/fastjson"

// Configuration is a checked configuration. Text is its JSON.
type Configuration struct {
	Text        []byte
	Services    map[string]Service
	Routes      []Route
	Evacuations map[string]Evacuation
}

// Empty is the configuration of a fleet that was given none: it has no
// services, so every inquiry is refused as unknown.
//
// Example:
//
//	configuration := menu.Empty()
func Empty() *Configuration {
	return &Configuration{Text: []byte(`{}`), Services: map[string]Service{}, Evacuations: map[string]Evacuation{}}
}

// Evacuated tells whether a district is evacuated.
//
// Example:
//
//	if configuration.Evacuated("north") { ... }
func (configuration *Configuration) Evacuated(district string) bool {
	_, found := configuration.Evacuations[district]
	return found
}

// Evacuate is the configuration's text with the district evacuated.
//
// Example:
//
//	text, failure := menu.Evacuate(configuration.Text, "north", "power work")
func Evacuate(text []byte, district, reason string) ([]byte, error) {
	arena := &fastjson.Arena{}
	evacuation := arena.NewObject()
	evacuation.Set("reason", arena.NewString(reason))
	return mergeOne(text, arena, district, evacuation)
}

// Restore is the configuration's text with the district's evacuation lifted.
//
// Example:
//
//	text, failure := menu.Restore(configuration.Text, "north")
func Restore(text []byte, district string) ([]byte, error) {
	arena := &fastjson.Arena{}
	return mergeOne(text, arena, district, arena.NewNull())
}

func mergeOne(text []byte, arena *fastjson.Arena, district string, value *fastjson.Value) ([]byte, error) {
	evacuations := arena.NewObject()
	evacuations.Set(district, value)
	patch := arena.NewObject()
	patch.Set("evacuations", evacuations)
	return Merge(text, patch.MarshalTo(nil))
}
