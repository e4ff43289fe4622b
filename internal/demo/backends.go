package demo

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/standin"
)

const (
	modelName   = "logbook-model"
	serviceName = "register-api"
	// prefillSpeed and decodeSpeed are a runner's at full speed, in tokens a
	// second; time is scaled so that the run stays short.
	prefillSpeed = 20_000
	decodeSpeed  = 250
	// runnerSlots is how many requests a runner takes at once.
	runnerSlots = 4
	// servicePause is how long a plain call takes.
	servicePause = 20 * time.Millisecond
)

// runners are the stand-in engines. The straggler runs at one fifth; the one
// that dies is not the straggler.
var runners = []struct {
	name  string
	place int
	speed float64
}{
	{"runner-1", 0, 1},
	{"runner-2", 1, 0.8},
	{"runner-3", 2, 0.6},
	{"runner-4", 0, 0.9},
	{"straggler", 1, 0.2},
}

// victim is the runner that is killed.
const victim = "runner-4"

// backends is the stand-ins of one run.
type backends struct {
	list []*backend
}

// backend is one stand-in with its announcements.
type backend struct {
	name   string
	close  func()
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startBackends starts the stand-ins, which announce themselves.
func startBackends(daemons []string, rec *recorder) (*backends, error) {
	b := &backends{}
	for i, r := range runners {
		a := announcement(r.name, upstream.Runner, modelName, r.place, runnerSlots)
		up := standin.NewRunner(a, standin.Speed{PrefillPerSecond: prefillSpeed * r.speed, DecodePerSecond: decodeSpeed * r.speed})
		up.Observe = rec.execution
		if err := up.Listen(); err != nil {
			return b, err
		}
		b.run(r.name, up.Close, rotate(daemons, i), up.Announcement)
	}
	a := announcement("register-1", upstream.Plain, serviceName, 0, 8)
	svc := standin.NewService(a, servicePause)
	svc.Observe = rec.execution
	if err := svc.Listen(); err != nil {
		return b, err
	}
	b.run(a.Name, svc.Close, daemons, func() upstream.Announcement { return svc.Self })
	return b, nil
}

func rotate(list []string, by int) []string {
	by %= len(list)
	return slices.Concat(list[by:], list[:by])
}

func announcement(name string, kind upstream.Kind, pool string, place, slots int) upstream.Announcement {
	return upstream.Announcement{
		Name: name, Kind: kind, Pool: pool, Address: "127.0.0.1:0", Slots: slots,
		Region: places[place].Region, DataCentre: places[place].DataCentre, Incarnation: uint64(time.Now().UnixNano()),
	}
}

func (b *backends) run(name string, closeIt func(), daemons []string, state func() upstream.Announcement) {
	ctx, cancel := context.WithCancel(context.Background())
	one := &backend{name: name, close: closeIt, cancel: cancel}
	ann := &standin.Announcer{Daemons: daemons, Key: localsite.UpstreamKey, State: state}
	one.done.Go(func() { ann.Run(ctx) })
	b.list = append(b.list, one)
}

// kill ends one stand-in without a word, as a crash would.
func (b *backends) kill(name string) {
	for _, one := range b.list {
		if one.name == name {
			one.cancel()
			one.close()
		}
	}
}

// stop ends all stand-ins.
func (b *backends) stop() {
	for _, one := range b.list {
		one.cancel()
		one.close()
		one.done.Wait()
	}
}
