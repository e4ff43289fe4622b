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
	// memberTick is the step of the fleet's virtual time.
	memberTick = 50 * time.Millisecond
	// settleEach is how long the news of one daemon's start may take to be
	// passed on to all, where all start at once.
	settleEach = 2 * time.Second
	// memberTime is how long a fleet is measured after it has settled.
	memberTime = 30 * time.Second
	memberSeed = 1
)

var memberSizes = []int{9, 30, 100, 300}

// fleet is n membership machines whose messages arrive at once.
type fleet struct {
	machines map[string]*detector.Machine
	names    []string
	now      time.Duration
	messages int
	bytes    int
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
		f.names = append(f.names, address)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += memberTick {
		for _, address := range f.names {
			m := f.machines[address]
			f.carry(m, m.Tick(f.now))
		}
	}
}

// carry brings requests to their receivers and the replies back.
func (f *fleet) carry(from *detector.Machine, requests []detector.Request) {
	for _, r := range requests {
		to, ok := f.machines[r.Address]
		if !ok {
			f.carry(from, from.HandleFailure(f.now, r.ID))
			continue
		}
		reply, _ := to.HandleRequest(f.now, r)
		f.messages += 2
		f.bytes += proto.Size(member.EncodeRequest(from.Self().Name, r)) + proto.Size(member.EncodeReply(reply))
		f.carry(from, from.HandleReply(f.now, r.ID, reply))
	}
}

// membershipPoints gives what one daemon spends a second: each message counts
// where it is sent and where it is received.
func membershipPoints() []Point {
	out := []Point{}
	point := func(name string, n int, value float64, unit string) {
		out = append(out, Point{Series: name, Size: float64(n), Over: "daemons", Value: value, Unit: unit})
	}
	for _, n := range memberSizes {
		f := (*fleet)(nil)
		held := heldBytes(func() any {
			f = newFleet(n)
			f.run(memberTime + time.Duration(n)*settleEach)
			return f
		})
		f.messages, f.bytes = 0, 0
		before := processTime()
		f.run(memberTime)
		spent := processTime() - before
		each := float64(n) * memberTime.Seconds()
		point("member.messages", n, 2*float64(f.messages)/each, "messages/s")
		point("member.bytes", n, 2*float64(f.bytes)/each, "bytes/s")
		point("member.time", n, float64(spent.Nanoseconds())/each, "ns/s")
		point("member.memory", n, held/float64(n), "bytes")
	}
	return out
}
