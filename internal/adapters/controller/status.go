package controller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/quota"
	"seamloom.example/seamloom/internal/replication"
)

// getStatus responds with the state of the fleet as the primary knows it.
func (p *Process) getStatus(writer http.ResponseWriter, _ *http.Request) {
	term, view, state, ok := p.readState(writer)
	if !ok {
		return
	}
	now := p.clock.Now()
	liveLeases := term.RouterLeases.Live(now)
	core := p.controller.Coordinator().Membership()
	members := map[string]memberStatus{}
	for name, member := range state.Members {
		_, running := liveLeases[name]
		if member.Kind == membership.Controller {
			running = p.controller.Coordinator().HeardRecently(member.Address)
		}
		members[name] = memberStatus{Member: member, Running: running, Restricted: member.Restricted(state.Flags.Enabled)}
	}
	orders := map[string]codec.Order{}
	for server, record := range state.Orders.Records {
		if order, err := codec.DecodeOrder(record, p.controller.Supported()); err == nil {
			orders[server] = order
		}
	}
	batches, changes := p.controller.Store().CommitCounts()
	servers := p.controller.Servers()
	leaseAges := map[string]int64{}
	for name, age := range liveLeases {
		leaseAges[name] = age.Milliseconds()
	}
	writeJSON(writer, http.StatusOK, map[string]any{
		"holds_live_milliseconds":    leaseAges,
		"servers":                    servers,
		"claims_horizon":             p.claimHorizon(view),
		"primary":                    core.Primary,
		"backup":                     core.Backup,
		"further_backups":            core.FurtherBackups,
		"keepers":                    core.Witnesses,
		"incoming_keepers":           core.Incoming,
		"epoch":                      core.Epoch,
		"version":                    view.Version.String(),
		"configuration_version":      view.VersionOf(replication.ConfigurationSection).String(),
		"members":                    members,
		"flags":                      p.flagStatuses(term, state),
		"duties":                     state.Roles.Roles,
		"orders":                     orders,
		"lagging":                    term.Lagging(now, view.VersionOf(replication.ConfigurationSection), state),
		"synced_batches":             batches,
		"answered_changes":           changes,
		"primary_since_milliseconds": now.Sub(term.Since).Milliseconds(),
	})
}

// claimHorizon returns the time before which claims are no longer stored; zero if that time cannot be decoded.
func (p *Process) claimHorizon(view *replication.View) time.Time {
	state, err := replication.ReadState(map[string]replication.Section{replication.HorizonSection: view.Sections[replication.HorizonSection]})
	if err != nil {
		return time.Time{}
	}
	return state.Horizon
}

// getReady reports a controller as ready if it has applied a response of a primary within the last three seconds.
func (p *Process) getReady(writer http.ResponseWriter, _ *http.Request) {
	sinceLastResponse := p.clock.Now().Sub(p.controller.LastUpdateAt())
	status := http.StatusOK
	if sinceLastResponse > 3*time.Second {
		status = http.StatusServiceUnavailable
	}
	coordinator := p.controller.Coordinator()
	content := map[string]any{
		"ready":    status == http.StatusOK,
		"leads":    coordinator.HasLease(),
		"identity": p.controller.Witness().Replica().Identity,
		"epoch":    coordinator.Membership().Epoch,
	}
	if wait, silent := p.controller.WaitingFor(); wait != replication.CoreKnown {
		content["waiting_for"], content["silent_seeds"] = wait, silent
	}
	writeJSON(writer, status, content)
}

// tenantsStatus is the response of one witness: the tenants' quotas as this witness has recorded them, and the
// witnesses that it knows.
type tenantsStatus struct {
	Identity  replication.Identity  `json:"identity"`
	Epoch     uint64                `json:"epoch"`
	Witnesses []replication.Replica `json:"witnesses"`
	Incoming  []replication.Replica `json:"incoming,omitempty"`
	Tenants   []quota.Status        `json:"tenants"`
}

