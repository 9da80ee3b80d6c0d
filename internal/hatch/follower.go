package hatch

import (
	"sort"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
	"seamloom.example/seamloom/internal/window"
)

// Follower keeps one node up to date: it asks the primary with the versions that
// it has and is answered when there is news.
type Follower struct {
	turns   rota.Turns
	line    Hotline
	member  roster.Member
	inForce func() larder.Version
	take    func(News)

	mutex      sync.Mutex
	primary    string
	seeds      []string
	contacts   []string
	neighbours []string
	drawers    map[string]larder.Drawer
	charter    larder.Charter
	heard      time.Time
	dark       map[string]time.Time

	// provisional tells that a configuration may be taken from copies, unconfirmed is
	// the version of one that no primary has confirmed yet.
	provisional bool
	unconfirmed larder.Version

	lists, loads bool
	listMark     uint64
	loadsMark    uint64
	listing      roster.Listing
}

// News is one answer of the primary, as the node takes it.
type News struct {
	Asked   time.Time
	Answer  NewsAnswer
	Changed map[string]larder.Drawer
	// Provisional tells that the drawers are those of a copy and no primary's word.
	Provisional bool
	// Servers is the list as the primary has it, if it has one.
	Servers *Listed
	// Loads are the servers' reports, if there are newer ones.
	Loads []window.Load
}

// Listed is a list of servers and when it was read.
type Listed struct {
	At      time.Time
	Servers []roster.Server
}

const (
	// newsWait is how long the primary holds a question back without news.
	newsWait = 600 * time.Millisecond
	// loadsWait is that of a node that follows reports: a little longer than reports
	// come in calm times, so that each round needs one answer only.
	loadsWait = newsWait + 200*time.Millisecond
	// newsPatience is how long one question may take altogether.
	newsPatience = 1200 * time.Millisecond
	// searchPatience is how long each address may take while the primary is
	// looked for. It leaves room for a registration's sync.
	searchPatience = 500 * time.Millisecond
	// retryPause is the pause after a round in which nobody led.
	retryPause = 80 * time.Millisecond
	// darkTime is how long an address that did not answer is asked last.
	darkTime = 3 * time.Second
)

// NewFollower makes a follower for a member. Take is called for every answer,
// in turn.
//
// Example:
//
//	followed := hatch.NewFollower(turns, line, member, seeds, inForce, take)
func NewFollower(turns rota.Turns, line Hotline, member roster.Member, seeds []string, inForce func() larder.Version, take func(News)) *Follower {
	return &Follower{turns: turns, line: line, member: member, seeds: seeds, inForce: inForce, take: take,
		drawers: map[string]larder.Drawer{}, dark: map[string]time.Time{}}
}

// Follow chooses whether the list of servers and their reports are followed, too.
//
// Example:
//
//	followed.Follow(true, true)
func (follower *Follower) Follow(lists, loads bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.lists, follower.loads = lists, loads
}

// ForgetList has the primary tell its list of servers anew.
//
// Example:
//
//	followed.ForgetList()
func (follower *Follower) ForgetList() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.listMark = 0
}

// SetContacts gives the expediters' addresses that the platform lists, and the
// neighbours that may relay.
//
// Example:
//
//	followed.SetContacts(expediters, neighbours)
func (follower *Follower) SetContacts(contacts, neighbours []string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.contacts, follower.neighbours = contacts, neighbours
}

// SetSeeds exchanges the seeds, after a reload.
//
// Example:
//
//	followed.SetSeeds(chosen.Seeds)
func (follower *Follower) SetSeeds(seeds []string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.seeds = seeds
}

// Charter is the newest charter heard of.
//
// Example:
//
//	charter := followed.Charter()
func (follower *Follower) Charter() larder.Charter {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.charter
}

// Heard is when the primary answered last.
//
// Example:
//
//	silence := clock.Now().Sub(followed.Heard())
func (follower *Follower) Heard() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.heard
}

// Drawer is the newest content of a drawer that the node has.
//
// Example:
//
//	content := followed.Drawer(larder.OrdersDrawer).Content
func (follower *Follower) Drawer(name string) larder.Drawer {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.drawers[name]
}

