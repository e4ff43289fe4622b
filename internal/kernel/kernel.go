// Package kernel is the service container of a daemon: it starts named services
// in the order of their dependencies, stops them in reverse order, and collects
// their health and state dumps. internal/daemon assembles it.
//
// Services look each other up by name and interface type; none imports another's
// implementation. Invariant: a service starts after all its dependencies and
// stops before any of them.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Service is one component of a daemon.
type Service interface {
	// Name returns the unique name, such as "entry.http".
	Name() string
	// Needs lists the names of the services that must be started before this one.
	Needs() []string
	// Start returns once the service is running; ctx bounds the start only.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service; it may wait for operations in flight until ctx ends.
	Stop(ctx context.Context) error
	// Health returns nil while the service works, or why it does not.
	Health() error
	// Dump returns the state as a value that encodes to JSON. It contains no
	// secrets.
	Dump() any
}

// Drainer is a service that finishes its operations before any service stops.
type Drainer interface {
	// Drain returns once the service may stop, or when ctx ends. All services run
	// meanwhile.
	Drain(ctx context.Context) error
}

// Kernel holds the services of one daemon. Its methods are safe for concurrent
// use.
type Kernel struct {
	mu       sync.Mutex
	services map[string]Service
	started  []Service
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}}
}

// Kind classifies a kernel error.
type Kind string

// Kinds of errors.
const (
	Missing     Kind = "missing service"
	Duplicate   Kind = "duplicate service"
	Cycle       Kind = "circular dependency"
	WrongType   Kind = "wrong service type"
	StartFailed Kind = "service failed to start"
	StopFailed  Kind = "service failed to stop"
	DrainFailed Kind = "service failed to drain"
)

// Error is a failure to assemble, start or stop services.
type Error struct {
	Kind    Kind
	Service string
	Detail  string
	Remedy  string
	Cause   error
}

// Error returns kind, service, detail, cause and remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s %q: %s", e.Kind, e.Service, e.Detail)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Register adds a service; it must be called before Start. It returns an *Error of
// kind Duplicate if the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return &Error{Kind: Duplicate, Service: s.Name(), Detail: "the name is registered already", Remedy: "give each service its own name"}
	}
	k.services[s.Name()] = s
	return nil
}

// Find returns the service with a name as a T. It returns an *Error of kind
// Missing or WrongType.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	typed, fits := s.(T)
	if !ok {
		return typed, &Error{Kind: Missing, Service: name, Detail: "no such service is registered", Remedy: "register it, or add the role that brings it"}
	}
	if !fits {
		return typed, &Error{Kind: WrongType, Service: name, Detail: fmt.Sprintf("%T does not offer the interface asked for", s), Remedy: "ask for the interface that internal/port documents for this name"}
	}
	return typed, nil
}

// Order returns the services' names in the order in which they start. It returns
// an *Error of kind Missing or Cycle.
func (k *Kernel) Order() ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := ordering{services: k.services, state: map[string]visit{}}
	for _, n := range sortedNames(k.services) {
		if err := o.visit(n, nil); err != nil {
			return nil, err
		}
	}
	return o.order, nil
}

type visit int

const (
	visiting visit = iota + 1
	visited
)

// ordering sorts services topologically by depth-first search.
type ordering struct {
	services map[string]Service
	state    map[string]visit
	order    []string
}

func (o *ordering) visit(name string, path []string) error {
	path = append(path, name)
	s, ok := o.services[name]
	if !ok {
		return &Error{Kind: Missing, Service: name, Detail: "needed by " + path[len(path)-2], Remedy: "register it, or add the role that brings it"}
	}
	switch o.state[name] {
	case visited:
		return nil
	case visiting:
		return &Error{Kind: Cycle, Service: name, Detail: strings.Join(path, " needs "), Remedy: "drop one of these needs"}
	}
	o.state[name] = visiting
	for _, need := range s.Needs() {
		if err := o.visit(need, path); err != nil {
			return err
		}
	}
	o.state[name] = visited
	o.order = append(o.order, name)
	return nil
}

func sortedNames(services map[string]Service) []string {
	names := make([]string, 0, len(services))
	for n := range services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Start starts all services in order. If one fails, it stops those already
// started.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.Order()
	if err != nil {
		return err
	}
	for _, n := range order {
		if err := k.startOne(ctx, n); err != nil {
			_ = k.Stop(ctx)
			return err
		}
	}
	return nil
}

func (k *Kernel) startOne(ctx context.Context, name string) error {
	k.mu.Lock()
	s := k.services[name]
	k.mu.Unlock()
	if err := s.Start(ctx, k); err != nil {
		return &Error{Kind: StartFailed, Service: name, Detail: "start returned an error", Remedy: "mend the cause and start the daemon again", Cause: err}
	}
	k.mu.Lock()
	k.started = append(k.started, s)
	k.mu.Unlock()
	return nil
}

// Drain drains each Drainer in the order in which they will stop, one after the
// other. It drains all of them and returns the first error.
func (k *Kernel) Drain(ctx context.Context) error {
	started := k.running()
	first := error(nil)
	for i := len(started) - 1; i >= 0; i-- {
		d, ok := started[i].(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil && first == nil {
			first = &Error{Kind: DrainFailed, Service: started[i].Name(), Detail: "drain returned an error", Remedy: "see the log; work in flight may have been cut", Cause: err}
		}
	}
	return first
}

// Stop stops the started services in reverse order. It stops all of them and
// returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	first := error(nil)
	for i := len(started) - 1; i >= 0; i-- {
		err := started[i].Stop(ctx)
		if err != nil && first == nil {
			first = &Error{Kind: StopFailed, Service: started[i].Name(), Detail: "stop returned an error", Remedy: "see the log; work in flight may have been cut", Cause: err}
		}
	}
	return first
}

// Health returns the failing services' errors by name; empty means healthy.
func (k *Kernel) Health() map[string]error {
	out := map[string]error{}
	for _, s := range k.running() {
		if err := s.Health(); err != nil {
			out[s.Name()] = err
		}
	}
	return out
}

// Dump returns each running service's state by name.
func (k *Kernel) Dump() map[string]any {
	out := map[string]any{}
	for _, s := range k.running() {
		out[s.Name()] = s.Dump()
	}
	return out
}

func (k *Kernel) running() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service{}, k.started...)
}
