package expediter

import (
	"context"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/menu"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
)

// ClaimQuestion takes an inquiry id before its dispatch.
type ClaimQuestion struct {
	Made  time.Time    `msgpack:"made"`
	Entry recipe.Entry `msgpack:"entry"`
}

// OrdersQuestion gives orders under the parts duty.
type OrdersQuestion struct {
	Duty   rota.Duty      `msgpack:"duty"`
	Orders []recipe.Order `msgpack:"orders"`
	// Supported is the writer's own list.
	Supported recipe.List `msgpack:"supported"`
}

// LedAnswer says whether its giver leads, and nothing besides.
type LedAnswer struct {
	Leads   bool           `msgpack:"leads"`
	Charter larder.Charter `msgpack:"charter"`
}

const (
	registerPatience = 1200 * time.Millisecond
	claimPatience    = 1200 * time.Millisecond
)

func (process *Process) mux() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Post(helloPath), hotline.Answerer(func(_ context.Context, hello larder.Hello) (larder.Hello, error) {
		return process.steward.Greet(hello), nil
	}))
	mux.Handle(pat.Post(preparePath), process.keeperAnswerer(func(question keeperQuestion) (larder.Promise, error) {
		return process.keeper.Prepare(process.clock.Now(), question.Epoch, question.From)
	}))
	mux.Handle(pat.Post(acceptPath), process.keeperAnswerer(func(question keeperQuestion) (larder.Promise, error) {
		return process.keeper.Accept(process.clock.Now(), question.Charter)
	}))
	mux.Handle(pat.Post(confirmPath), process.keeperAnswerer(func(question keeperQuestion) (larder.Promise, error) {
		return process.keeper.Confirm(process.clock.Now(), question.Epoch, question.From), nil
	}))
	mux.Handle(pat.Post(replicatePath), hotline.Answerer(func(_ context.Context, question replicateQuestion) (nothing, error) {
		if failure := process.mine(question.To); failure != nil {
			return nothing{}, failure
		}
		return nothing{}, process.store.Replicate(question.Epoch, question.Batch)
	}))
	mux.Handle(pat.Post(installPath), hotline.Answerer(func(_ context.Context, question installQuestion) (nothing, error) {
		if failure := process.mine(question.To); failure != nil {
			return nothing{}, failure
		}
		return nothing{}, process.store.Install(question.Snapshot)
	}))
	mux.Handle(pat.Post(refreshPath), hotline.Answerer(func(_ context.Context, question installQuestion) (nothing, error) {
		if failure := process.mine(question.To); failure != nil {
			return nothing{}, failure
		}
		return nothing{}, process.store.Refresh(question.Snapshot)
	}))
	mux.Handle(pat.Post(follower.NewsPath), hotline.Answerer(process.answerNews))
	mux.Handle(pat.Post(follower.ClaimPath), hotline.Answerer(func(lifetime context.Context, question ClaimQuestion) (LedAnswer, error) {
		return process.led(lifetime, larder.Claim(question.Made, question.Entry), claimPatience)
	}))
	mux.Handle(pat.Post(follower.OrdersPath), hotline.Answerer(func(lifetime context.Context, question OrdersQuestion) (LedAnswer, error) {
		return process.led(lifetime, larder.GiveOrders(question.Duty, question.Orders, question.Supported), claimPatience)
	}))
	process.operatorRoutes(mux)
	return mux
}

// mine guards against messages for another disk at the same address.
func (process *Process) mine(identity larder.Identity) error {
	if own := process.keeper.Seat().Identity; identity != own {
		return trouble.New(trouble.NotAdmitted, "another disk is at this address now")
	}
	return nil
}

func (process *Process) keeperAnswerer(answer func(question keeperQuestion) (larder.Promise, error)) http.Handler {
	return hotline.Answerer(func(_ context.Context, question keeperQuestion) (larder.Promise, error) {
		if failure := process.mine(question.To); failure != nil {
			return larder.Promise{}, failure
		}
		return answer(question)
	})
}

// led carries out a node's change if this expediter is primary.
func (process *Process) led(lifetime context.Context, change larder.Change, patience time.Duration) (LedAnswer, error) {
	if _, _, failure := process.ruling(); failure != nil {
		return LedAnswer{Charter: process.steward.Charter()}, nil
	}
	_, failure := process.submit(lifetime, change, patience)
	if trouble.KindOf(failure) == trouble.NotPrimary {
		return LedAnswer{Charter: process.steward.Charter()}, nil
	}
	return LedAnswer{Leads: true}, failure
}

