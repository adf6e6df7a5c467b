package config

import (
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/api"
)

// dependencies refuses unknown and repeated dependencies and cycles. names maps a service to its index.
func (p *problems) dependencies(s *api.Services, names map[string]int) {
	for i, service := range s.Services {
		for j, d := range service.DependsOn {
			path := indexed(indexed("services", i)+".depends_on", j)
			if _, known := names[d]; !known {
				p.add(path, "there is no service %q", d)
			}
			if slices.Contains(service.DependsOn[:j], d) {
				p.add(path, "%q is listed twice", d)
			}
		}
	}
	c := &cycles{services: s, names: names, done: make(map[int]bool)}
	for i := range s.Services {
		if cycle := c.from(i); cycle != nil {
			p.add(indexed("services", c.first)+".depends_on", "dependency cycle: %s", strings.Join(cycle, " -> "))
			return
		}
	}
}

// cycles searches the dependencies depth first.
type cycles struct {
	services *api.Services
	names    map[string]int
	done     map[int]bool
	stack    []int
	// first is the index of the service at which the cycle found starts.
	first int
}

// from returns the names on a cycle that is reachable from service i, or nil.
func (c *cycles) from(i int) []string {
	if c.done[i] {
		return nil
	}
	if at := slices.Index(c.stack, i); at >= 0 {
		c.first = i
		return c.cycle(c.stack[at:])
	}
	c.stack = append(c.stack, i)
	for _, d := range c.services.Services[i].DependsOn {
		next, known := c.names[d]
		if !known {
			continue
		}
		if cycle := c.from(next); cycle != nil {
			return cycle
		}
	}
	c.stack = c.stack[:len(c.stack)-1]
	c.done[i] = true
	return nil
}

func (c *cycles) cycle(indexes []int) []string {
	var names []string
	for _, i := range indexes {
		names = append(names, c.services.Services[i].Name)
	}
	return append(names, names[0])
}
