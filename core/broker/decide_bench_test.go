package broker

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrant measures the offer, grant and end of one request for several
// numbers of upstreams.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{12, 66, 660} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			slowness := make([]float64, n)
			for i := range slowness {
				slowness[i] = 1
			}
			s := newSim(slowness...)
			number := uint64(0)
			for b.Loop() {
				number++
				now := time.Duration(number) * time.Millisecond
				id := ID{Entry: "entry", Number: number}
				s.broker.Offer(now, Offer{ID: id, Pool: simPool, PromptTokens: 3000, OutputTokens: 100, LatencyTarget: now + time.Second, LatestUseful: now + 2*time.Second, Deadline: now + 10*time.Second})
				s.broker.Decide(now)
				s.broker.End(now, End{ID: id, Outcome: Completed, TimeToFirstEvent: 100 * time.Millisecond, DecodeTime: 700 * time.Millisecond, OutputTokens: 100})
			}
		})
	}
}

// BenchmarkDecideWithFullEngines measures a round in which 300 requests wait and no
// engine has a free slot.
func BenchmarkDecideWithFullEngines(b *testing.B) {
	slowness := make([]float64, 60)
	for i := range slowness {
		slowness[i] = 1
	}
	s := newSim(slowness...)
	for number := range uint64(60*simSlots + 300) {
		id := ID{Entry: "entry", Number: number}
		s.broker.Offer(0, Offer{ID: id, Pool: simPool, PromptTokens: 3000, OutputTokens: 100, LatencyTarget: time.Hour, LatestUseful: time.Hour, Deadline: time.Hour})
	}
	for b.Loop() {
		s.broker.Decide(0)
	}
}
