package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["routechange"] = routeChange }

// Paths of the case. By both configurations, /archive and /archive%2Fx belong to the route with the prefix "/".
const (
	pathRoot    = "/"
	pathArchive = "/archive/"
)

// configApply is ConfigApply.
const configApply = 2 * time.Second

// routeChange has a configuration add a route to the other service below the route for all paths.
func routeChange(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	// Each version holds the routes of the one before.
	root := rule("r-root", "idempotent", pathRoot, keyed, "1200ms")
	archive := rule("r-archive", "idempotent", pathArchive, unkeyed, "1200ms")
	if err := w.change(1, 2, root); err != nil {
		return false, err
	}
	if trouble {
		if err := w.change(2, 3, root, archive); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply)
	wrong := 0
	for _, path := range []string{"/archive", "/archive%2Fx", "/archive/x", "/other"} {
		below := strings.HasPrefix(path, pathArchive)
		for n, m := range w.sides {
			a := w.attempt(m, http.MethodGet, path, n*7001, "", time.Second)
			for _, r := range w.runs.all() {
				if r.id != a.id || below && trouble {
					continue
				}
				if r.service != keyed {
					w.rec.note("a request is run by a service that no configuration names for it", "request", a.id, "path", path, "service", r.service, "endpoint", r.endpoint)
					wrong++
				}
			}
		}
	}
	w.rec.note("judged", "wrong", wrong)
	return wrong > 0, nil
}

// change sends a version that builds on base, with further routes.
func (w *world) change(base, version int, routes ...string) error {
	body := configuration(version, routes...)
	status, err := operator{w}.send(http.MethodPut, "/-/configuration", map[string]string{"If-Match": fmt.Sprintf("%08x", base)}, body, w.cores)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d, %v", version, status, err)
	}
	return nil
}
