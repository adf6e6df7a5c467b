package cluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// readyLimit bounds the time from the start of a process until it listens.
	readyLimit = 10 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 10 * time.Millisecond
	// maxLogBytes bounds the part of a log that is printed for a failed test.
	maxLogBytes = 32 << 10
)

// Process is one program of the deployment. Its methods fail the test on errors.
type Process struct {
	Name    string
	Program string

	cluster   *Cluster
	settings  string // file
	logFile   string
	listeners []string
	endpoints []*endpoint
	later     bool // Cluster.Start leaves it out

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended; nil before the first start.
	ended chan struct{}
	// stopping says that the test ends the process.
	stopping bool
}

// Start starts the process and waits until it listens on all its addresses.
func (p *Process) Start() {
	p.cluster.t.Helper()
	if err := p.start(); err != nil {
		p.cluster.t.Fatalf("cluster: start %s: %v", p.Name, err)
	}
}

// Restart starts the process again after it has ended.
func (p *Process) Restart() {
	p.cluster.t.Helper()
	p.Start()
}

func (p *Process) start() error {
	if p.PID() != 0 {
		return errors.New("it is running")
	}
	cmd, err := p.cluster.command(p.Program, p.settings)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel ends the process with the thread that started it, so that none outlives a test that crashes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := Spawn(cmd); err != nil {
		return errors.Trace(err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.stopping = cmd, ended, false
	p.mu.Unlock()
	go p.watch(cmd, ended)
	return p.ready(ended)
}

// starts is served by one thread that lives as long as the test process; see Pdeathsig in start.
var starts = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range requests {
			f()
		}
	}()
	return requests
})

// Spawn starts a command that the kernel ends with this test process.
func Spawn(cmd *exec.Cmd) error {
	result := make(chan error)
	starts() <- func() { result <- cmd.Start() }
	return <-result
}

// watch waits for the end of the process. An end that the test did not ask for fails the test.
func (p *Process) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.closeEndpoints()
	p.mu.Lock()
	p.cmd = nil
	unexpected := !p.stopping
	p.mu.Unlock()
	if unexpected {
		p.cluster.unexpectedEnd(p, err)
	}
	close(ended)
}

// ready waits for the listeners and then opens the switchboard's endpoints.
func (p *Process) ready(ended <-chan struct{}) error {
	limit := time.Now().Add(readyLimit)
	for _, address := range p.listeners {
		for !listening(address) {
			select {
			case <-ended:
				return errors.New("it ended at once")
			case <-time.After(pollInterval):
			}
			if time.Now().After(limit) {
				return errors.Errorf("it does not listen on %s after %v", address, readyLimit)
			}
		}
	}
	for _, e := range p.endpoints {
		if err := p.cluster.open(e); err != nil {
			return errors.Trace(err)
		}
	}
	select {
	case <-ended:
		// watch may have closed the endpoints before they were opened.
		p.closeEndpoints()
	default:
	}
	return nil
}

func (p *Process) closeEndpoints() {
	for _, e := range p.endpoints {
		e.close()
	}
}

// PID returns the process id, or 0 when the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.cluster.t.Helper()
	p.end(syscall.SIGKILL, readyLimit)
}

// Terminate sends SIGTERM and waits up to limit for the end; a process that is still running then fails the test.
func (p *Process) Terminate(limit time.Duration) {
	p.cluster.t.Helper()
	p.end(syscall.SIGTERM, limit)
}

// freezeLimit bounds the time until a stopped process stands still; on a busy machine its threads have to
// be scheduled first.
const freezeLimit = 5 * time.Second

// freezePoll is the pause between two looks at the threads; tests measure times from the return of Freeze.
const freezePoll = time.Millisecond

// Freeze stops the process with SIGSTOP until Thaw. It returns when all threads stand still: kill(2)
// returns earlier, and a thread that runs meanwhile still answers.
func (p *Process) Freeze() {
	p.cluster.t.Helper()
	p.mustSignal(syscall.SIGSTOP)
	for end := time.Now().Add(freezeLimit); !allStopped(p.PID()); time.Sleep(freezePoll) {
		if time.Now().After(end) {
			p.cluster.t.Fatalf("cluster: %s has not stopped after %v", p.Name, freezeLimit)
		}
	}
}

// allStopped reports whether every thread of the process is stopped.
func allStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		// The state follows the name, which stands in parentheses and may hold any character.
		if !bytes.HasPrefix(text[bytes.LastIndexByte(text, ')')+1:], []byte(" T")) {
			return false
		}
	}
	return true
}

// Thaw continues a frozen process.
func (p *Process) Thaw() {
	p.cluster.t.Helper()
	p.mustSignal(syscall.SIGCONT)
}

// WipeDisk removes the data of a control member, which must not be running.
func (p *Process) WipeDisk() {
	p.cluster.t.Helper()
	if p.PID() != 0 {
		p.cluster.t.Fatalf("cluster: wipe the disk of %s: it is running", p.Name)
	}
	if err := os.RemoveAll(p.dataDir()); err != nil {
		p.cluster.t.Fatalf("cluster: wipe the disk of %s: %v", p.Name, err)
	}
}

func (p *Process) dataDir() string { return filepath.Join(filepath.Dir(p.settings), p.Name+"-data") }

func (p *Process) mustSignal(s syscall.Signal) {
	p.cluster.t.Helper()
	if err := p.signal(s); err != nil {
		p.cluster.t.Fatalf("cluster: %v to %s: %v", s, p.Name, err)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("it is not running")
	}
	return p.cmd.Process.Signal(s)
}

func (p *Process) end(s syscall.Signal, limit time.Duration) {
	p.cluster.t.Helper()
	p.mu.Lock()
	p.stopping = true
	ended := p.ended
	p.mu.Unlock()
	p.mustSignal(s)
	select {
	case <-ended:
	case <-time.After(limit):
		p.cluster.t.Fatalf("cluster: %s runs on %v after %v", p.Name, limit, s)
	}
}

// stop ends the process whatever its state, for the end of the test.
func (p *Process) stop() {
	p.mu.Lock()
	p.stopping = true
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// Log returns what the process has written, over all its starts.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return fmt.Sprintf("no log: %v", err)
	}
	if len(data) > maxLogBytes {
		data = data[len(data)-maxLogBytes:]
		data = data[bytes.IndexByte(data, '\n')+1:]
	}
	return string(data)
}
