package roster

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRenewalUpdatesEntry(t *testing.T) {
	r := New(interval)
	first := heartbeat("a", 1, 1)
	first.Cold = 3 * time.Second
	r.Merge(first)
	next := first
	next.Sequence, next.Heard = 2, 2*time.Second
	require.True(t, r.Renew(next.Renewal()))
	e, _ := r.Find("a")
	require.Equal(t, 2*time.Second, e.Heard)
	require.Equal(t, time.Second, e.Cold, "the warm-up time elapses")
	require.True(t, r.Renew(first.Renewal()), "outdated, but of the same process")
	e, _ = r.Find("a")
	require.Equal(t, uint64(2), e.Sequence)
}

// TestRenewalOfChangedEntryIsRejected guards against a control daemon that missed
// a change and keeps its outdated entry alive by renewals.
func TestRenewalOfChangedEntryIsRejected(t *testing.T) {
	changes := map[string]func(*Entry){
		"restarted":    func(e *Entry) { e.Born++ },
		"leaving":      func(e *Entry) { e.Leaving = true },
		"more slots":   func(e *Entry) { e.Slots++ },
		"moved":        func(e *Entry) { e.Address = "10.0.0.9:80" },
		"another pool": func(e *Entry) { e.Pool = "q" },
		"another zone": func(e *Entry) { e.DataCentre = "z" },
	}
	for name, change := range changes {
		r := New(interval)
		require.False(t, r.Renew(heartbeat("a", 1, 1).Renewal()), "unknown")
		r.Merge(heartbeat("a", 1, 1))
		later := heartbeat("a", 1, 7)
		change(&later)
		require.False(t, r.Renew(later.Renewal()), name)
		e, _ := r.Find("a")
		require.Equal(t, uint64(1), e.Sequence, name)
	}
	r := New(interval)
	r.Merge(heartbeat("a", 1, 1))
	r.Merge(r.Departure(departing("a", 0)))
	require.False(t, r.Renew(heartbeat("a", 1, 2).Renewal()), "it has left")
}

// TestDigestCoversFieldsOfSameUse guards against a field that digest or sameUse
// omits: renewals would hide its changes.
func TestDigestCoversFieldsOfSameUse(t *testing.T) {
	fields := reflect.TypeFor[Entry]()
	for i := range fields.NumField() {
		e := heartbeat("a", 1, 1)
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
			require.Fail(t, "unsupported field kind", fields.Field(i).Name)
		}
		require.Equal(t, sameUse(heartbeat("a", 1, 1), e), heartbeat("a", 1, 1).digest() == e.digest(), fields.Field(i).Name)
	}
}
