// Package plugin holds the registries through which policies register themselves.
//
// A policy calls Register from an init function; the part that uses it looks it
// up by the name that the settings give.
package plugin

import (
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// ErrUnknown is the cause of the error that Get returns for a name that nobody registered.
const ErrUnknown = errors.ConstError("unknown plug-in")

// Registry maps names to plug-ins of one kind. It is safe for concurrent use.
type Registry[T any] struct {
	kind string
	mu   sync.RWMutex
	byID map[string]T
}

// NewRegistry returns an empty registry; kind is used in error messages.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, byID: make(map[string]T)}
}

// Register adds a plug-in. It panics on a duplicate name, which is a programming error.
func (r *Registry[T]) Register(name string, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.byID[name]; exists {
		panic("plugin: duplicate " + r.kind + " " + name)
	}
	r.byID[name] = v
}

// Get returns the plug-in of that name, or an error whose cause is ErrUnknown.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	v, ok := r.byID[name]
	if !ok {
		return v, errors.Annotatef(ErrUnknown, "%s %q (have %s)", r.kind, name, strings.Join(r.names(), ", "))
	}
	return v, nil
}

// Names returns the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.byID))
	for name := range r.byID {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
