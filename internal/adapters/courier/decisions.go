package courier

import (
	"context"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/adapters/expediter"
	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
)

// carryOut does one decision. What waits for others runs in its own thread and
// comes back as an event.
func (process *Process) carryOut(decision pass.Decision) {
	switch decision.Kind {
	case pass.SendPiece, pass.Finish, pass.PassOn:
		process.mutex.Lock()
		stream := process.streams[decision.ID]
		process.mutex.Unlock()
		if stream != nil {
			stream.put(decision)
		}
		if decision.Kind == pass.Finish {
			for run := 1; run <= decision.Run; run++ {
				process.endRun(decision.ID, run)
			}
		}
	case pass.ClaimInquiry:
		go process.claim(decision)
	case pass.DispatchPrefill:
		go process.prefill(process.beginRun(decision), decision)
	case pass.DispatchDecode:
		go process.decode(process.beginRun(decision), decision)
	case pass.Cancel:
		process.endRun(decision.ID, decision.Run)
		go func() {
			lifetime, end := context.WithTimeout(process.lifetime, time.Second)
			defer end()
			_ = process.stove.Cancel(lifetime, decision)
		}()
	case pass.NotePair:
		process.notePair(decision)
	case pass.NoteRetry:
		process.noteRetry(decision)
	case pass.GiveOrders:
		go process.giveOrders(decision)
	case pass.Command:
		go process.command(decision)
	}
}

// mayAct is asked just before the act.
func (process *Process) mayAct(decision pass.Decision) bool {
	return process.clock.Now().Before(decision.NotAfter)
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// beginRun makes the lifetime of a run's dispatch, which ends with its cancel.
func (process *Process) beginRun(decision pass.Decision) context.Context {
	lifetime, end := context.WithCancel(process.lifetime)
	process.mutex.Lock()
	defer process.mutex.Unlock()
	key := runKey(decision.ID, decision.Run)
	if earlier, found := process.running[key]; found {
		earlier()
	}
	process.running[key] = end
	return lifetime
}

func (process *Process) endRun(id string, run int) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if end, found := process.running[runKey(id, run)]; found {
		end()
		delete(process.running, runKey(id, run))
	}
}

func (process *Process) prefill(lifetime context.Context, decision pass.Decision) {
	event := pass.Event{Kind: pass.PrefillAnswered, ID: decision.ID, Run: decision.Run, Outcome: pass.NotStarted}
	if process.mayAct(decision) {
		event.Outcome, event.Handle, event.Detail = process.stove.Prefill(lifetime, decision)
	}
	process.logger.Debug("prefill_answered", "inquiry", decision.ID, "run", decision.Run, "server", decision.Server, "outcome", event.Outcome, "detail", event.Detail)
	process.apply(event)
}

func (process *Process) decode(lifetime context.Context, decision pass.Decision) {
	event := pass.Event{Kind: pass.DecodeEnded, ID: decision.ID, Run: decision.Run, Outcome: pass.NotStarted}
	if process.mayAct(decision) {
		event.Outcome, event.Piece, event.Detail = process.stove.Decode(lifetime, decision, func(piece int, text string) {
			process.apply(pass.Event{Kind: pass.PieceReceived, ID: decision.ID, Run: decision.Run, Piece: piece, Text: text})
		})
	}
	process.logger.Debug("decode_ended", "inquiry", decision.ID, "run", decision.Run, "server", decision.Server, "outcome", event.Outcome, "detail", event.Detail)
	process.apply(event)
}

func (process *Process) notePair(decision pass.Decision) {
	if process.core.Restricted() {
		return
	}
	record, failure := recipe.WritePair(*decision.Pair, process.chosen.Name, process.core.Enabled())
	if failure == nil {
		process.journal.append(record, true)
	}
}

func (process *Process) noteRetry(decision pass.Decision) {
	if process.core.Restricted() {
		return
	}
	record, failure := recipe.WriteEntry(recipe.RetryRecord, recipe.Entry{Inquiry: decision.ID, Courier: process.chosen.Name, Run: decision.Run, At: process.clock.Wall()})
	if failure == nil {
		process.journal.append(record, true)
	}
}

func (process *Process) giveOrders(decision pass.Decision) {
	if !process.mayAct(decision) || process.core.Restricted() {
		return
	}
	var answer expediter.LedAnswer
	failure := process.followed.Ask(process.lifetime, follower.OrdersPath, expediter.OrdersQuestion{Duty: decision.Duty, Orders: decision.Orders, Supported: process.supported}, &answer, time.Second)
	process.logger.Info("orders_given", "orders", decision.Orders, "trouble", failure)
}

func (process *Process) command(decision pass.Decision) {
	if !process.mayAct(decision) || process.core.Restricted() {
		return
	}
	// A command that is late is worse than none: it ends with the duty's hold.
	lifetime, end := context.WithTimeout(process.lifetime, min(time.Second, decision.NotAfter.Sub(process.clock.Now())))
	defer end()
	failure := process.stove.Command(lifetime, decision)
	process.logger.Info("commanded", "server", decision.Server, "part", decision.Part, "fence", decision.Duty.Fence, "trouble", failure)
}
