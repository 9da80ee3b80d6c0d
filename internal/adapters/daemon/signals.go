package daemon

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Signals are those that a process acts on. They are caught from its very start to its
// very end: their default effect would end a process that still starts, or that still
// serves what is under way after it was told to end.
type Signals struct {
	caught chan os.Signal
}

// CatchSignals is called first of all.
func CatchSignals() *Signals {
	signals := &Signals{caught: make(chan os.Signal, 8)}
	signal.Notify(signals.caught, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// filePollInterval is the time between two looks at a settings file.
const filePollInterval = 3 * time.Second

// Wait handles signals until the process is to end: SIGHUP reloads, SIGTERM and
// SIGINT return true. A settings file, if one is named, is also looked at now and
// then, and a change of it reloads. It returns false when the process ended by
// itself. What is caught after that has no effect: the process ends within its grace.
func (s *Signals) Wait(dead <-chan struct{}, file string, reload func()) bool {
	var polls <-chan time.Time
	seen := statFile(file)
	if file != "" {
		ticker := time.NewTicker(filePollInterval)
		defer ticker.Stop()
		polls = ticker.C
	}
	for {
		select {
		case <-dead:
			return false
		case caught := <-s.caught:
			if caught != syscall.SIGHUP {
				return true
			}
			seen = statFile(file)
			reload()
		case <-polls:
			if found := statFile(file); found != seen && found != (fileState{}) {
				seen = found
				reload()
			}
		}
	}
}

// fileState tells one content of a file from another, as far as its folder says.
type fileState struct {
	changed time.Time
	size    int64
}

func statFile(file string) fileState {
	if file == "" {
		return fileState{}
	}
	found, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{changed: found.ModTime(), size: found.Size()}
}

// Wait is Signals.Wait for a process that has no settings file to look at.
func Wait(dead <-chan struct{}, reload func()) bool {
	return CatchSignals().Wait(dead, "", reload)
}
