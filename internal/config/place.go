package config

import "strings"

// place is where a value stands in a configuration; its text is made only when a
// finding needs it.
type place struct {
	parent *place
	name   string
}

func (at place) field(name string) place { return place{parent: &at, name: name} }

// String is the place as a JSON pointer.
func (at place) String() string {
	if at.parent == nil {
		return "/"
	}
	before := at.parent.String()
	return strings.TrimSuffix(before, "/") + "/" + escape(at.name)
}

func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
