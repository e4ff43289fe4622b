package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/routes"
)

const testMemoryTokens = 1000

// newEngineBroker returns a broker with one engine "u" that crashes beyond testMemoryTokens.
func newEngineBroker(share float64, slots int) *Broker {
	b := New(share)
	b.SetTable(routes.NewIndex(&routes.Table{Version: 1, Pools: []routes.Pool{{Name: "p", Engine: &routes.Engine{Slots: slots, MemoryTokens: testMemoryTokens}}}}))
	b.SetUpstreams([]Upstream{{ID: "u", Pool: "p", Address: "a", Slots: slots}})
	return b
}

func newEngineOffer(n uint64, prompt, output, maxOutput int) Offer {
	o := newOffer(n)
	o.PromptTokens, o.OutputTokens, o.MaxOutputTokens = prompt, output, maxOutput
	return o
}

// TestLongOutputsFitIntoEngineMemory guards against an engine that crashes since its answers are
// longer than expected, or since one request alone needs more than it has.
func TestLongOutputsFitIntoEngineMemory(t *testing.T) {
	b := newEngineBroker(1, 8)
	for n := range uint64(4) {
		b.Offer(0, newEngineOffer(n, 100, 50, 300))
	}
	require.Len(t, b.Decide(0).Grants, 2, "each may need 400 of 1000 tokens")
	b = newEngineBroker(1, 8)
	b.Offer(0, newEngineOffer(0, 100, 50, testMemoryTokens))
	require.Empty(t, b.Decide(0).Grants)
}

// TestLocalBrokersShareEngineMemory guards against an engine that crashes since several entries
// without a broker grant it requests at the same time.
func TestLocalBrokersShareEngineMemory(t *testing.T) {
	const brokers = 4
	total := 0
	for i := range brokers {
		b := newEngineBroker(1.0/brokers, 16)
		b.SetName(fmt.Sprint(i))
		for n := range uint64(10) {
			b.Offer(0, newEngineOffer(n, 60, 20, 40))
		}
		total += len(b.Decide(0).Grants) * 100
		require.Empty(t, b.Decide(time.Second).Grants)
	}
	require.LessOrEqual(t, total, testMemoryTokens)
	require.Positive(t, total)
}