// Run asks until the process ends.
//
// Example:
//
//	turns.Go(followed.Run)
func (follower *Follower) Run() {
	first := newSearch(follower.turns)
	for follower.turns.Alive() && follower.unled() {
		follower.look(first)
	}
	for follower.turns.Alive() {
		asked := follower.turns.Now()
		var answer NewsAnswer
		question, patience := follower.question()
		if failure := follower.Ask(NewsPath, question, &answer, patience, time.Time{}); failure == nil {
			follower.takeAnswer(asked, answer)
			continue
		}
		rota.Pause(follower.turns, retryPause)
	}
}

// question asks a primary that is known to hold it back until there is news;
// one that is still looked for is to answer at once, so that those who are dark
// cost little time.
func (follower *Follower) question() (NewsQuestion, time.Duration) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	have := map[string]larder.Version{}
	for name, drawer := range follower.drawers {
		have[name] = drawer.Version
	}
	question := NewsQuestion{Member: follower.member, Have: have, InForce: follower.inForce(), Deltas: true, Charter: follower.charter.Epoch,
		Lists: follower.lists, ListMark: follower.listMark, Loads: follower.loads, LoadsMark: follower.loadsMark}
	if follower.primary == "" || follower.heard.IsZero() {
		question.Provisional = follower.provisional && len(have) == 0
		return question, searchPatience
	}
	question.Patience = newsWait
	if follower.loads {
		question.Patience = loadsWait
	}
	return question, newsPatience
}

func (follower *Follower) takeAnswer(asked time.Time, answer NewsAnswer) {
	follower.mutex.Lock()
	for name, delta := range answer.Deltas {
		drawer, fits := delta.apply(follower.drawers[name])
		if !fits {
			// The next question asks for the whole; this answer's hold is not used.
			delete(follower.drawers, name)
			follower.mutex.Unlock()
			return
		}
		if answer.Drawers == nil {
			answer.Drawers = map[string]larder.Drawer{}
		}
		answer.Drawers[name] = drawer
	}
	for name, drawer := range answer.Drawers {
		if drawer.Version.Before(follower.drawers[name].Version) {
			// An older primary's word: versions never go back.
			follower.mutex.Unlock()
			return
		}
	}
	if have := follower.drawers[larder.MenuDrawer].Version; answer.Menu.Before(have) && have != follower.unconfirmed {
		follower.mutex.Unlock()
		return
	}
	for name, drawer := range answer.Drawers {
		follower.drawers[name] = drawer
	}
	follower.heard = follower.turns.Now()
	news := News{Asked: asked, Answer: answer, Changed: answer.Drawers}
	follower.takeLists(&news)
	follower.mutex.Unlock()
	follower.take(news)
}

// takeLists takes the list of servers and their reports out of an answer. The caller
// has the mutex. An age counts from the latest moment at which the question surely
// had not been answered yet, so that nothing is taken for younger than it is.
func (follower *Follower) takeLists(news *News) {
	told := news.Asked.Add(news.Answer.Held)
	if said := news.Answer.Servers; said != nil {
		at := told.Add(-said.Age)
		if said.Sent {
			follower.listing = roster.Listing{}
			follower.listing.Take(at, said.Servers)
			follower.listMark = said.Mark
		}
		if said.Mark == follower.listMark {
			follower.listing.Confirm(at)
			news.Servers = &Listed{At: at, Servers: follower.listing.Servers(at)}
		}
	}
	if said := news.Answer.Loads; said != nil && follower.loads {
		follower.loadsMark = said.Mark
		late := follower.turns.Now().Sub(told)
		for _, line := range said.Lines {
			news.Loads = append(news.Loads, line.load(late))
		}
	}
}

// leadsAnswer is the part that all answers of expediters have in common.
type leadsAnswer struct {
	Leads   bool           `msgpack:"leads"`
	Charter larder.Charter `msgpack:"charter"`
}

// Ask sends a message to the primary, wherever it is, or through a neighbour
// when it can't be reached. The answer must say whether its giver leads. Each
// address is given the patience; altogether it ends by a moment, if one is given.
//
// Example:
//
//	failure := followed.Ask(hatch.ClaimPath, question, &answer, time.Second, ends)
func (follower *Follower) Ask(path string, question, answer any, patience time.Duration, ends time.Time) error {
	body, failure := msgpack.Marshal(question)
	if failure != nil {
		return trouble.Wrap(trouble.Garbage, failure)
	}
	reply, failure := follower.AskRaw(path, body, patience, ends)
	if failure != nil && unheard(failure) {
		reply, failure = follower.viaNeighbour(path, body, patience, ends)
	}
	if failure != nil {
		return failure
	}
	return trouble.Wrap(trouble.Garbage, msgpack.Unmarshal(reply, answer))
}

