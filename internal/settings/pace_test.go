package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPaceIsOffUnlessSet guards against a slow start that nobody asked for, and against one without
// an open slot.
func TestPaceIsOffUnlessSet(t *testing.T) {
	r := &Routing{}
	r.applyDefaults()
	require.Nil(t, r.Pace)
	r.Pace = &Pace{TimeFactor: 4}
	r.applyDefaults()
	require.Equal(t, Pace{InitialSlots: DefaultInitialSlots, TimeFactor: 4}, *r.Pace)
}
