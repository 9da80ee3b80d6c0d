package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// NodeProcess is a router or controller that runs as a separate process.
type NodeProcess struct {
	Node     membership.Node
	binary   string
	folder   string
	settings map[string]any
	// scripted means that the node runs as a command of the testbed program, whose disk and
	// clock follow the faults file.
	scripted bool

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// probeClient is the HTTP client for short calls to nodes.
var probeClient = &http.Client{Timeout: 700 * time.Millisecond}

// Begin writes the settings file and starts the process, whose output goes to a log file.
func (n *NodeProcess) Begin() error {
	if err := n.WriteSettings(); err != nil {
		return err
	}
	settingsPath := n.settingsPath()
	logFile, err := os.OpenFile(n.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	command := exec.Command(n.binary, "serve", "--settings", settingsPath)
	if n.scripted {
		command = exec.Command(filepath.Join(filepath.Dir(n.binary), "testbed"), "script-"+ProgramName(n.Node.Kind),
			"--settings", settingsPath, "--faults", n.faultsPath())
	}
	command.Stdout, command.Stderr = logFile, logFile
	// The kernel kills the node when the test process ends, even if that crashes.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return failure.Wrap(failure.Unreachable, err)
	}
	ended := make(chan struct{})
	n.mutex.Lock()
	n.command, n.ended = command, ended
	n.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

func (n *NodeProcess) settingsPath() string {
	return filepath.Join(n.folder, n.Node.Name+".json")
}

// WriteSettings writes the settings file. A running process reloads it on SIGHUP.
func (n *NodeProcess) WriteSettings() error {
	text, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return failure.Wrap(failure.Malformed, err)
	}
	return failure.Wrap(failure.Disk, os.WriteFile(n.settingsPath(), text, 0o644))
}

// LogPath returns the path of the process's log file.
func (n *NodeProcess) LogPath() string {
	return filepath.Join(n.folder, n.Node.Name+".log")
}

func (n *NodeProcess) faultsPath() string {
	return filepath.Join(n.folder, n.Node.Name+".faults")
}

// SetFaults sets the faults of a scripted node's disk and clock.
func (n *NodeProcess) SetFaults(faults NodeFaults) error { return faults.Write(n.faultsPath()) }

// Running reports whether the process was started and has not ended.
func (n *NodeProcess) Running() bool {
	_, ended := n.current()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// current returns the process that was started last and a channel that is closed when the process
// ends. If no process was started, the channel is closed already.
func (n *NodeProcess) current() (*exec.Cmd, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ended == nil {
		notStarted := make(chan struct{})
		close(notStarted)
		return nil, notStarted
	}
	return n.command, n.ended
}

// Signal sends the process a signal.
func (n *NodeProcess) Signal(signal syscall.Signal) {
	if command, _ := n.current(); n.Running() {
		_ = command.Process.Signal(signal)
	}
}

// ProcessID returns the process id of the running process, or zero.
func (n *NodeProcess) ProcessID() int {
	if command, _ := n.current(); n.Running() {
		return command.Process.Pid
	}
	return 0
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (n *NodeProcess) Kill() {
	if command, ended := n.current(); n.Running() {
		_ = command.Process.Kill()
		<-ended
	}
}

// Stop asks the process to drain and waits for its end. If the process has not ended when the
// timeout passes, Stop kills it and returns false.
func (n *NodeProcess) Stop(timeout time.Duration) bool {
	if !n.Running() {
		return true
	}
	command, ended := n.current()
	_ = command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		n.Kill()
		return false
	}
}

// WipeDisk removes the data folder. The process must have ended.
func (n *NodeProcess) WipeDisk() error {
	folder, found := n.settings["data_folder"].(string)
	if !found || !strings.HasPrefix(folder, n.folder) {
		return failure.New(failure.Missing, "the node has no data folder")
	}
	return failure.Wrap(failure.Disk, os.RemoveAll(folder))
}

// Set changes a setting for the next start.
func (n *NodeProcess) Set(name string, value any) { n.settings[name] = value }

// Ready reports whether the process answers that it is ready.
func (n *NodeProcess) Ready() bool {
	inbound, err := probeClient.Get("http://" + n.Node.Address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = inbound.Body.Close()
	return inbound.StatusCode == http.StatusOK
}

// ReadJSON gets a path from the process, decodes the JSON answer into target, and returns
// the HTTP status.
func (n *NodeProcess) ReadJSON(path string, target any) (int, error) {
	inbound, err := probeClient.Get("http://" + n.Node.Address + path)
	if err != nil {
		return 0, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	return inbound.StatusCode, failure.Wrap(failure.Garbage, json.NewDecoder(inbound.Body).Decode(target))
}

// Metric reads the value of one of the process's metrics, or -1 if it can't be read. A response that broke off
// gives no value, since it may have ended within a number.
func (n *NodeProcess) Metric(name string) int {
	inbound, err := probeClient.Get("http://" + n.Node.Address + "/v1/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = inbound.Body.Close() }()
	text, err := io.ReadAll(inbound.Body)
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), name+" "); found {
			number, err := strconv.Atoi(value)
			if err == nil {
				return number
			}
		}
	}
	return -1
}

// ProgramName returns the name of the program that runs nodes of a kind. It differs from the
// value of kind, which is the kind's name in messages and on disk.
func ProgramName(kind membership.NodeKind) string {
	if kind == membership.Controller {
		return "controller"
	}
	return "router"
}

// Program returns the path of the program for a kind of node in a folder of binaries. In
// older releases the program's name was the value of kind.
func Program(folder string, kind membership.NodeKind) string {
	program := filepath.Join(folder, ProgramName(kind))
	if _, err := os.Stat(program); err == nil {
		return program
	}
	former := filepath.Join(folder, string(kind))
	if _, err := os.Stat(former); err == nil {
		return former
	}
	return program
}
