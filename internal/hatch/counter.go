package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

const (
	registerPatience = 1200 * time.Millisecond
	claimPatience    = 1200 * time.Millisecond
	// mostUpdateWait bounds how long a question is held back.
	mostUpdateWait = 2 * time.Second
)

// Answers is what the expediter answers on the hotline.
func (controller *Controller) Answers() Answers { return controller.answers }

func (controller *Controller) table() Answers {
	return Answers{
		HelloPath: answering(func(hello replication.Hello) (replication.Hello, error) {
			return controller.coordinator.Greet(hello), nil
		}),
		PreparePath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := controller.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return controller.witness.Prepare(controller.runtime.Now(), question.Epoch, question.From)
		}),
		AcceptPath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := controller.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return controller.witness.Accept(controller.runtime.Now(), question.Membership)
		}),
		ConfirmPath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := controller.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return controller.witness.Confirm(controller.runtime.Now(), question.Epoch, question.From), nil
		}),
		ReplicatePath: answering(func(question replicateQuestion) (nothing, error) {
			if err := controller.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, controller.store.Replicate(question.Epoch, question.Batch)
		}),
		InstallPath: answering(func(question installQuestion) (nothing, error) {
			if err := controller.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, controller.store.Install(question.Snapshot)
		}),
		RefreshPath: answering(func(question installQuestion) (nothing, error) {
			if err := controller.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, controller.store.Refresh(question.Snapshot)
		}),
		UpdatePath: answering(controller.answerUpdate),
		ClaimPath: answering(func(question ClaimQuestion) (LedAnswer, error) {
			return controller.led(replication.Claim(question.Made, question.Entry))
		}),
		OrdersPath: answering(func(question OrdersQuestion) (LedAnswer, error) {
			return controller.led(replication.GiveOrders(question.Role, question.Orders, question.Supported))
		}),
	}
}

// mine guards against messages for another disk at the same address.
func (controller *Controller) mine(identity replication.Identity) error {
	if own := controller.witness.Replica().Identity; identity != own {
		return failure.New(failure.NotAdmitted, "another disk is at this address now")
	}
	return nil
}

// led carries out a node's change if this expediter is primary.
func (controller *Controller) led(change replication.Change) (LedAnswer, error) {
	if _, _, err := controller.Ruling(); err != nil {
		return LedAnswer{Membership: controller.coordinator.Membership()}, nil
	}
	_, err := controller.submit(change, claimPatience)
	if failure.KindOf(err) == failure.NotPrimary {
		return LedAnswer{Membership: controller.coordinator.Membership()}, nil
	}
	return LedAnswer{Leads: true}, err
}

// followedSections are those that nodes follow.
var followedSections = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.OrdersSection}

// answerUpdate registers the node if needed, waits for news, and grants a hold
// for the configuration that the answer confirms.
func (controller *Controller) answerUpdate(question UpdateQuestion) (UpdateAnswer, error) {
	elsewhere := func() (UpdateAnswer, error) { return controller.elsewhere(question), nil }
	current, view, err := controller.Ruling()
	if err != nil {
		return elsewhere()
	}
	if question.Brief {
		return UpdateAnswer{Leads: true, Membership: controller.coordinator.Membership(), Configuration: view.VersionOf(replication.ConfigurationSection)}, nil
	}
	name := question.Member.Name
	router := question.Member.Kind == membership.Router
	arrived := controller.runtime.Now()
	controller.mutex.Lock()
	current.asked[name] = arrived
	controller.mutex.Unlock()
	if router {
		controller.lists.noteFailing(arrived, question)
		current.Holds.Note(arrived, name, question.InForce.Number)
		controller.confirmed.Broadcast()
	}
	state, err := controller.state(current, view)
	if err != nil {
		return UpdateAnswer{}, err
	}
	if recorded, found := state.Members[name]; !found || !recorded.Same(question.Member) {
		member := question.Member
		member.Since = controller.runtime.Wall()
		if _, err := controller.submit(replication.Register(member), registerPatience); err != nil {
			return UpdateAnswer{}, err
		}
	}
	for {
		if view = controller.awaitUpdate(question); view == nil {
			return elsewhere()
		}
		answer := UpdateAnswer{Leads: true, Membership: controller.coordinator.Membership(), Configuration: view.VersionOf(replication.ConfigurationSection), Sections: newer(view, question.Have)}
		answer.shorten(question, current)
		now := controller.runtime.Now()
		answer.Held = now.Sub(arrived)
		controller.lists.tell(now, question, &answer)
		if router {
			state, err := controller.state(current, view)
			if err != nil {
				return UpdateAnswer{}, err
			}
			// From here the courier may act for as long as the hold says,
			// counted from when it asked, which was earlier.
			current.Holds.Grant(now, name, question.InForce.Number)
			answer.Hold = lease.DefaultTerms().Hold
			answer.Roles = current.keys.Renew(now, name, state.Rota.Roles, current.candidates(now, state))
			answer.Routers = current.routers(now, state)
		}
		// The grant is noted before this look: a configuration committed since
		// is either seen here, or its change sees the grant and waits for it.
		latest := controller.store.View()
		if latest == nil || !controller.coordinator.Holds() {
			return elsewhere()
		}
		if latest.VersionOf(replication.ConfigurationSection) == answer.Configuration {
			if answer.Membership.Epoch <= question.Membership {
				answer.Membership = replication.Membership{}
			}
			controller.count(answer)
			return answer, nil
		}
	}
}

