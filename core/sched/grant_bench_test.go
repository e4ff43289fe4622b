package sched

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// newLoadedDispatcher returns a dispatcher whose upstreams are filled as far as
// the policy allows, with at least the given number of requests queued.
func newLoadedDispatcher(b *testing.B, upstreams, queue int) *Dispatcher {
	d := New(Params{})
	for i := range upstreams {
		if err := d.Announce(0, Upstream{Name: fmt.Sprintf("u%04d", i), Slots: 8, Lease: 1000 * time.Hour}); err != nil {
			b.Fatal(err)
		}
	}
	for i := range queue + upstreams*8 {
		d.offerNumber(b, i)
	}
	d.Decide(0)
	return d
}

func (d *Dispatcher) offerNumber(b *testing.B, i int) {
	o := Offer{ID: ID{Entry: "e", Number: uint64(i)}, Workspace: fmt.Sprintf("w%02d", i%50), Tier: i % 3, Weight: 1, PromptTokens: 200 + i%2000, MaxTokens: 50 + i%700, Deadline: 1000 * time.Hour}
	for n := range 8 {
		o.Blocks = append(o.Blocks, uint64(i%97)<<32|uint64(n))
	}
	if _, err := d.Offer(0, o); err != nil {
		b.Fatal(err)
	}
}

// clockThreadCPU is CLOCK_THREAD_CPUTIME_ID of clock_gettime, on Linux.
const clockThreadCPU = 3

// threadCPUTime returns the CPU time of the calling thread. Unlike wall-clock
// time, it is not lengthened by other load on the machine.
func threadCPUTime(b *testing.B) time.Duration {
	now := syscall.Timespec{}
	if _, _, code := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPU, uintptr(unsafe.Pointer(&now)), 0); code != 0 {
		b.Fatal(code)
	}
	return time.Duration(now.Nano())
}

// BenchmarkGrant measures the time per grant, including its share of the round.
// Offers and releases between rounds are not timed.
func BenchmarkGrant(b *testing.B) {
	for _, upstreams := range []int{10, 100, 300, 1000} {
		for _, queue := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("upstreams=%d/queued=%d", upstreams, queue), func(b *testing.B) {
				d := newLoadedDispatcher(b, upstreams, queue)
				next := 1 << 24
				round, spent, total := 0, time.Duration(0), 0
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				b.ReportAllocs()
				b.ResetTimer()
				for done := 0; done < b.N; {
					b.StopTimer()
					round++
					releaseUpstream(b, d, round)
					for d.queued < queue {
						next++
						d.offerNumber(b, next)
					}
					b.StartTimer()
					before := threadCPUTime(b)
					got := len(d.Decide(0).Grants)
					spent += threadCPUTime(b) - before
					if got == 0 {
						b.Fatal("nothing was granted")
					}
					done += got
					total = done
				}
				b.ReportMetric(float64(spent)/float64(total), "cpu-ns/grant")
			})
		}
	}
}

// releaseUpstream releases all requests of one upstream, a different one in
// each round.
func releaseUpstream(b *testing.B, d *Dispatcher, round int) {
	u := d.byID[round%len(d.byID)]
	for id := range u.inFlight {
		if _, err := d.Release(0, Release{ID: id, Outcome: Canceled}); err != nil {
			b.Fatal(err)
		}
	}
}
