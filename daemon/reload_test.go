package daemon

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leavingProcess is set in the environment of the process that plays one that takes a while to stop.
const leavingProcess = "ZINNIAPIER_TEST_LEAVING_PROCESS"

// TestReloadWhileLeavingDoesNotEndTheProcess guards against requests that are cut because the
// settings change while a process answers its last requests after SIGTERM.
func TestReloadWhileLeavingDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(leavingProcess) != "" {
		leaveSlowly()
		return
	}
	is := is.New(t)
	cmd := exec.Command(os.Args[0], "-test.run=^TestReloadWhileLeavingDoesNotEndTheProcess$")
	cmd.Env = append(os.Environ(), leavingProcess+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewScanner(out)
	expect := func(line string) {
		t.Helper()
		is.True(lines.Scan())
		is.Equal(lines.Text(), line)
	}
	expect("up")
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	expect("leaving")
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	expect("reloaded")
	is.NoErr(cmd.Wait()) // a process that a signal ended has an error here
}

func leaveSlowly() {
	ctx, stop := SignalContext()
	defer stop()
	reloaded := make(chan struct{}, 1)
	OnReload(func() { reloaded <- struct{}{} })
	fmt.Println("up")
	<-ctx.Done()
	time.Sleep(50 * time.Millisecond) // a handler that ends with the context has ended by now
	fmt.Println("leaving")
	select {
	case <-reloaded:
		fmt.Println("reloaded")
	case <-time.After(10 * time.Second):
	}
	os.Exit(0)
}
