package cluster

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/juju/errors"
)

// The kernel's sock_diag interface finds one socket by its addresses without a walk over the
// table of all sockets, which holds thousands of closed ones while tests run.

const (
	netlinkSockDiag   = 4  // NETLINK_SOCK_DIAG
	sockDiagByFamily  = 20 // SOCK_DIAG_BY_FAMILY
	diagRequestLength = 56 // struct inet_diag_req_v2
	// offsetInode is the place of idiag_inode in struct inet_diag_msg.
	offsetInode = 68
)

// inodeOf returns the inode of the connected IPv4 TCP socket with these addresses.
func inodeOf(local, remote netip.AddrPort) (string, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return "", errors.Annotate(err, "sock_diag")
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", errors.Annotate(err, "sock_diag")
	}
	buffer := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, buffer, 0)
	if err != nil {
		return "", errors.Annotate(err, "sock_diag")
	}
	return parseDiag(buffer[:n])
}

// diagRequest builds a struct nlmsghdr with a struct inet_diag_req_v2.
func diagRequest(local, remote netip.AddrPort) []byte {
	m := make([]byte, syscall.NLMSG_HDRLEN+diagRequestLength)
	binary.NativeEndian.PutUint32(m[0:], uint32(len(m)))
	binary.NativeEndian.PutUint16(m[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(m[6:], syscall.NLM_F_REQUEST)
	r := m[syscall.NLMSG_HDRLEN:]
	r[0], r[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(r[4:], ^uint32(0)) // all states
	binary.BigEndian.PutUint16(r[8:], local.Port())
	binary.BigEndian.PutUint16(r[10:], remote.Port())
	copy(r[12:], local.Addr().AsSlice())
	copy(r[28:], remote.Addr().AsSlice())
	// INET_DIAG_NOCOOKIE in both halves of the cookie.
	binary.NativeEndian.PutUint64(r[48:], ^uint64(0))
	return m
}

func parseDiag(data []byte) (string, error) {
	messages, err := syscall.ParseNetlinkMessage(data)
	if err != nil {
		return "", errors.Annotate(err, "sock_diag")
	}
	for _, m := range messages {
		if m.Header.Type == sockDiagByFamily && len(m.Data) >= offsetInode+4 {
			return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(m.Data[offsetInode:])), 10), nil
		}
	}
	return "", errors.NotFoundf("socket")
}
