package fleet

import (
	"bufio"
	"encoding/json"
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

// NodeProcess is one router or controller as a process of its own.
type NodeProcess struct {
	Node     membership.Node
	binary   string
	folder   string
	settings map[string]any
	scripted bool

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

var probe = &http.Client{Timeout: 700 * time.Millisecond}

// Begin starts the process with its settings file; its log goes to a file.
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
	// The node ends with the test, however that ends.
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

// WriteSettings writes the settings file, which a running process reads again
// at SIGHUP.
func (n *NodeProcess) WriteSettings() error {
	text, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return failure.Wrap(failure.Malformed, err)
	}
	return failure.Wrap(failure.Disk, os.WriteFile(n.settingsPath(), text, 0o644))
}

// LogPath is the file that the process logs to.
func (n *NodeProcess) LogPath() string {
	return filepath.Join(n.folder, n.Node.Name+".log")
}

func (n *NodeProcess) faultsPath() string {
	return filepath.Join(n.folder, n.Node.Name+".faults")
}

// SetFaults tells a staged node the faults of its disk and clock.
func (n *NodeProcess) SetFaults(faults NodeFaults) error { return faults.Write(n.faultsPath()) }

// Running tells whether the process has not ended.
func (n *NodeProcess) Running() bool {
	_, ended := n.present()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// present is the process that was begun last, and what is closed at its end.
func (n *NodeProcess) present() (*exec.Cmd, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ended == nil {
		never := make(chan struct{})
		close(never)
		return nil, never
	}
	return n.command, n.ended
}

// Signal sends the process a signal.
func (n *NodeProcess) Signal(signal syscall.Signal) {
	if command, _ := n.present(); n.Running() {
		_ = command.Process.Signal(signal)
	}
}

// Number is the running process's number, or zero.
func (n *NodeProcess) Number() int {
	if command, _ := n.present(); n.Running() {
		return command.Process.Pid
	}
	return 0
}

// Kill ends the process at once and waits until it is gone.
func (n *NodeProcess) Kill() {
	if command, ended := n.present(); n.Running() {
		_ = command.Process.Kill()
		<-ended
	}
}

// Stop asks the process to drain, and waits for its end.
func (n *NodeProcess) Stop(patience time.Duration) bool {
	if !n.Running() {
		return true
	}
	command, ended := n.present()
	_ = command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		n.Kill()
		return false
	}
}

// WipeDisk takes the whole data folder away; the process must have ended.
func (n *NodeProcess) WipeDisk() error {
	folder, found := n.settings["data_folder"].(string)
	if !found || !strings.HasPrefix(folder, n.folder) {
		return failure.New(failure.Missing, "the node has no disk")
	}
	return failure.Wrap(failure.Disk, os.RemoveAll(folder))
}

// Set changes a setting for the next start.
func (n *NodeProcess) Set(name string, value any) { n.settings[name] = value }

// Ready asks the process whether it is ready.
func (n *NodeProcess) Ready() bool {
	inbound, err := probe.Get("http://" + n.Node.Address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = inbound.Body.Close()
	return inbound.StatusCode == http.StatusOK
}

// ReadJSON reads one of the process's pages.
func (n *NodeProcess) ReadJSON(path string, target any) (int, error) {
	inbound, err := probe.Get("http://" + n.Node.Address + path)
	if err != nil {
		return 0, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	return inbound.StatusCode, failure.Wrap(failure.Garbage, json.NewDecoder(inbound.Body).Decode(target))
}

// Metric reads one of the process's metrics; -1 when it can't be had.
func (n *NodeProcess) Metric(name string) int {
	inbound, err := probe.Get("http://" + n.Node.Address + "/v1/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = inbound.Body.Close() }()
	lines := bufio.NewScanner(inbound.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			number, err := strconv.Atoi(value)
			if err == nil {
				return number
			}
		}
	}
	return -1
}

// ProgramName is the program that runs nodes of a kind. Kinds keep the names that they
// have on wires and on disk.
func ProgramName(kind membership.NodeKind) string {
	if kind == membership.Controller {
		return "controller"
	}
	return "router"
}

// Program is the path of the program for a kind of node in a folder of binaries. Releases
// before the programs were renamed called each by its kind.
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
