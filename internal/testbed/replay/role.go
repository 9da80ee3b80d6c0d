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

// Role is a program of the deploy file, and where it runs.
type Role struct {
	Name   string   `toml:"-"`
	Run    string   `toml:"run"`
	On     string   `toml:"on"`
	Share  float64  `toml:"share"`
	Count  int      `toml:"count"`
	Apart  bool     `toml:"apart"`
	Serves []string `toml:"serves"`
	// binaries is the folder that its program is in.
	binaries string
}

// ReadRoles reads the roles of a deploy file; their programs are in a folder.
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
			return nil, failure.At(failure.Missing, "/roles/"+name, "a role needs run, and share or count")
		}
		role.Name, role.binaries = name, binaries
		roles = append(roles, role)
	}
	sort.Slice(roles, func(left, right int) bool { return roles[left].Name < roles[right].Name })
	return roles, nil
}

// arguments are the program and its arguments.
func (r Role) arguments() []string {
	arguments := strings.Fields(r.Run)
	arguments[0] = filepath.Join(r.binaries, filepath.Base(arguments[0]))
	return arguments
}

// serving tells whether the role may be called from outside for that.
func (r Role) serving(what string) bool { return slices.Contains(r.Serves, what) }

// on tells whether the machine at a place in its zone runs the role; spare machines run
// none of the roles that a count gives, unless they replace one that did.
func (r Role) on(place, machines int) bool {
	wanted := r.Count
	if r.Share > 0 {
		wanted = int(math.Ceil(r.Share * float64(machines)))
	}
	if r.serving("edge") {
		wanted = machines
	}
	if r.Apart {
		return place >= machines-wanted
	}
	return place < wanted
}
