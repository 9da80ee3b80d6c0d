package controller

import (
	"net/http"

	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// flagStatuses returns the status of every feature flag that this build knows, given the primary's current term and
// state.
func (p *Process) flagStatuses(term *controlplane.Term, state *replication.State) []flagStatus {
	now := p.clock.Now()
	liveLeases := term.RouterLeases.Live(now)
	unstable := p.controller.MembersUnstable(term)
	var statuses []flagStatus
	for _, description := range features.Descriptions() {
		status := flagStatus{
			Description: description, Enabled: state.Flags.Enabled.Has(description.Name), MembersWithout: state.MembersWithout(description.Name)}
		for _, name := range status.MembersWithout {
			if _, running := liveLeases[name]; !running && state.Members[name].Kind == membership.Router {
				status.Stopped = append(status.Stopped, name)
			}
		}
		switch {
		case status.Enabled:
			status.Reason = "enabled: nodes write the new format; it is never disabled"
		case len(status.MembersWithout) > 0:
			status.Reason = "not enabled: the members in \"lacking\" do not support it; upgrade them, or retire those that will not come back"
		case unstable:
			status.Unstable = true
			status.Reason = "not enabled yet: the members changed a moment ago"
		default:
			status.Reason = "not enabled yet: the primary does so at its next round"
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// getFlags responds with the status of all flags, or of the flag that the query names.
func (p *Process) getFlags(writer http.ResponseWriter, inbound *http.Request) {
	term, _, state, ok := p.readState(writer)
	if !ok {
		return
	}
	statuses := p.flagStatuses(term, state)
	name := inbound.URL.Query().Get("name")
	if name == "" {
		writeJSON(writer, http.StatusOK, map[string]any{"flags": statuses})
		return
	}
	for _, status := range statuses {
		if string(status.Name) == name {
			writeJSON(writer, http.StatusOK, status)
			return
		}
	}
	writeJSON(writer, http.StatusNotFound, changeResponse{Outcome: "not_accepted", Type: failure.NoSuch, Detail: "no flag " + name})
}
