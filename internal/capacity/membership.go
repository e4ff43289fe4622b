package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	detector "github.com/verbenastep/verbenastep/core/member"
	"github.com/verbenastep/verbenastep/internal/member"
)

const (
	// memberTickInterval is the step of the fleet's virtual time.
	memberTickInterval = 50 * time.Millisecond
	// settleTimePerDaemon bounds the time, for each daemon of a fleet, until all
	// know of its start when all start at once.
	settleTimePerDaemon = 2 * time.Second
	// memberMeasureTime is how long a fleet is measured after membership has
	// converged.
	memberMeasureTime = 30 * time.Second
	// memberSeed seeds the random choices of the daemons.
	memberSeed = 1
)

var memberSizes = []int{9, 30, 100, 300}

// fleet runs the membership protocol of many daemons in virtual time, with
// immediate delivery of messages.
type fleet struct {
	machines     map[string]*detector.Machine
	addresses    []string
	now          time.Duration
	messageCount int
	messageBytes int
}

func newFleet(n int) *fleet {
	f := &fleet{machines: map[string]*detector.Machine{}}
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7200", i/256, i%256)
		self := detector.State{Name: fmt.Sprintf("daemon-%04d", i), Incarnation: 1_790_000_000_000_000_000, Info: detector.Info{
			Region: "region-1", DataCentre: "region-1-a", PeerAddress: address,
			CallerAddress: fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256), UpstreamAddress: fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256), ConfigVersion: 41_000,
		}}
		f.machines[address] = detector.New(self, []string{"10.0.0.0:7200"}, detector.DefaultOptions(), rand.New(rand.NewPCG(memberSeed, uint64(i))))
		f.addresses = append(f.addresses, address)
	}
	return f
}

// run advances the virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += memberTickInterval {
		for _, address := range f.addresses {
			m := f.machines[address]
			f.deliver(m, m.Tick(f.now))
		}
	}
}

// deliver hands requests to their receivers and the replies to the sender, and
// counts both.
func (f *fleet) deliver(from *detector.Machine, requests []detector.Request) {
	for _, r := range requests {
		to, ok := f.machines[r.Address]
		if !ok {
			f.deliver(from, from.HandleFailure(f.now, r.ID))
			continue
		}
		reply, _ := to.HandleRequest(f.now, r)
		f.messageCount += 2
		f.messageBytes += proto.Size(member.EncodeRequest(from.Self().Name, r)) + proto.Size(member.EncodeReply(reply))
		f.deliver(from, from.HandleReply(f.now, r.ID, reply))
	}
}

// membershipPoints measures messages, bytes and time a second and memory of one
// daemon. Each message counts for its sender and for its receiver.
func membershipPoints() []Point {
	out := []Point{}
	point := func(name string, n int, value float64, unit string) {
		out = append(out, Point{Series: name, Size: float64(n), SizeUnit: "daemons", Value: value, Unit: unit})
	}
	for _, n := range memberSizes {
		f := (*fleet)(nil)
		heapBytes := heapGrowth(func() any {
			f = newFleet(n)
			f.run(memberMeasureTime + time.Duration(n)*settleTimePerDaemon)
			return f
		})
		f.messageCount, f.messageBytes = 0, 0
		before := processTime()
		f.run(memberMeasureTime)
		cpuTime := processTime() - before
		daemonSeconds := float64(n) * memberMeasureTime.Seconds()
		point("member.messages", n, 2*float64(f.messageCount)/daemonSeconds, "messages/s")
		point("member.bytes", n, 2*float64(f.messageBytes)/daemonSeconds, "bytes/s")
		point("member.time", n, float64(cpuTime.Nanoseconds())/daemonSeconds, "ns/s")
		point("member.memory", n, heapBytes/float64(n), "bytes")
	}
	return out
}
