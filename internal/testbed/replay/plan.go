package replay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
)

// Plan is a day as its file gives it.
type Plan struct {
	Name   string  `toml:"name,omitempty"`
	Seed   uint64  `toml:"seed,omitempty"`
	Length float64 `toml:"length_s,omitempty"`
	// Rate is how many requests come in a second; 0 means the site's.
	Rate    float64  `toml:"per_s,omitempty"`
	Faults  []Fault  `toml:"fault,omitempty"`
	Closing *Closing `toml:"closing,omitempty"`
}

// Fault is one trouble, or one planned chunk of work, of a day.
type Fault struct {
	Kind    string  `toml:"kind,omitempty"`
	At      float64 `toml:"at,omitempty"`
	For     float64 `toml:"for_s,omitempty"`
	Share   float64 `toml:"share,omitempty"`
	Count   int     `toml:"count,omitempty"`
	Times   float64 `toml:"x,omitempty"`
	Gap     float64 `toml:"gap_s,omitempty"`
	How     string  `toml:"how,omitempty"`
	On      string  `toml:"on,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
}

// Closing is the fault at the end of a day, right after a change was acknowledged.
type Closing struct {
	Kind string  `toml:"kind,omitempty"`
	Down float64 `toml:"down_s,omitempty"`
}

// ReadPlan reads a day from a file. Every mistake in it is named.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, failure.Wrap(failure.Disk, err)
	}
	return ParsePlan(text)
}

// ParsePlan reads a day. Every mistake in it is named.
func ParsePlan(text []byte) (Plan, error) {
	var plan Plan
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		var strict *toml.StrictMissingError
		var mistakes error
		if errors.As(err, &strict) {
			for _, missing := range strict.Errors {
				mistakes = multierr.Append(mistakes,
					failure.At(failure.UnknownField, "/"+strings.Join(missing.Key(), "/"), "no such field"))
			}
			return plan, mistakes
		}
		return plan, failure.Wrap(failure.Malformed, err)
	}
	return plan, plan.Check()
}

// Check names every mistake of a plan.
func (p Plan) Check() (mistakes error) {
	wrong := func(kind failure.Code, path, detail string) {
		mistakes = multierr.Append(mistakes, failure.At(kind, path, detail))
	}
	if p.Length < 5 || p.Length > 600 {
		wrong(failure.OutOfRange, "/length_s", "5 to 600 seconds")
	}
	if p.Rate < 0 || p.Rate > 500 {
		wrong(failure.OutOfRange, "/per_s", "0 to 500 requests a second")
	}
	for position, fault := range p.Faults {
		path := fmt.Sprintf("/fault/%d/", position)
		if _, found := faultBodies[fault.Kind]; !found {
			wrong(failure.NoSuch, path+"kind", "none of "+strings.Join(FaultKinds(), ", "))
		}
		if fault.At < 0 || fault.At > p.Length {
			wrong(failure.OutOfRange, path+"at", "within the day's length")
		}
		if fault.For < 0 || fault.For > 600 {
			wrong(failure.OutOfRange, path+"for_s", "0 to 600 seconds")
		}
		if fault.Share < 0 || fault.Share > 1 {
			wrong(failure.OutOfRange, path+"share", "0 to 1")
		}
		if fault.Count < 0 || fault.Gap < 0 || fault.Times < 0 {
			wrong(failure.OutOfRange, path+"count", "count, gap_s and x are not negative")
		}
		if fault.On != "" && fault.On != "core" && fault.On != "front" {
			wrong(failure.NoSuch, path+"on", "core or front")
		}
		if fault.Share > 0 && fault.Count > 0 {
			wrong(failure.Contradictory, path+"count", "share or count, not both")
		}
	}
	if p.Closing != nil {
		if _, found := closings[p.Closing.Kind]; !found {
			wrong(failure.NoSuch, "/closing/kind", "kill_all, power_off_all or wipe_after_ack")
		}
		if p.Closing.Down < 0 || p.Closing.Down > 60 {
			wrong(failure.OutOfRange, "/closing/down_s", "0 to 60 seconds")
		}
	}
	return mistakes
}

// seconds turns a plan's number into a length of time.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// lasts is how long the fault lasts, 5 s unless it says.
func (f Fault) lasts() time.Duration {
	if f.For == 0 {
		return 5 * time.Second
	}
	return seconds(f.For)
}

// gap is the pause between steps, 1 s unless it says.
func (f Fault) gap() time.Duration {
	if f.Gap == 0 {
		return time.Second
	}
	return seconds(f.Gap)
}

// shareOr is the share that the fault says, or another.
func (f Fault) shareOr(usual float64) float64 {
	if f.Share == 0 {
		return usual
	}
	return f.Share
}

// timesOr is how strong the fault is, or another strength.
func (f Fault) timesOr(usual float64) float64 {
	if f.Times == 0 {
		return usual
	}
	return f.Times
}

// says tells whether the fault's way holds a word.
func (f Fault) says(word string) bool {
	for _, one := range strings.Fields(f.How) {
		if one == word {
			return true
		}
	}
	return false
}
