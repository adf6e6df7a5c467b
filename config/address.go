package config

import "net/netip"

// address checks host:port with an IP number and a port, and returns it parsed.
func (p *problems) address(path, value string) (netip.AddrPort, bool) {
	if value == "" {
		p.add(path, "missing")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		p.add(path, "%q is not an IP address with a port", value)
		return a, false
	}
	if a.Port() == 0 {
		p.add(path, "%q has no usable port", value)
		return a, false
	}
	return a, true
}

// reachable checks an address that other processes dial.
func (p *problems) reachable(path, value string) {
	a, ok := p.address(path, value)
	if ok && a.Addr().IsUnspecified() {
		p.add(path, "%q cannot be dialled by other hosts", value)
	}
}

// loopback checks an address that only processes on the same host may reach.
func (p *problems) loopback(path, value string) {
	a, ok := p.address(path, value)
	if ok && !a.Addr().IsLoopback() {
		p.add(path, "%q is not a loopback address", value)
	}
}

// listener is a listening address with the address that others reach it under.
type listener struct {
	path, value                   string
	advertisePath, advertiseValue string
}

// listener checks both addresses; the advertised one has already been filled in.
func (p *problems) listener(l listener) {
	a, ok := p.address(l.path, l.value)
	if l.advertiseValue != l.value {
		p.reachable(l.advertisePath, l.advertiseValue)
		return
	}
	if ok && a.Addr().IsUnspecified() {
		p.add(l.advertisePath, "missing, and %s %q cannot be dialled by other hosts", l.path, l.value)
	}
}

// distinct refuses two listeners of one process on the same address.
func (p *problems) distinct(listeners []listener) {
	seen := make(map[string]string)
	for _, l := range listeners {
		if l.value == "" {
			continue
		}
		if other, ok := seen[l.value]; ok {
			p.add(l.path, "%q is already used by %s", l.value, other)
		}
		seen[l.value] = l.path
	}
}
