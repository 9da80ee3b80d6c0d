package replay

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"seamloom.example/seamloom/internal/failure"
)

// Role is a program of the deploy file and the machines that it runs on. On is the class of these
// machines. In each zone the program runs on Count machines, or on the fraction Share of the zone's
// machines if Share is positive; runsOn describes which machines these are. Serves lists the functions
// that the program serves to callers outside.
type Role struct {
	Name   string   `toml:"-"`
	Run    string   `toml:"run"`
	On     string   `toml:"on"`
	Share  float64  `toml:"share"`
	Count  int      `toml:"count"`
	Apart  bool     `toml:"apart"`
	Serves []string `toml:"serves"`
	// binaries is the folder of the program.
	binaries string
}

// ReadRoles reads the roles of a deploy file. Their programs are in the folder binaries.
func ReadRoles(path, binaries string) ([]Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.Disk, err)
	}
	var file struct {
		Build string          `toml:"build"`
		Roles map[string]Role `toml:"roles"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, failure.Wrap(failure.Malformed, err)
	}
	var roles []Role
	for name, role := range file.Roles {
		if role.Run == "" || len(role.Serves) == 0 && role.Share == 0 && role.Count == 0 {
			return nil, failure.At(failure.Missing, "/roles/"+name, `a role needs "run", and at least one of "serves", "share" and "count"`)
		}
		role.Name, role.binaries = name, binaries
		roles = append(roles, role)
	}
	sort.Slice(roles, func(left, right int) bool { return roles[left].Name < roles[right].Name })
	return roles, nil
}

// arguments returns the path of the program and its arguments.
func (r Role) arguments() []string {
	arguments := strings.Fields(r.Run)
	arguments[0] = filepath.Join(r.binaries, filepath.Base(arguments[0]))
	return arguments
}

// hasFunction reports whether the role serves a function, such as "edge", to callers outside.
func (r Role) hasFunction(function string) bool { return slices.Contains(r.Serves, function) }

// runsOn reports whether a machine runs the role, given the machine's place in its zone, counted from
// 0, and the number of machines in the zone. A role that serves "edge" runs on all machines. Any other
// role runs on the first machines of the zone, or on the last ones if Apart is set. A machine that
// replaces another one gets the place of that machine.
func (r Role) runsOn(place, machines int) bool {
	count := r.Count
	if r.Share > 0 {
		count = int(math.Ceil(r.Share * float64(machines)))
	}
	if r.hasFunction("edge") {
		count = machines
	}
	if r.Apart {
		return place >= machines-count
	}
	return place < count
}