// unheard tells whether a failure says only that no primary was reached, and
// not what the primary said.
func unheard(failure error) bool {
	switch trouble.KindOf(failure) {
	case trouble.Unreachable, trouble.Garbage, trouble.NoPrimary:
		return true
	}
	return false
}

// AskRaw sends an encoded message to the primary without a neighbour's help.
//
// Example:
//
//	reply, failure := followed.AskRaw(path, body, time.Second, time.Time{})
func (follower *Follower) AskRaw(path string, body []byte, patience time.Duration, ends time.Time) ([]byte, error) {
	asked := map[string]bool{}
	var last error = trouble.New(trouble.NoPrimary, "no expediter is known")
	for _, address := range follower.candidates() {
		for address != "" && !asked[address] && follower.turns.Alive() && follower.left(patience, ends) > 0 {
			asked[address] = true
			reply, failure := follower.line.CallRaw(address, path, body, follower.left(patience, ends))
			if failure != nil {
				last = failure
				if !unheard(failure) {
					return nil, failure
				}
				follower.forget(address)
				break
			}
			var said leadsAnswer
			if failure := msgpack.Unmarshal(reply, &said); failure != nil {
				last = trouble.Wrap(trouble.Garbage, failure)
				break
			}
			follower.learn(address, said)
			if said.Leads {
				return reply, nil
			}
			last = trouble.New(trouble.NoPrimary, "no expediter leads")
			address = said.Charter.Primary.Address
		}
	}
	return nil, last
}

func (follower *Follower) learn(address string, said leadsAnswer) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if said.Charter.Epoch > follower.charter.Epoch {
		follower.charter = said.Charter
	}
	if said.Leads {
		follower.primary = address
	} else if follower.primary == address {
		follower.primary = ""
	}
}

func (follower *Follower) forget(address string) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.dark[address] = follower.turns.Now()
	if follower.primary == address {
		follower.primary = ""
	}
}

func (follower *Follower) candidates() []string {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	candidates := []string{follower.primary, follower.charter.Primary.Address}
	for _, backup := range follower.charter.Backups() {
		candidates = append(candidates, backup.Address)
	}
	for _, seat := range follower.charter.Electors() {
		candidates = append(candidates, seat.Address)
	}
	candidates = append(candidates, follower.seeds...)
	candidates = append(candidates, follower.contacts...)
	// Who did not answer just now is asked after all others.
	sort.SliceStable(candidates, func(left, right int) bool {
		return !follower.isDark(candidates[left]) && follower.isDark(candidates[right])
	})
	return candidates
}

func (follower *Follower) isDark(address string) bool {
	since, found := follower.dark[address]
	return found && follower.turns.Now().Sub(since) < darkTime
}

// left is how long a call may take that is given so much patience and must end
// by a moment, if one is given.
func (follower *Follower) left(patience time.Duration, ends time.Time) time.Duration {
	if ends.IsZero() {
		return patience
	}
	return min(patience, ends.Sub(follower.turns.Now()))
}

func (follower *Follower) viaNeighbour(path string, body []byte, patience time.Duration, ends time.Time) ([]byte, error) {
	follower.mutex.Lock()
	neighbours := append([]string(nil), follower.neighbours...)
	follower.mutex.Unlock()
	var last error = trouble.New(trouble.NoPrimary, "no neighbour is known")
	for _, address := range neighbours {
		if follower.left(patience, ends) <= 0 {
			break
		}
		var reply []byte
		failure := Call(follower.line, address, RelayPath, RelayQuestion{Path: path, Body: body}, &reply, follower.left(patience+200*time.Millisecond, ends))
		if failure == nil || !unheard(failure) {
			return reply, failure
		}
		last = failure
	}
	return nil, last
}

// Relay passes another node's message to the primary.
//
// Example:
//
//	reply, failure := followed.Relay(question)
func (follower *Follower) Relay(question RelayQuestion) ([]byte, error) {
	switch question.Path {
	case NewsPath, ClaimPath, OrdersPath:
		return follower.AskRaw(question.Path, question.Body, newsPatience, time.Time{})
	}
	return nil, trouble.New(trouble.NoSuch, "no such path to relay: "+question.Path)
}