// getTenants responds with the quotas that this controller has recorded as a witness, whether or not it is
// primary.
func (p *Process) getTenants(writer http.ResponseWriter, _ *http.Request) {
	witness := p.controller.Witness()
	accepted := witness.AcceptedMembership()
	writeJSON(writer, http.StatusOK, tenantsStatus{
		Identity: witness.Replica().Identity, Epoch: accepted.Epoch, Witnesses: accepted.Witnesses,
		Incoming: accepted.Incoming, Tenants: p.controller.Quotas()})
}

// getMetrics writes the controller's metrics in the text format of Prometheus.
func (p *Process) getMetrics(writer http.ResponseWriter, _ *http.Request) {
	batches, changes := p.controller.Store().CommitCounts()
	leads := 0
	if p.controller.Coordinator().HasLease() {
		leads = 1
	}
	version := p.controller.Store().LocalReplica().Version()
	responses, bytesSent, configurations := p.controller.UpdateCounts()
	sent := p.controller.UpdateBytes()
	waiting := 0
	if wait, _ := p.controller.WaitingFor(); wait != replication.CoreKnown {
		waiting = 1
	}
	damaged := 0
	if p.controller.Store().LocalReplica().Damage() != "" {
		damaged = 1
	}
	edits := p.controller.ChangeCounts()
	milliseconds := func(duration time.Duration) uint64 { return uint64(duration.Milliseconds()) }
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, metric := range []struct {
		name  string
		value uint64
	}{{"seamloom_edits_accepted_total", edits.Accepted}, {"seamloom_edits_unconfirmed_total", edits.Unconfirmed},
		{"seamloom_edits_unknown_total", edits.Unknown},
		{`seamloom_edit_phase_milliseconds_total{phase="preparation"}`, milliseconds(edits.Preparation)},
		{`seamloom_edit_phase_milliseconds_total{phase="commit"}`, milliseconds(edits.Commit)},
		{`seamloom_edit_phase_milliseconds_total{phase="own_disk"}`, milliseconds(edits.OwnDisk)},
		{`seamloom_edit_phase_milliseconds_total{phase="slowest_backup"}`, milliseconds(edits.SlowestBackup)},
		{`seamloom_edit_phase_milliseconds_total{phase="confirmation"}`, milliseconds(edits.Confirmation)},
		{"seamloom_leads", uint64(leads)},
		{"seamloom_epoch", p.controller.Coordinator().Membership().Epoch},
		{"seamloom_copy_number", version.Number},
		{"seamloom_copy_damaged", uint64(damaged)}, {"seamloom_synced_batches_total", batches}, {"seamloom_answered_changes_total", changes},
		{"seamloom_news_answers_total", responses}, {"seamloom_news_drawer_bytes_total", bytesSent},
		{"seamloom_configurations_sent_total", configurations}, {"seamloom_waiting_for_core", uint64(waiting)},
		{`seamloom_update_bytes_total{kind="servers"}`, sent.Servers}, {`seamloom_update_bytes_total{kind="loads"}`, sent.Loads},
		{`seamloom_update_bytes_total{kind="configuration"}`, sent.Configuration},
		{`seamloom_update_bytes_total{kind="other"}`, sent.OtherSections}} {
		_, _ = io.WriteString(writer, metric.name+" "+strconv.FormatUint(metric.value, 10)+"\n")
	}
	writeTenantMetrics(writer, p.controller.Quotas())
}

// writeTenantMetrics writes how many tokens this witness has granted and refused: individually for the first
// quota.MaxCounted tenants, and as a sum for the others.
func writeTenantMetrics(target io.Writer, statuses []quota.Status) {
	others := quota.Status{Subject: quota.OtherSubjects}
	for i, status := range statuses {
		if i >= quota.MaxCounted {
			others.Granted += status.Granted
			others.Refused += status.Refused
			continue
		}
		writeTenantMetric(target, status)
	}
	writeTenantMetric(target, others)
}

// writeTenantMetric writes how many tokens were granted and refused: for one tenant, or for the sum of the others.
func writeTenantMetric(target io.Writer, status quota.Status) {
	_, _ = fmt.Fprintf(target, "seamloom_tenant_tokens_total{tenant=%q,outcome=\"granted\"} %d\n", status.Subject, status.Granted)
	_, _ = fmt.Fprintf(target, "seamloom_tenant_tokens_total{tenant=%q,outcome=\"refused\"} %d\n", status.Subject, status.Refused)
}
