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
	// mostNewsWait bounds how long a question is held back.
	mostNewsWait = 2 * time.Second
)

// Answers is what the expediter answers on the hotline.
func (expediter *Expediter) Answers() Answers { return expediter.answers }

func (expediter *Expediter) table() Answers {
	return Answers{
		HelloPath: answering(func(hello replication.Hello) (replication.Hello, error) {
			return expediter.coordinator.Greet(hello), nil
		}),
		PreparePath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := expediter.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return expediter.witness.Prepare(expediter.turns.Now(), question.Epoch, question.From)
		}),
		AcceptPath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := expediter.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return expediter.witness.Accept(expediter.turns.Now(), question.Charter)
		}),
		ConfirmPath: answering(func(question keeperQuestion) (replication.Promise, error) {
			if err := expediter.mine(question.To); err != nil {
				return replication.Promise{}, err
			}
			return expediter.witness.Confirm(expediter.turns.Now(), question.Epoch, question.From), nil
		}),
		ReplicatePath: answering(func(question replicateQuestion) (nothing, error) {
			if err := expediter.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, expediter.store.Replicate(question.Epoch, question.Batch)
		}),
		InstallPath: answering(func(question installQuestion) (nothing, error) {
			if err := expediter.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, expediter.store.Install(question.Snapshot)
		}),
		RefreshPath: answering(func(question installQuestion) (nothing, error) {
			if err := expediter.mine(question.To); err != nil {
				return nothing{}, err
			}
			return nothing{}, expediter.store.Refresh(question.Snapshot)
		}),
		NewsPath: answering(expediter.answerNews),
		ClaimPath: answering(func(question ClaimQuestion) (LedAnswer, error) {
			return expediter.led(replication.Claim(question.Made, question.Entry))
		}),
		OrdersPath: answering(func(question OrdersQuestion) (LedAnswer, error) {
			return expediter.led(replication.GiveOrders(question.Duty, question.Orders, question.Supported))
		}),
	}
}

// mine guards against messages for another disk at the same address.
func (expediter *Expediter) mine(identity replication.Identity) error {
	if own := expediter.witness.Replica().Identity; identity != own {
		return failure.New(failure.NotAdmitted, "another disk is at this address now")
	}
	return nil
}

// led carries out a node's change if this expediter is primary.
func (expediter *Expediter) led(change replication.Change) (LedAnswer, error) {
	if _, _, err := expediter.Ruling(); err != nil {
		return LedAnswer{Charter: expediter.coordinator.Charter()}, nil
	}
	_, err := expediter.submit(change, claimPatience)
	if failure.KindOf(err) == failure.NotPrimary {
		return LedAnswer{Charter: expediter.coordinator.Charter()}, nil
	}
	return LedAnswer{Leads: true}, err
}

// followedDrawers are those that nodes follow.
var followedDrawers = []string{replication.ConfigurationSection, replication.MembersSection, replication.FlagsSection, replication.OrdersSection}

