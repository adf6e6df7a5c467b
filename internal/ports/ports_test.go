package ports

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against listeners that fail with "address already in use": an address from the range of
// outgoing connections may be taken by one before the listener opens.
func TestFreeAddressesLieOutsideTheRangeOfOutgoingConnections(t *testing.T) {
	is := is.New(t)
	low := firstOutgoingPort(t)
	seen := make(map[string]bool)
	for range 50 {
		address, err := FreeAddress()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
		_, port, err := net.SplitHostPort(address)
		is.NoErr(err)
		number, err := strconv.Atoi(port)
		is.NoErr(err)
		is.True(number < low)
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}

// Guards against rows that overlap or contain a port that is in use.
func TestRowsAreFreeAndApart(t *testing.T) {
	is := is.New(t)
	seen := make(map[int]bool)
	for range 10 {
		first, err := FreeRow(8)
		is.NoErr(err)
		l, err := net.Listen("tcp", loopback(first+3)) // in use while the next row is taken
		is.NoErr(err)
		defer l.Close()
		for port := first; port < first+8; port++ {
			is.True(!seen[port])
			seen[port] = true
		}
	}
}

func firstOutgoingPort(t *testing.T) int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("no range of outgoing ports is known on this system")
	}
	low, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	return low
}
