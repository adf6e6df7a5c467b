package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"
)

// standInVariable makes the test binary run as a stand-in for the programs.
const standInVariable = "ZINNIA_CLUSTER_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(standInVariable) != "" {
		runStandIn(os.Args[len(os.Args)-1])
		return
	}
	os.Exit(Main(m))
}

func standIn(_, settings string) (*exec.Cmd, error) {
	cmd := exec.Command(os.Args[0], settings)
	cmd.Env = append(os.Environ(), standInVariable+"=1")
	return cmd, nil
}

// runStandIn listens on every listener in the settings. The caller listener of a node takes
// orders from the test: open a connection to an address, or send a byte and await its echo.
func runStandIn(file string) {
	data, err := os.ReadFile(file)
	settings := make(map[string]any)
	if err == nil {
		err = json.Unmarshal(data, &settings)
	}
	if err != nil {
		panic(err)
	}
	fmt.Println("stand-in started")
	for _, name := range []string{"rpc_listen", "operator_listen", "internal_listen", "announce_listen", "status_listen", "listen"} {
		if address, ok := settings[name].(string); ok && address != "" {
			go echo(address)
		}
	}
	if address, ok := settings["caller_listen"].(string); ok {
		s := &caller{}
		http.HandleFunc("/open", s.open)
		http.HandleFunc("/ping", s.ping)
		http.HandleFunc("/exit", func(http.ResponseWriter, *http.Request) { os.Exit(3) })
		panic(http.ListenAndServe(address, nil))
	}
	select {}
}

func echo(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			panic(err)
		}
		go func() {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}()
	}
}

// caller holds the connections that the test had a stand-in open.
type caller struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (s *caller) open(w http.ResponseWriter, r *http.Request) {
	conn, err := net.DialTimeout("tcp", r.URL.Query().Get("to"), time.Second)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
	fmt.Fprint(w, len(s.conns)-1)
}

// ping says how far an exchange of one byte over a connection came.
func (s *caller) ping(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.Atoi(r.URL.Query().Get("id"))
	s.mu.Lock()
	conn := s.conns[id]
	s.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	buf := []byte{1}
	if r.URL.Query().Get("read") == "" {
		if _, err := conn.Write(buf); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	_, err := io.ReadFull(conn, buf)
	switch e, ok := err.(net.Error); {
	case err == nil:
		fmt.Fprint(w, "echo")
	case ok && e.Timeout():
		fmt.Fprint(w, "silent")
	default:
		fmt.Fprint(w, "closed")
	}
}