// shorten sends what changed of the configuration instead of all of it, if the
// node takes that and has a version that was shown here.
func (answer *UpdateAnswer) shorten(question UpdateQuestion, current *Term) {
	section, found := answer.Sections[replication.ConfigurationSection]
	if !found {
		return
	}
	delta, made := current.revisions.towards(section, question.Have[replication.ConfigurationSection])
	if !made || !question.Deltas {
		return
	}
	delete(answer.Sections, replication.ConfigurationSection)
	answer.Deltas = map[string]Delta{replication.ConfigurationSection: delta}
}

// count adds an answer's drawers to what news has cost.
func (controller *Controller) count(answer UpdateAnswer) {
	controller.updateAnswers.Add(1)
	for name, section := range answer.Sections {
		controller.updateBytes.Add(uint64(len(section.Content)))
		if name == replication.ConfigurationSection {
			controller.configurationsSent.Add(1)
		}
	}
	for _, delta := range answer.Deltas {
		controller.updateBytes.Add(uint64(len(delta.Middle)))
		controller.configurationsSent.Add(1)
	}
}

func newer(view *replication.View, have map[string]replication.Version) map[string]replication.Section {
	sections := map[string]replication.Section{}
	for _, name := range followedSections {
		section, found := view.Sections[name]
		switch {
		case !found && name == replication.ConfigurationSection:
			// A fleet that was given no configuration has the empty one.
			section = replication.Section{Content: config.Empty().Text}
			if _, told := have[name]; told {
				continue
			}
		case !found:
			if _, told := have[name]; told {
				continue
			}
			section = replication.Section{}
		}
		if version, told := have[name]; !told || version.Before(section.Version) {
			sections[name] = section
		}
	}
	return sections
}

// newerMembership tells whether the membership has changed since the asker heard of it: who
// belongs to the core, and where, is to reach every node while it can. An older release
// does not tell what it has heard of, and is told with its next answer.
func (controller *Controller) newerMembership(question UpdateQuestion) bool {
	return question.Membership != 0 && controller.coordinator.Membership().Epoch > question.Membership
}

// awaitUpdate returns the view as soon as it has news for the question, or when
// its patience ends; nil when this expediter is not primary any more.
func (controller *Controller) awaitUpdate(question UpdateQuestion) *replication.View {
	var seen *replication.View
	controller.update.Wait(min(max(question.Patience, 0), mostUpdateWait), func() bool {
		_, view, err := controller.Ruling()
		if err != nil {
			seen = nil
			return true
		}
		seen = view
		return len(newer(view, question.Have)) > 0 || controller.lists.newer(question) || controller.newerMembership(question)
	})
	if !controller.runtime.Alive() {
		return nil
	}
	return seen
}
