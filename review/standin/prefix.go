package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["prefix"] = prefixOfSegment }

// prefixOfSegment adds a route for /shop/ below a route for /, and requests /shop, which does not begin with /shop/.
func prefixOfSegment(r *record, trouble bool) (int, string) {
	services := map[string]bool{"orders": false, "portal": false}
	rules := []rule{{name: "r-all", prefix: "/", kind: "idempotent", service: "orders"}}
	d, endpoints, all, err := deployed(r, []string{"orders", "portal"}, services, rules)
	defer func() { end(d, endpoints) }()
	if err != nil {
		return cannotRun, err.Error()
	}
	if err := d.awaitServed(request{path: "/x/y"}); err != nil {
		return cannotRun, err.Error()
	}
	if trouble {
		added := append(rules, rule{name: "r-shop", prefix: "/shop/", kind: "idempotent", service: "portal"})
		status, _ := d.orderAny(10*time.Second, "PUT", "/-/configuration", "00000005", configuration(7, added, services), d.cores...)
		if status != 200 {
			return cannotRun, "the second configuration is not acknowledged"
		}
		time.Sleep(3 * time.Second)
	}
	for n := range 40 {
		d.send(d.nodes[n%2], request{path: "/shop"})
		if trouble {
			d.send(d.nodes[n%2], request{path: "/shop/x"})
		}
	}
	wrong, ran := 0, 0
	for _, x := range all.all() {
		if strings.HasPrefix(x.path, "/shop/") || x.path != "/shop" {
			continue
		}
		ran++
		if x.service != "orders" {
			wrong++
		}
	}
	summary := fmt.Sprintf("of %d requests for /shop, %d were run by portal, which only /shop/ leads to", ran, wrong)
	if wrong > 0 {
		return broken, summary
	}
	return held0, summary
}
