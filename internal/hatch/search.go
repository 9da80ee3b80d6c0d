package hatch

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/rota"
)

// search is a node's first look for the primary in its life: all known addresses are
// asked at once, since any of them may be dark.
type search struct {
	mutex   sync.Mutex
	bell    rota.Bell
	asking  map[string]*asking
	copies  copies
	leading *ledNews
	rounds  int
}

// asking is what is under way to one address.
type asking struct {
	calls int
	since time.Time
}

// ledNews is a primary's answer, and when it was asked for.
type ledNews struct {
	asked  time.Time
	answer NewsAnswer
}

const (
	// searchRound is how long one round waits for an answer that ends it.
	searchRound = 100 * time.Millisecond
	// askAgain is after how long an address that has not answered is asked once more: a
	// call to a machine without power hangs, also when it is back. No more than
	// mostAsking are under way to one address.
	askAgain   = 150 * time.Millisecond
	mostAsking = 3
	// viaRounds is after how many rounds in vain neighbours are asked to relay.
	viaRounds = 4
)

func newSearch(turns rota.Turns) *search {
	return &search{bell: turns.NewBell(), asking: map[string]*asking{}}
}

// begin notes that an address is asked, unless it was asked just now.
func (search *search) begin(address string, now time.Time) bool {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	if address == "" {
		return false
	}
	current := search.asking[address]
	if current == nil {
		current = &asking{}
		search.asking[address] = current
	}
	if current.calls > 0 && now.Sub(current.since) < askAgain || current.calls >= mostAsking {
		return false
	}
	current.calls++
	current.since = now
	return true
}

func (search *search) end(address string, asked, now time.Time, answer NewsAnswer, failure error) {
	search.mutex.Lock()
	search.asking[address].calls--
	switch {
	case failure != nil:
	case answer.Leads:
		search.leading = &ledNews{asked: asked, answer: answer}
	default:
		search.copies.note(address, now, answer)
	}
	search.mutex.Unlock()
	search.bell.Ring()
}

// take gives a primary's answer, if there is one, once.
func (search *search) take() *ledNews {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	leading := search.leading
	search.leading = nil
	return leading
}

func (search *search) choose(now time.Time) (string, larder.Version, bool) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.copies.choose(now)
}

// SetProvisional chooses whether a node without any configuration takes one from the
// copies while there is no primary.
//
// Example:
//
//	followed.SetProvisional(options.ServeWithoutHold > 0)
func (follower *Follower) SetProvisional(may bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.provisional = may
}

// lacks tells whether the node would take a provisional configuration now.
func (follower *Follower) lacks() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	_, has := follower.drawers[larder.MenuDrawer]
	return follower.provisional && !has
}

// unled tells whether no primary has answered in this life.
func (follower *Follower) unled() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.heard.IsZero()
}

// look makes one round of the search.
func (follower *Follower) look(search *search) {
	began := follower.turns.Now()
	search.rounds++
	question, patience := follower.question()
	for _, address := range follower.candidates() {
		if !search.begin(address, follower.turns.Now()) {
			continue
		}
		follower.turns.Go(func() {
			asked := follower.turns.Now()
			var answer NewsAnswer
			failure := Call(follower.line, address, NewsPath, question, &answer, patience)
			if failure == nil {
				follower.learn(address, leadsAnswer{Leads: answer.Leads, Charter: answer.Charter})
			}
			search.end(address, asked, follower.turns.Now(), answer, failure)
		})
	}
	search.bell.Wait(searchRound, func() bool {
		search.mutex.Lock()
		leads := search.leading != nil
		search.mutex.Unlock()
		if leads || !follower.lacks() {
			return leads
		}
		_, _, found := search.choose(follower.turns.Now())
		return found
	})
	if leading := search.take(); leading != nil {
		follower.takeAnswer(leading.asked, leading.answer)
		return
	}
	if follower.lacks() {
		if address, version, found := search.choose(follower.turns.Now()); found {
			follower.fetch(address, version)
		}
	}
	if search.rounds%viaRounds == 0 && follower.askNeighbours(question) {
		return
	}
	if left := retryPause - follower.turns.Now().Sub(began); left > 0 {
		rota.Pause(follower.turns, left)
	}
}

// askNeighbours has a neighbour that is known relay the question, and tells whether it
// was answered.
func (follower *Follower) askNeighbours(question NewsQuestion) bool {
	follower.mutex.Lock()
	known := len(follower.neighbours) > 0
	follower.mutex.Unlock()
	if !known {
		return false
	}
	asked := follower.turns.Now()
	question.Provisional = false
	var answer NewsAnswer
	if failure := follower.Ask(NewsPath, question, &answer, searchPatience, time.Time{}); failure != nil {
		return false
	}
	follower.takeAnswer(asked, answer)
	return true
}

// fetch takes the configuration of a version from the copy at an address. It gives no
// hold, and nothing is acknowledged by it.
func (follower *Follower) fetch(address string, version larder.Version) {
	question, patience := follower.question()
	question.Wanted = version
	asked := follower.turns.Now()
	var answer NewsAnswer
	if failure := Call(follower.line, address, NewsPath, question, &answer, patience); failure != nil {
		return
	}
	if answer.Leads {
		follower.learn(address, leadsAnswer{Leads: true, Charter: answer.Charter})
		follower.takeAnswer(asked, answer)
		return
	}
	if answer.Copy == nil || answer.Copy.Drawers[larder.MenuDrawer].Version != version {
		return
	}
	follower.mutex.Lock()
	if _, has := follower.drawers[larder.MenuDrawer]; has || !follower.provisional {
		follower.mutex.Unlock()
		return
	}
	// The primary need not send again what is the same; all else it tells itself.
	follower.drawers[larder.MenuDrawer] = answer.Copy.Drawers[larder.MenuDrawer]
	follower.unconfirmed = version
	news := News{Asked: asked, Answer: NewsAnswer{Servers: answer.Servers}, Changed: answer.Copy.Drawers, Provisional: true}
	follower.takeLists(&news)
	follower.mutex.Unlock()
	follower.take(news)
}