// followedDrawers are those that nodes follow.
var followedDrawers = []string{larder.MenuDrawer, larder.MembersDrawer, larder.FlagsDrawer, larder.OrdersDrawer}

// answerNews registers the node if needed, waits for news, and grants a hold
// for the configuration that the answer confirms.
func (process *Process) answerNews(lifetime context.Context, question follower.NewsQuestion) (follower.NewsAnswer, error) {
	current, view, failure := process.ruling()
	if failure != nil {
		return follower.NewsAnswer{Charter: process.steward.Charter()}, nil
	}
	name := question.Member.Name
	courier := question.Member.Kind == roster.Courier
	if courier {
		current.holds.Note(process.clock.Now(), name, question.InForce.Number)
		for _, duty := range question.Released {
			current.keys.Release(process.clock.Now(), duty)
		}
		process.confirmed.ring()
	}
	state, failure := process.state(current, view)
	if failure != nil {
		return follower.NewsAnswer{}, failure
	}
	if recorded, found := state.Members[name]; !found || !recorded.Same(question.Member) {
		member := question.Member
		member.Since = process.clock.Wall()
		if _, failure := process.submit(lifetime, larder.Register(member), registerPatience); failure != nil {
			return follower.NewsAnswer{}, failure
		}
	}
	for {
		view = process.awaitNews(lifetime, question)
		if view == nil {
			return follower.NewsAnswer{Charter: process.steward.Charter()}, nil
		}
		answer := follower.NewsAnswer{Leads: true, Charter: process.steward.Charter(), Menu: view.VersionOf(larder.MenuDrawer), Drawers: newer(view, question.Have)}
		if courier {
			state, failure := process.state(current, view)
			if failure != nil {
				return follower.NewsAnswer{}, failure
			}
			// From here the courier may act for as long as the hold says,
			// counted from when it asked, which was earlier.
			now := process.clock.Now()
			current.holds.Grant(now, name, question.InForce.Number)
			answer.Hold = rota.DefaultTerms().Hold
			answer.Duties = current.keys.Renew(now, name, state.Rota.Duties, candidates(now, current, state))
		}
		// The grant is noted before this look: a configuration committed since
		// is either seen here, or its change sees the grant and waits for it.
		latest := process.store.View()
		if latest != nil && latest.VersionOf(larder.MenuDrawer) != answer.Menu {
			continue
		}
		if latest == nil || !process.steward.Holds() {
			return follower.NewsAnswer{Charter: process.steward.Charter()}, nil
		}
		process.count(answer)
		return answer, nil
	}
}

// count adds an answer's drawers to what news has cost.
func (process *Process) count(answer follower.NewsAnswer) {
	process.newsAnswers.Add(1)
	for name, drawer := range answer.Drawers {
		process.newsBytes.Add(uint64(len(drawer.Content)))
		if name == larder.MenuDrawer {
			process.menusSent.Add(1)
		}
	}
}

func newer(view *larder.View, have map[string]larder.Version) map[string]larder.Drawer {
	drawers := map[string]larder.Drawer{}
	for _, name := range followedDrawers {
		drawer, found := view.Drawers[name]
		switch {
		case !found && name == larder.MenuDrawer:
			// A fleet that was given no configuration has the empty one.
			drawer = larder.Drawer{Content: menu.Empty().Text}
			if _, told := have[name]; told {
				continue
			}
		case !found:
			if _, told := have[name]; told {
				continue
			}
			drawer = larder.Drawer{}
		}
		if version, told := have[name]; !told || version.Before(drawer.Version) {
			drawers[name] = drawer
		}
	}
	return drawers
}

// awaitNews returns the view as soon as it has news for the question, or when
// its patience ends; nil when this expediter is not primary any more.
func (process *Process) awaitNews(lifetime context.Context, question follower.NewsQuestion) *larder.View {
	timer := time.NewTimer(min(max(question.Patience, 0), 2*time.Second))
	defer timer.Stop()
	for {
		rung := process.news.wait()
		_, view, failure := process.ruling()
		if failure != nil {
			return nil
		}
		if len(newer(view, question.Have)) > 0 {
			return view
		}
		select {
		case <-rung:
		case <-timer.C:
			return view
		case <-lifetime.Done():
			return nil
		case <-process.tomb.Dying():
			return nil
		}
	}
}
