package controller

import (
	"net/http"

	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

func (p *Process) flagStatuses(current *controlplane.Term, state *replication.State) []flagStatus {
	now := p.clock.Now()
	live := current.Grants.Live(now)
	settling := p.controller.MembersUnstable(current)
	var answers []flagStatus
	for _, description := range features.Descriptions() {
		answer := flagStatus{Description: description, Enabled: state.Flags.Enabled.Has(description.Name), Lacking: state.Lacking(description.Name)}
		for _, name := range answer.Lacking {
			if _, running := live[name]; !running && state.Members[name].Kind == membership.Router {
				answer.Stopped = append(answer.Stopped, name)
			}
		}
		switch {
		case answer.Enabled:
			answer.Why = "enabled: nodes write the new format; it is never disabled"
		case len(answer.Lacking) > 0:
			answer.Why = "not enabled: the members in \"lacking\" do not support it; upgrade them, or retire those that will not come back"
		case settling:
			answer.Settling = true
			answer.Why = "not enabled yet: the members changed a moment ago"
		default:
			answer.Why = "not enabled yet: the primary does so at its next round"
		}
		answers = append(answers, answer)
	}
	return answers
}

func (p *Process) getFlags(writer http.ResponseWriter, inbound *http.Request) {
	current, _, state, readable := p.readable(writer)
	if !readable {
		return
	}
	answers := p.flagStatuses(current, state)
	name := inbound.URL.Query().Get("name")
	if name == "" {
		writeJSON(writer, http.StatusOK, map[string]any{"flags": answers})
		return
	}
	for _, answer := range answers {
		if string(answer.Name) == name {
			writeJSON(writer, http.StatusOK, answer)
			return
		}
	}
	writeJSON(writer, http.StatusNotFound, changeResponse{Outcome: "not_accepted", Type: failure.NoSuch, Detail: "no flag " + name})
}
