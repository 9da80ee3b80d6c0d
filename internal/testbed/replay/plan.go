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

// Plan is the content of a day file, which describes a day.
type Plan struct {
	Name   string  `toml:"name,omitempty"`
	Seed   uint64  `toml:"seed,omitempty"`
	Length float64 `toml:"length_s,omitempty"`
	// Rate is the number of requests per second; 0 means the rate of the site.
	Rate    float64  `toml:"per_s,omitempty"`
	Faults  []Fault  `toml:"fault,omitempty"`
	Closing *Closing `toml:"closing,omitempty"`
}

// Fault is one fault of a day, or one piece of planned work such as a rolling restart. At is when it
// begins, For how long it lasts and Gap the pause between its steps, all in seconds. Share or Count
// says how many machines or servers it affects. For faults that change the configuration, Count is the
// number of changes, or of routes for big_config. On is "core" if the fault affects the machines of
// the core. The kind of the fault decides what Factor and the words in How mean.
type Fault struct {
	Kind    string  `toml:"kind,omitempty"`
	At      float64 `toml:"at,omitempty"`
	For     float64 `toml:"for_s,omitempty"`
	Share   float64 `toml:"share,omitempty"`
	Count   int     `toml:"count,omitempty"`
	Factor  float64 `toml:"x,omitempty"`
	Gap     float64 `toml:"gap_s,omitempty"`
	How     string  `toml:"how,omitempty"`
	On      string  `toml:"on,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
}

// Closing is the fault at the end of a day, right after the acknowledgement of a change. Down is how
// long the processes stay down, in seconds.
type Closing struct {
	Kind string  `toml:"kind,omitempty"`
	Down float64 `toml:"down_s,omitempty"`
}

// ReadPlan reads a plan from a file. The error lists every mistake in it.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, failure.Wrap(failure.Disk, err)
	}
	return ParsePlan(text)
}

// ParsePlan parses a plan. The error lists every mistake in it.
func ParsePlan(text []byte) (Plan, error) {
	var plan Plan
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		var strict *toml.StrictMissingError
		var mistakes error
		if errors.As(err, &strict) {
			for _, missing := range strict.Errors {
				mistakes = multierr.Append(mistakes,
					failure.At(failure.UnknownField, "/"+strings.Join(missing.Key(), "/"), "the field is unknown"))
			}
			return plan, mistakes
		}
		return plan, failure.Wrap(failure.Malformed, err)
	}
	return plan, plan.Check()
}

// Check returns an error that lists every mistake in a plan.
func (p Plan) Check() (mistakes error) {
	report := func(kind failure.Code, path, detail string) {
		mistakes = multierr.Append(mistakes, failure.At(kind, path, detail))
	}
	if p.Length < 5 || p.Length > 600 {
		report(failure.OutOfRange, "/length_s", "must be 5 to 600 seconds")
	}
	if p.Rate < 0 || p.Rate > 500 {
		report(failure.OutOfRange, "/per_s", "must be 0 to 500 requests per second")
	}
	for position, fault := range p.Faults {
		path := fmt.Sprintf("/fault/%d/", position)
		if _, found := faultActions[fault.Kind]; !found {
			report(failure.NoSuch, path+"kind", "must be one of "+strings.Join(FaultKinds(), ", "))
		}
		if fault.At < 0 || fault.At > p.Length {
			report(failure.OutOfRange, path+"at", "must be within the length of the day")
		}
		if fault.For < 0 || fault.For > 600 {
			report(failure.OutOfRange, path+"for_s", "must be 0 to 600 seconds")
		}
		if fault.Share < 0 || fault.Share > 1 {
			report(failure.OutOfRange, path+"share", "must be 0 to 1")
		}
		if fault.Count < 0 || fault.Gap < 0 || fault.Factor < 0 {
			report(failure.OutOfRange, path+"count", "count, gap_s and x must not be negative")
		}
		if fault.On != "" && fault.On != "core" && fault.On != "front" {
			report(failure.NoSuch, path+"on", "must be core or front")
		}
		if fault.Share > 0 && fault.Count > 0 {
			report(failure.Contradictory, path+"count", "either share or count may be set, not both")
		}
	}
	if p.Closing != nil {
		if _, found := closingFaults[p.Closing.Kind]; !found {
			report(failure.NoSuch, "/closing/kind", "must be kill_all, power_off_all or wipe_after_ack")
		}
		if p.Closing.Down < 0 || p.Closing.Down > 60 {
			report(failure.OutOfRange, "/closing/down_s", "must be 0 to 60 seconds")
		}
	}
	return mistakes
}

// seconds converts a number of seconds in a plan to a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// duration returns how long the fault lasts, 5 s by default.
func (f Fault) duration() time.Duration {
	if f.For == 0 {
		return 5 * time.Second
	}
	return seconds(f.For)
}

// gap returns the pause between steps, 1 s by default.
func (f Fault) gap() time.Duration {
	if f.Gap == 0 {
		return time.Second
	}
	return seconds(f.Gap)
}

// shareOr returns the share of the fault, or the usual one if it has none.
func (f Fault) shareOr(usual float64) float64 {
	if f.Share == 0 {
		return usual
	}
	return f.Share
}

// factorOr returns the factor of the fault, or the usual one if it has none.
func (f Fault) factorOr(usual float64) float64 {
	if f.Factor == 0 {
		return usual
	}
	return f.Factor
}

// hasOption reports whether the How of the fault contains an option.
func (f Fault) hasOption(option string) bool {
	for _, field := range strings.Fields(f.How) {
		if field == option {
			return true
		}
	}
	return false
}
