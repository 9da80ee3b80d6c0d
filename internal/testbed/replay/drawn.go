package replay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"seamloom.example/seamloom/internal/failure"
)

// usualFaults are the faults that drawn days combine. Each is as strong as on the platform's days.
var usualFaults = []Fault{
	{
		Kind:   "burst",
		Class:  "chat",
		Factor: 1.9,
		For:    6,
	}, {
		Kind:    "srv_crash",
		Share:   0.17,
		For:     4,
		Service: "desk",
	}, {Kind: "srv_crash", Share: 0.17, For: 4, How: "dark", Service: "desk"},
	{
		Kind:  "release",
		Share: 0.45,
		Gap:   1,
	}, {
		Kind:   "answer_lost",
		Share:  0.5,
		Factor: 0.05,
		For:    4,
	}, {Kind: "garble", Share: 0.6, Factor: 0.03, For: 5, How: "extra"},
	{Kind: "garble", Share: 0.6, Factor: 0.1, For: 5, How: "unframed"},
	{
		Kind:  "node_kill",
		Share: 0.3,
		For:   3,
	}, {
		Kind:  "node_kill",
		On:    "core",
		Count: 1,
		For:   3,
		How:   "leader",
	}, {Kind: "node_freeze", Share: 0.3, For: 3}, {Kind: "roll_term", Share: 0.45, Gap: 1},
	{
		Kind:  "herd_kill",
		Share: 0.55,
		For:   1,
	}, {
		Kind: "herd_kill",
		On:   "core",
		For:  1,
	}, {Kind: "seed_turnover"}, {
		Kind:   "replace_core",
		Factor: 2,
		How:    "leader",
	}, {Kind: "replace_core", Factor: 1, How: "planned"},
	{Kind: "after_ack_wipe", For: 2}, {Kind: "after_ack_kill", For: 2}, {Kind: "config_change", How: "weights"},
	{Kind: "config_change", How: "route"}, {Kind: "config_change", How: "timeout"},
	{
		Kind: "config_storm",
		For:  3,
		Gap:  0.3,
	}, {
		Kind:  "config_race",
		Count: 3,
		Gap:   1,
	}, {Kind: "bad_config", Count: 3, Gap: 0.7}, {Kind: "big_config", Count: 150}, {Kind: "evacuate", For: 8},
	{
		Kind:    "kv_slow",
		Share:   0.3,
		Factor:  8,
		For:     5,
		Service: "desk",
	}, {Kind: "handle_short", Share: 0.35, For: 4, Service: "desk"}, {Kind: "node_freeze", On: "core", For: 3},
	{Kind: "zone_loss", For: 3}, {
		Kind:    "srv_flap",
		Share:   0.1,
		For:     6,
		Gap:     0.8,
		Service: "desk",
	}, {Kind: "srv_grey", Share: 0.2, Factor: 0.5, For: 5, Service: "desk"},
	{
		Kind:  "srv_lying_health",
		Share: 0.3,
		For:   5,
	}, {Kind: "retry_abuse", For: 5}, {
		Kind:  "hup",
		Share: 0.5,
		Gap:   0.3,
	}, {Kind: "srv_crash", Share: 0.1, How: "gone", Service: "desk"},
}

// DrawPlan draws a day with the given number of faults. The same seed gives the same day.
func DrawPlan(seed uint64, faults int) Plan {
	random := rand.New(rand.NewPCG(seed, 19))
	plan := Plan{Name: fmt.Sprintf("drawn-%d", seed), Seed: seed, Length: 24}
	for _, position := range random.Perm(len(usualFaults))[:min(faults, len(usualFaults))] {
		fault := usualFaults[position]
		fault.At = float64(20+random.IntN(160)) / 10
		plan.Faults = append(plan.Faults, fault)
	}
	slices.SortFunc(plan.Faults, func(left, right Fault) int { return int(left.At*10 - right.At*10) })
	if draw := random.IntN(4); draw > 0 {
		plan.Closing = &Closing{Kind: []string{"kill_all", "power_off_all", "wipe_after_ack"}[draw-1], Down: 0.5 + random.Float64()}
	}
	return plan
}

// hardFaults are the losses of core machines that hard days request one after another. Each takes
// place as soon as the site's fault budget allows it.
var hardFaults = []Fault{
	{
		Kind:   "replace_core",
		Factor: 0.2,
		How:    "leader",
	}, {
		Kind:   "replace_core",
		Factor: 0.2,
		How:    "planned",
	}, {Kind: "replace_core", Factor: 0.2, How: "leader planned"}, {Kind: "replace_core", Factor: 1},
	{Kind: "after_ack_wipe", For: 1}, {Kind: "after_ack_kill", For: 1}, {
		Kind:  "node_kill",
		On:    "core",
		Count: 1,
		For:   2,
		How:   "leader",
	}, {Kind: "node_freeze", On: "core", For: 2},
	{Kind: "herd_kill", On: "core", For: 1}, {Kind: "zone_loss", For: 1},
}

// Parameters of a hard day. Lengths and moments are in seconds. One in longDayOneIn hard days is
// long.
const (
	hardLength     = 60
	longHardLength = 90
	longDayOneIn   = 6
	hardLosses     = 7
	firstLossAt    = 3.0
	lossGap        = 0.1
)

// DrawHardPlan draws a day with many simultaneous faults: rapid and conflicting configuration changes
// from the start, several losses of core machines requested lossGap apart, a rolling restart
// during which all processes reload their settings, and three of the usual faults. The same seed
// gives the same day.
func DrawHardPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 23))
	plan := Plan{Name: fmt.Sprintf("hard-%d", seed), Seed: seed, Length: hardLength}
	if random.IntN(longDayOneIn) == 0 {
		plan.Length = longHardLength
	}
	plan.Faults = []Fault{{
		Kind: "config_storm",
		At:   1.5,
		For:  plan.Length * 0.8,
		Gap:  0.3 + random.Float64()/2,
	}, {Kind: "config_race", At: 5, Count: 4, Gap: 2}}
	for number := range hardLosses {
		loss := hardFaults[random.IntN(len(hardFaults))]
		loss.At = firstLossAt + lossGap*float64(number)
		plan.Faults = append(plan.Faults, loss)
	}
	rollingRestartAt := plan.Length * (0.6 + random.Float64()/10)
	plan.Faults = append(plan.Faults, Fault{
		Kind:  "roll_term",
		At:    rollingRestartAt,
		Share: 1,
		Gap:   0.8,
	}, Fault{Kind: "hup", At: rollingRestartAt + 4, Share: 1})
	for _, position := range random.Perm(len(usualFaults))[:3] {
		other := usualFaults[position]
		other.At = 5 + random.Float64()*plan.Length/2
		plan.Faults = append(plan.Faults, other)
	}
	slices.SortStableFunc(plan.Faults, func(left, right Fault) int { return cmp.Compare(left.At, right.At) })
	plan.Closing = &Closing{Kind: []string{"kill_all", "power_off_all", "wipe_after_ack"}[random.IntN(3)], Down: 1}
	return plan
}

// Text returns a plan as a day file, so that the day can be repeated.
func (p Plan) Text() (string, error) {
	text, err := toml.Marshal(p)
	return string(text), failure.Wrap(failure.Malformed, err)
}

// Title lists the faults of a day in one line.
func (p Plan) Title() string {
	var names []string
	for _, fault := range p.Faults {
		names = append(names, strings.TrimSpace(fault.Kind+" "+fault.On+" "+fault.How))
	}
	title := strings.Join(names, ", ")
	if p.Closing != nil {
		title += "; closing " + p.Closing.Kind
	}
	return title
}
