// Package cluster runs the programs of a deployment as separate processes on loopback for tests,
// with links between them that a test can cut or silence.
//
// Every address that a process advertises leads to a switchboard in the test process. It finds out
// which process opened a connection and passes it through the toxiproxy proxy of that link, so a link
// is known by its two ends even when an address was learnt from a message.
package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// Programs that the harness starts.
const (
	ProgramControl = "zinnia-control"
	ProgramNode    = "zinnia-node"
	ProgramTarget  = "zinnia-target"
)

const modulePath = "github.com/zinniapier/zinniapier"

// binaries holds the programs built by this test process.
var binaries struct {
	mu    sync.Mutex
	dir   string
	built map[string]string
}

// Main runs the tests and then removes the programs that they built. A TestMain calls
// os.Exit(cluster.Main(m)).
func Main(m *testing.M) int {
	code := m.Run()
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
	return code
}

// Build returns the path of a program, which is built once per test process.
func Build(program string) (string, error) {
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	if path := binaries.built[program]; path != "" {
		return path, nil
	}
	if binaries.dir == "" {
		dir, err := os.MkdirTemp("", "zinnia-binaries-")
		if err != nil {
			return "", errors.Trace(err)
		}
		binaries.dir, binaries.built = dir, make(map[string]string)
	}
	path := filepath.Join(binaries.dir, program)
	out, err := exec.Command("go", "build", "-o", path, modulePath+"/cmd/"+program).CombinedOutput()
	if err != nil {
		return "", errors.Errorf("build %s: %v\n%s", program, err, out)
	}
	binaries.built[program] = path
	return path, nil
}
