package replay

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// process is one role on one machine. When it ends by itself it is started again.
type process struct {
	machine *Machine
	role    Role

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool
}

// restartsAfter is the pause before a process that ended by itself is started again.
const restartsAfter = 300 * time.Millisecond

func (process *process) start() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.wanted = true
	if process.running() {
		return nil
	}
	return process.launch()
}

// running tells whether the program that was begun last has not ended: two troubles of one
// machine may both bring it up again.
func (process *process) running() bool {
	if process.ended == nil {
		return false
	}
	select {
	case <-process.ended:
		return false
	default:
		return true
	}
}

// launch begins the program with its settings of this moment.
func (process *process) launch() error {
	path, err := process.machine.write(process.role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(process.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	words := process.role.words()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{settingsName + "=" + path}
	for _, name := range []string{"PATH", "HOME", "LANG", "GORACE"} {
		command.Env = append(command.Env, name+"="+os.Getenv(name))
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return failure.Wrap(failure.Unreachable, err)
	}
	ended := make(chan struct{})
	process.command, process.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
		process.mourn(command)
	}()
	return nil
}

// mourn starts a process again that ended though it was wanted.
func (process *process) mourn(command *exec.Cmd) {
	process.mutex.Lock()
	own := process.wanted && process.command == command
	process.mutex.Unlock()
	if !own {
		return
	}
	process.machine.day.Book.Note(Event{Kind: EndedByItself, Machine: process.machine.Name, Cause: process.role.Name + ": " + command.ProcessState.String()})
	if !pause(process.machine.day.lifetime, restartsAfter) {
		return
	}
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.wanted && process.command == command && !process.running() {
		_ = process.launch()
	}
}

func (process *process) log() string {
	return filepath.Join(process.machine.folder, process.role.Name+".log")
}

// logged reads what the process wrote.
func (process *process) logged() string {
	text, _ := os.ReadFile(process.log())
	return string(text)
}

// crashed tells whether the log holds a panic or a race.
func (process *process) crashed() bool {
	text := process.logged()
	return strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") || strings.Contains(text, "fatal error:")
}

// unwanted says that the process is to end, and gives what runs.
func (process *process) unwanted() (*exec.Cmd, chan struct{}) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.wanted = false
	return process.command, process.ended
}

func (process *process) kill() {
	command, ended := process.unwanted()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

func (process *process) stop(grace time.Duration) {
	command, ended := process.unwanted()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = command.Process.Kill()
		<-ended
	}
}

func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil {
		_ = process.command.Process.Signal(signal)
	}
}
