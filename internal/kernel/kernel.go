// Package kernel runs named services: it starts them in the order of their
// needs, stops them in reverse, and collects their health and state dumps.
//
// Services find each other by name and typed interface; none imports another's
// implementation. Invariant: a service starts only after all it needs, and
// stops before any of them.
package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Service is one part of a daemon.
type Service interface {
	// Name is dotted, such as "entry.http".
	Name() string
	// Needs names the services that must run before this one.
	Needs() []string
	// Start returns once the service serves; the context covers starting only.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service; it may wait for work in flight until the context
	// ends.
	Stop(ctx context.Context) error
	// Health returns nil while the service can do its work.
	Health() error
	// Dump returns the state as a value that encodes to JSON, without secrets.
	Dump() any
}

// Drainer is a service that ends its part of the work in an orderly way before
// any service stops.
type Drainer interface {
	// Drain returns once the service may stop, or the context ends. All services
	// run meanwhile.
	Drain(ctx context.Context) error
}

// Kernel holds the services of one daemon.
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

// Kinds.
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

// Error names the remedy.
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

// Register adds a service before Start.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return &Error{Kind: Duplicate, Service: s.Name(), Detail: "the name is registered already", Remedy: "give each service its own name"}
	}
	k.services[s.Name()] = s
	return nil
}

// Find returns the service of a name as the interface T.
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

// Order returns the services' names in starting order.
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

// ordering sorts services topologically, depth first.
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

// Start starts all services in order. Where one fails, those already started
// are stopped again.
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

// Drain drains the services that can, one after the other in the order in which
// they will stop, and returns the first error; it tries all of them.
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

// Stop stops the started services in reverse order and returns the first
// error; it stops all of them whatever happens.
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

// Health returns the failing services' errors by name; none means healthy.
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
