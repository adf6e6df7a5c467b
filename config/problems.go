package config

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/zinniapier/zinniapier/errkind"
)

// problems collects what is wrong, so that one check reports everything.
type problems struct {
	list []string
}

func (p *problems) add(path, format string, args ...any) {
	p.list = append(p.list, path+": "+fmt.Sprintf(format, args...))
}

// err returns nil, or one Invalid error with all problems.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return errkind.New(errkind.Invalid, "%s", strings.Join(p.list, "; "))
}

// namePattern bounds names of services, zones, hosts, organisations and plug-ins: they appear in
// paths, headers and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$`)

const nameRule = "1 to 64 letters, digits, '.', '_' or '-', with a letter or digit at both ends"

// ValidName reports whether a name may be used for a service, availability zone, host, organisation or plug-in.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func (p *problems) name(path, value string) {
	switch {
	case value == "":
		p.add(path, "missing")
	case !ValidName(value):
		p.add(path, "%q is not a name: use %s", value, nameRule)
	}
}

// plugin checks the form of a plug-in name; the part that uses it looks it up.
func (p *problems) plugin(path, value string) {
	if value != "" && !ValidName(value) {
		p.add(path, "%q is not a plug-in name: use %s", value, nameRule)
	}
}

func (p *problems) between(path string, value, low, high int) {
	if value < low || value > high {
		p.add(path, "%d is not between %d and %d", value, low, high)
	}
}
