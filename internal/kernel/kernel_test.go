package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// fake is a service that records its start and stop in a trace.
type fake struct {
	name  string
	needs []string
	fail  error
	trace *[]string
}

func (f *fake) Name() string    { return f.name }
func (f *fake) Needs() []string { return f.needs }
func (f *fake) Health() error   { return nil }
func (f *fake) Dump() any       { return f.name }

func (f *fake) Start(context.Context, *Kernel) error {
	*f.trace = append(*f.trace, "+"+f.name)
	return f.fail
}

func (f *fake) Stop(context.Context) error {
	*f.trace = append(*f.trace, "-"+f.name)
	return nil
}

func assemble(t *testing.T, trace *[]string, fakes ...*fake) *Kernel {
	t.Helper()
	k := New()
	for _, f := range fakes {
		f.trace = trace
		require.NoError(t, k.Register(f))
	}
	return k
}

func TestStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	trace := []string{}
	k := assemble(t, &trace, &fake{name: "a", needs: []string{"c"}}, &fake{name: "b", needs: []string{"a"}}, &fake{name: "c"})
	require.NoError(t, k.Start(t.Context()))
	require.NoError(t, k.Stop(t.Context()))
	require.Equal(t, []string{"+c", "+a", "+b", "-b", "-a", "-c"}, trace)
}

func TestStartErrorsHaveKindAndRemedy(t *testing.T) {
	cases := []struct {
		kind  Kind
		fakes []*fake
	}{
		{Missing, []*fake{{name: "a", needs: []string{"b"}}}},
		{Cycle, []*fake{{name: "a", needs: []string{"b"}}, {name: "b", needs: []string{"a"}}}},
		{StartFailed, []*fake{{name: "a", fail: errors.New("no disk")}}},
	}
	for _, c := range cases {
		trace := []string{}
		err := assemble(t, &trace, c.fakes...).Start(t.Context())
		typed := (*Error)(nil)
		require.ErrorAs(t, err, &typed)
		require.Equal(t, c.kind, typed.Kind)
		require.NotEmpty(t, typed.Remedy)
	}
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	trace := []string{}
	k := assemble(t, &trace, &fake{name: "a"}, &fake{name: "b", needs: []string{"a"}, fail: errors.New("no disk")})
	require.Error(t, k.Start(t.Context()))
	require.Equal(t, []string{"+a", "+b", "-a"}, trace)
}

func TestDuplicateNameAndWrongTypeAreErrors(t *testing.T) {
	trace := []string{}
	k := assemble(t, &trace, &fake{name: "a"})
	typed := (*Error)(nil)
	require.ErrorAs(t, k.Register(&fake{name: "a"}), &typed)
	require.Equal(t, Duplicate, typed.Kind)
	_, err := Find[interface{ Fly() }](k, "a")
	require.ErrorAs(t, err, &typed)
	require.Equal(t, WrongType, typed.Kind)
}

// drainer is a fake that also drains.
type drainer struct {
	fake
}

func (d *drainer) Drain(context.Context) error {
	*d.trace = append(*d.trace, "~"+d.name)
	return d.fail
}

// TestDrainRunsInStopOrderBeforeAnyStop also makes one Drainer fail, which must not
// prevent the others from being drained.
func TestDrainRunsInStopOrderBeforeAnyStop(t *testing.T) {
	trace := []string{}
	k := assemble(t, &trace, &fake{name: "a"})
	failing := &drainer{fake{name: "b", needs: []string{"a"}, trace: &trace}}
	last := &drainer{fake{name: "c", needs: []string{"b"}, trace: &trace}}
	require.NoError(t, k.Register(failing))
	require.NoError(t, k.Register(last))
	require.NoError(t, k.Start(t.Context()))
	failing.fail = errors.New("in use")
	typed := (*Error)(nil)
	require.ErrorAs(t, k.Drain(t.Context()), &typed)
	require.Equal(t, DrainFailed, typed.Kind)
	require.NoError(t, k.Stop(t.Context()))
	require.Equal(t, []string{"+a", "+b", "+c", "~c", "~b", "-c", "-b", "-a"}, trace)
}
