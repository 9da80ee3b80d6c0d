package replay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// faultBodies are the troubles and the planned work of a day, by their kind.
var faultBodies = map[string]func(day *Day, lifetime context.Context, fault Fault){
	"burst": (*Day).burst, "srv_crash": (*Day).crashServers, "release": (*Day).release, "answer_lost": (*Day).loseAnswers, "garble": (*Day).garbleAnswers,
	"node_kill": (*Day).killMachines, "node_freeze": (*Day).freezeMachines, "roll_term": (*Day).roll, "herd_kill": (*Day).killHerd,
	"seed_turnover": (*Day).turnSeedsOver, "replace_core": (*Day).replaceCore, "after_ack_wipe": (*Day).wipeAfterAnswer, "after_ack_kill": (*Day).wipeAfterAnswer,
	"config_change": (*Day).changeOnce, "config_storm": (*Day).storm, "config_race": (*Day).race, "bad_config": (*Day).sendInvalid, "big_config": (*Day).growConfiguration,
	"kv_slow": (*Day).slowMoves, "handle_short": (*Day).lapseHandles, "evacuate": (*Day).evacuateZone,
	"zone_loss": (*Day).loseZone, "srv_flap": (*Day).flap, "srv_grey": (*Day).failInPart, "srv_lying_health": (*Day).lieAboutHealth, "retry_abuse": (*Day).abuseRetries,
	"hup": (*Day).reloadAll,
}

// closings are the kinds of closing faults.
var closings = map[string]func(day *Day, down time.Duration){
	"kill_all": (*Day).killAll, "power_off_all": (*Day).killAll, "wipe_after_ack": (*Day).wipeOne,
}

// FaultKinds lists the kinds of faults that a day may have.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultBodies)) }

// burst presses for a while.
func (day *Day) burst(lifetime context.Context, fault Fault) {
	day.Clients.press(fault.Class, fault.timesOr(2))
	sleep(lifetime, fault.lasts())
	day.Clients.press("", 1)
}

// drawn picks servers with the fault's own luck.
func (day *Day) drawn(fault Fault, share float64) []*modelServer {
	return day.ServerPool.draw(fault.Service, fault.shareOr(share), rand.New(rand.NewPCG(day.seed, uint64(fault.At*1000))))
}

// lastLines gives the end of a text.
func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
