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

// BenchmarkOverload measures the offer of a request and a round while 2,000 requests of 100
// workspaces wait and no engine has a free slot, without and with the decisions under overload.
func BenchmarkOverload(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint(on), func(b *testing.B) {
			s := newOverloadSim(60, on)
			offer := func(number uint64) {
				s.broker.Offer(0, Offer{ID: ID{Entry: "entry", Number: number}, Pool: simPool, Workspace: fmt.Sprint("w", number%100), PromptTokens: 3000, OutputTokens: 100, Fingerprint: number, LatencyTarget: time.Hour, LatestUseful: time.Hour, Deadline: time.Hour})
			}
			for number := range uint64(2000) {
				offer(number)
				s.broker.Decide(0)
			}
			number := uint64(2000)
			for b.Loop() {
				number++
				offer(number)
				s.broker.Decide(0)
				s.broker.Cancel(ID{Entry: "entry", Number: number})
			}
		})
	}
}
