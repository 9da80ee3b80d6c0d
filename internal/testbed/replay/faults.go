package replay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// faultActions carry out the faults and the planned work of a day, by kind.
var faultActions = map[string]func(day *Day, lifetime context.Context, fault Fault){
	"burst": (*Day).burst, "srv_crash": (*Day).crashServers, "release": (*Day).release,
	"answer_lost": (*Day).loseAnswers, "garble": (*Day).corruptAnswers,
	"node_kill": (*Day).killMachines, "node_freeze": (*Day).freezeMachines, "roll_term": (*Day).rollingRestart, "herd_kill": (*Day).killMany,
	"seed_turnover": (*Day).rotateSeeds, "replace_core": (*Day).replaceCore,
	"after_ack_wipe": (*Day).restartAfterAck, "after_ack_kill": (*Day).restartAfterAck,
	"config_change": (*Day).changeOnce, "config_storm": (*Day).changeStorm, "config_race": (*Day).raceChanges,
	"bad_config": (*Day).sendInvalid, "big_config": (*Day).growConfiguration,
	"kv_slow": (*Day).slowTransfers, "handle_short": (*Day).expireHandles, "evacuate": (*Day).evacuateZone,
	"zone_loss": (*Day).loseZone, "srv_flap": (*Day).flap, "srv_grey": (*Day).failSomeRequests,
	"srv_lying_health": (*Day).invertHealth, "retry_abuse": (*Day).abuseRetries,
	"hup": (*Day).reloadAll,
}

// closingFaults carry out the faults at the end of a day, by kind. They kill all processes and start
// them again after the downtime.
var closingFaults = map[string]func(day *Day, downtime time.Duration){
	"kill_all": (*Day).killAll, "power_off_all": (*Day).killAll, "wipe_after_ack": (*Day).killAllWipeOne,
}

// FaultKinds lists the kinds of faults that a day may have.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultActions)) }

// burst multiplies the traffic of a class of requests for a while.
func (day *Day) burst(lifetime context.Context, fault Fault) {
	day.Clients.setLoad(fault.Class, fault.factorOr(2))
	sleep(lifetime, fault.duration())
	day.Clients.setLoad("", 1)
}

// drawServers picks random servers for a fault. The choice depends only on the day's seed, the
// moment of the fault, and the servers that are running.
func (day *Day) drawServers(fault Fault, share float64) []*modelServer {
	return day.ServerPool.draw(fault.Service, fault.shareOr(share), rand.New(rand.NewPCG(day.seed, uint64(fault.At*1000))))
}

// lastLines returns the last lines of a text.
func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
