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
	// prefillTokensPerSecond and decodeTokensPerSecond are the rates of a runner
	// of speed 1. They are high so that the run stays short.
	prefillTokensPerSecond = 20_000
	decodeTokensPerSecond  = 250
	// runnerSlots is how many requests a runner runs at once.
	runnerSlots = 4
	// serviceDelay is the duration of a service call.
	serviceDelay = 20 * time.Millisecond
)

// runners lists the stand-in runners. The straggler has a fifth of the full speed;
// the runner that is killed is another one.
var runners = []struct {
	name          string
	locationIndex int
	// speed is relative to the full speed.
	speed float64
}{
	{"runner-1", 0, 1},
	{"runner-2", 1, 0.8},
	{"runner-3", 2, 0.6},
	{"runner-4", 0, 0.9},
	{"straggler", 1, 0.2},
}

// killedRunner is the runner that is killed during the load.
const killedRunner = "runner-4"

// standIns holds the stand-in upstreams of one run.
type standIns struct {
	all []*standIn
}

// standIn is one running stand-in with the goroutine that announces it.
type standIn struct {
	name   string
	close  func()
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startStandIns starts the stand-in runners and the service. With an error it
// returns those that have started.
func startStandIns(daemons []string, rec *recorder) (*standIns, error) {
	s := &standIns{}
	for i, r := range runners {
		a := announcement(r.name, upstream.Runner, modelName, r.locationIndex, runnerSlots)
		runner := standin.NewRunner(a, standin.Speed{PrefillPerSecond: prefillTokensPerSecond * r.speed, DecodePerSecond: decodeTokensPerSecond * r.speed})
		runner.Observe = rec.recordExecution
		if err := runner.Listen(); err != nil {
			return s, err
		}
		s.add(r.name, runner.Close, rotate(daemons, i), runner.Announcement)
	}
	a := announcement("register-1", upstream.PlainService, serviceName, 0, 8)
	service := standin.NewService(a, serviceDelay)
	service.Observe = rec.recordExecution
	if err := service.Listen(); err != nil {
		return s, err
	}
	s.add(a.Name, service.Close, daemons, func() upstream.Announcement { return service.Self })
	return s, nil
}

// rotate returns the list starting at an index, so that runners announce to
// different daemons first.
func rotate(list []string, by int) []string {
	by %= len(list)
	return slices.Concat(list[by:], list[:by])
}

// announcement returns a stand-in's announcement, with the current time as its
// incarnation. Its port is zero, which lets the system assign a loopback port.
func announcement(name string, kind upstream.Kind, pool string, locationIndex, slots int) upstream.Announcement {
	return upstream.Announcement{
		Name: name, Kind: kind, Pool: pool, Address: "127.0.0.1:0", Slots: slots,
		Region: locations[locationIndex].Region, DataCentre: locations[locationIndex].DataCentre, Incarnation: uint64(time.Now().UnixNano()),
	}
}

// add starts the announcements of a stand-in that listens.
func (s *standIns) add(name string, closeFunc func(), daemons []string, state func() upstream.Announcement) {
	ctx, cancel := context.WithCancel(context.Background())
	started := &standIn{name: name, close: closeFunc, cancel: cancel}
	ann := &standin.Announcer{Daemons: daemons, Key: localsite.UpstreamKey, State: state}
	started.done.Go(func() { ann.Run(ctx) })
	s.all = append(s.all, started)
}

// kill closes one stand-in without announcing that it leaves, as in a crash.
func (s *standIns) kill(name string) {
	for _, up := range s.all {
		if up.name == name {
			up.cancel()
			up.close()
		}
	}
}

// stop closes all stand-ins and waits for their announcements to end.
func (s *standIns) stop() {
	for _, up := range s.all {
		up.cancel()
		up.close()
		up.done.Wait()
	}
}
