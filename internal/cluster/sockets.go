package cluster

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
)

// socket is a row of /proc/net/tcp.
type socket struct {
	local     netip.AddrPort
	listening bool
}

// stateListen is the state of a listening socket in /proc/net/tcp.
const stateListen = "0A"

// findSocket returns the first IPv4 socket that matches.
func findSocket(match func(socket) bool) (socket, bool) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return socket{}, false
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if s, ok := parseSocket(lines.Text()); ok && match(s) {
			return s, true
		}
	}
	return socket{}, false
}

// Columns of /proc/net/tcp.
const (
	columnLocal = 1
	columnState = 3
)

func parseSocket(line string) (socket, bool) {
	columns := strings.Fields(line)
	if len(columns) <= columnState {
		return socket{}, false
	}
	local, ok := parseHexAddress(columns[columnLocal])
	return socket{local, columns[columnState] == stateListen}, ok
}

// parseHexAddress reads an address such as 0100007F:1F90, whose IP number is in little-endian order.
func parseHexAddress(text string) (netip.AddrPort, bool) {
	var port uint16
	ip, rest, found := strings.Cut(text, ":")
	b, err := hex.DecodeString(ip)
	if !found || err != nil || len(b) != 4 {
		return netip.AddrPort{}, false
	}
	if _, err := fmt.Sscanf(rest, "%x", &port); err != nil {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), port), true
}

// listening reports whether a socket listens on the address.
func listening(address string) bool {
	want, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	_, found := findSocket(func(s socket) bool { return s.listening && s.local == want })
	return found
}

// socketOwners remembers which process has which socket open. One look at the processes finds the
// sockets of all connections that are opened in a burst.
type socketOwners struct {
	mu    sync.Mutex
	known map[string]string // names by inode
}

// find returns the name of the process that has the socket open, or "". pids holds the running
// processes by name.
func (o *socketOwners) find(inode string, pids map[string]int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if name := o.known[inode]; name != "" {
		return name
	}
	o.known = make(map[string]string)
	for name, pid := range pids {
		o.look(name, pid)
	}
	return o.known[inode]
}

func (o *socketOwners) look(process string, pid int) {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	d, err := os.Open(dir)
	if err != nil {
		return
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1)
	for _, name := range names {
		link, err := os.Readlink(dir + name)
		if inode, isSocket := strings.CutPrefix(link, "socket:["); err == nil && isSocket {
			o.known[strings.TrimSuffix(inode, "]")] = process
		}
	}
}