// answerNews registers the node if needed, waits for news, and grants a hold
// for the configuration that the answer confirms.
func (expediter *Expediter) answerNews(question NewsQuestion) (NewsAnswer, error) {
	elsewhere := func() (NewsAnswer, error) { return expediter.elsewhere(question), nil }
	current, view, err := expediter.Ruling()
	if err != nil {
		return elsewhere()
	}
	if question.Brief {
		return NewsAnswer{Leads: true, Charter: expediter.coordinator.Charter(), Menu: view.VersionOf(replication.ConfigurationSection)}, nil
	}
	name := question.Member.Name
	courier := question.Member.Kind == membership.Courier
	arrived := expediter.turns.Now()
	expediter.mutex.Lock()
	current.asked[name] = arrived
	expediter.mutex.Unlock()
	if courier {
		expediter.lists.noteFailing(arrived, question)
		current.Holds.Note(arrived, name, question.InForce.Number)
		expediter.confirmed.Broadcast()
	}
	state, err := expediter.state(current, view)
	if err != nil {
		return NewsAnswer{}, err
	}
	if recorded, found := state.Members[name]; !found || !recorded.Same(question.Member) {
		member := question.Member
		member.Since = expediter.turns.Wall()
		if _, err := expediter.submit(replication.Register(member), registerPatience); err != nil {
			return NewsAnswer{}, err
		}
	}
	for {
		if view = expediter.awaitNews(question); view == nil {
			return elsewhere()
		}
		answer := NewsAnswer{Leads: true, Charter: expediter.coordinator.Charter(), Menu: view.VersionOf(replication.ConfigurationSection), Drawers: newer(view, question.Have)}
		answer.shorten(question, current)
		now := expediter.turns.Now()
		answer.Held = now.Sub(arrived)
		expediter.lists.tell(now, question, &answer)
		if courier {
			state, err := expediter.state(current, view)
			if err != nil {
				return NewsAnswer{}, err
			}
			// From here the courier may act for as long as the hold says,
			// counted from when it asked, which was earlier.
			current.Holds.Grant(now, name, question.InForce.Number)
			answer.Hold = lease.DefaultTerms().Hold
			answer.Duties = current.keys.Renew(now, name, state.Rota.Duties, current.candidates(now, state))
			answer.Couriers = current.couriers(now, state)
		}
		// The grant is noted before this look: a configuration committed since
		// is either seen here, or its change sees the grant and waits for it.
		latest := expediter.store.View()
		if latest == nil || !expediter.coordinator.Holds() {
			return elsewhere()
		}
		if latest.VersionOf(replication.ConfigurationSection) == answer.Menu {
			if answer.Charter.Epoch <= question.Charter {
				answer.Charter = replication.Membership{}
			}
			expediter.count(answer)
			return answer, nil
		}
	}
}

// shorten sends what changed of the configuration instead of all of it, if the
// node takes that and has a version that was shown here.
func (answer *NewsAnswer) shorten(question NewsQuestion, current *Reign) {
	section, found := answer.Drawers[replication.ConfigurationSection]
	if !found {
		return
	}
	delta, made := current.editions.towards(section, question.Have[replication.ConfigurationSection])
	if !made || !question.Deltas {
		return
	}
	delete(answer.Drawers, replication.ConfigurationSection)
	answer.Deltas = map[string]Delta{replication.ConfigurationSection: delta}
}

// count adds an answer's drawers to what news has cost.
func (expediter *Expediter) count(answer NewsAnswer) {
	expediter.newsAnswers.Add(1)
	for name, section := range answer.Drawers {
		expediter.newsBytes.Add(uint64(len(section.Content)))
		if name == replication.ConfigurationSection {
			expediter.menusSent.Add(1)
		}
	}
	for _, delta := range answer.Deltas {
		expediter.newsBytes.Add(uint64(len(delta.Middle)))
		expediter.menusSent.Add(1)
	}
}

func newer(view *replication.View, have map[string]replication.Version) map[string]replication.Section {
	sections := map[string]replication.Section{}
	for _, name := range followedDrawers {
		section, found := view.Drawers[name]
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

// newerCharter tells whether the membership has changed since the asker heard of it: who
// belongs to the core, and where, is to reach every node while it can. An older release
// does not tell what it has heard of, and is told with its next answer.
func (expediter *Expediter) newerCharter(question NewsQuestion) bool {
	return question.Charter != 0 && expediter.coordinator.Charter().Epoch > question.Charter
}

// awaitNews returns the view as soon as it has news for the question, or when
// its patience ends; nil when this expediter is not primary any more.
func (expediter *Expediter) awaitNews(question NewsQuestion) *replication.View {
	var seen *replication.View
	expediter.news.Wait(min(max(question.Patience, 0), mostNewsWait), func() bool {
		_, view, err := expediter.Ruling()
		if err != nil {
			seen = nil
			return true
		}
		seen = view
		return len(newer(view, question.Have)) > 0 || expediter.lists.newer(question) || expediter.newerCharter(question)
	})
	if !expediter.turns.Alive() {
		return nil
	}
	return seen
}
