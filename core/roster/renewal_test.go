package roster

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRenewalKeepsAnUpstreamAlive(t *testing.T) {
	r := New(interval)
	first := beat("a", 1, 1)
	first.Cold = 3 * time.Second
	r.Take(first)
	next := first
	next.Sequence, next.Heard = 2, 2*time.Second
	require.True(t, r.Renew(next.Renewal()))
	e, _ := r.Find("a")
	require.Equal(t, 2*time.Second, e.Heard)
	require.Equal(t, time.Second, e.Cold, "it warms up meanwhile")
	require.True(t, r.Renew(first.Renewal()), "late, yet of the same process")
	e, _ = r.Find("a")
	require.Equal(t, uint64(2), e.Sequence)
}

// TestRenewalOfAnotherEntryAsksForAllOfIt has one control daemon miss a change
// that the other knows.
func TestRenewalOfAnotherEntryAsksForAllOfIt(t *testing.T) {
	changes := map[string]func(*Entry){
		"reborn":        func(e *Entry) { e.Born++ },
		"leaving":       func(e *Entry) { e.Leaving = true },
		"more slots":    func(e *Entry) { e.Slots++ },
		"moved":         func(e *Entry) { e.Address = "10.0.0.9:80" },
		"another pool":  func(e *Entry) { e.Pool = "q" },
		"another place": func(e *Entry) { e.DataCentre = "z" },
	}
	for name, change := range changes {
		r := New(interval)
		require.False(t, r.Renew(beat("a", 1, 1).Renewal()), "not known")
		r.Take(beat("a", 1, 1))
		later := beat("a", 1, 7)
		change(&later)
		require.False(t, r.Renew(later.Renewal()), name)
		e, _ := r.Find("a")
		require.Equal(t, uint64(1), e.Sequence, name)
	}
	r := New(interval)
	r.Take(beat("a", 1, 1))
	r.Leave(0, "a")
	require.False(t, r.Renew(beat("a", 1, 2).Renewal()), "it has left")
}

// TestDigestAndSameUseSeeTheSameFields: a field that one of them overlooks would
// be a change that renewals hide.
func TestDigestAndSameUseSeeTheSameFields(t *testing.T) {
	fields := reflect.TypeFor[Entry]()
	for i := range fields.NumField() {
		e := beat("a", 1, 1)
		switch f := reflect.ValueOf(&e).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString(f.String() + "x")
		case reflect.Bool:
			f.SetBool(!f.Bool())
		case reflect.Int, reflect.Int64:
			f.SetInt(f.Int() + 1)
		case reflect.Uint64:
			f.SetUint(f.Uint() + 1)
		default:
			require.Fail(t, "a field of another kind", fields.Field(i).Name)
		}
		require.Equal(t, sameUse(beat("a", 1, 1), e), beat("a", 1, 1).digest() == e.digest(), fields.Field(i).Name)
	}
}
