package promise

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dispatchedTrace returns the events of one request from its acceptance to its
// execution.
func dispatchedTrace() []Event {
	return []Event{
		{Kind: Accept, Daemon: "d1", Workspace: "w", Key: "k", NonIdempotent: true},
		{Kind: Queue, Offer: "d1/1", Pool: "p", Region: "r", Tier: 1},
		{Kind: Grant, Offer: "d1/1", Pool: "p", Region: "r", Tier: 1, Upstream: "u"},
		{Kind: Claim, Workspace: "w", Key: "k", Stream: "s"},
		{Kind: Dispatch, Daemon: "d1", Workspace: "w", Key: "k", Stream: "s", Upstream: "u"},
		{Kind: Execute, Upstream: "u", Stream: "s", SentHash: "x"},
	}
}

func answeredTrace() []Event {
	return append(dispatchedTrace(),
		Event{Kind: Release, Offer: "d1/1"},
		Event{Kind: Answer, Daemon: "d1", Workspace: "w", Key: "k", Stream: "s", Complete: true, SentHash: "x", ReceivedHash: "x"},
	)
}

func appendEvents(events []Event, more ...Event) []Event { return append(events, more...) }

var (
	d1        = Options{Daemons: []string{"d1"}}
	accepted1 = Event{Kind: Accepted, Version: 1, Digest: "a"}
	inForce1  = Event{Kind: InForce, Daemon: "d1", Version: 1, Digest: "a"}
	shedTop   = Event{Kind: Shed, Offer: "d2/1", Pool: "p", Region: "r", Tier: 0}
)

func TestCheckReportsViolations(t *testing.T) {
	cases := []struct {
		name    string
		promise Promise
		opt     Options
		events  []Event
	}{
		{"dispatched twice", DispatchOnce, d1, appendEvents(dispatchedTrace(), Event{Kind: Dispatch, Daemon: "d2", Workspace: "w", Key: "k", Stream: "s2", Upstream: "v"})},
		{"dispatch of an unknown request", DispatchOnce, d1, []Event{{Kind: Dispatch, Stream: "s"}}},
		{"stream of two requests", DispatchOnce, d1, appendEvents(dispatchedTrace(), Event{Kind: Dispatch, Workspace: "w", Key: "k2", Stream: "s"})},
		{"shed while a lower tier is in service", TierOrder, d1, appendEvents(dispatchedTrace(), shedTop)},
		{"shed while a lower tier is queued", TierOrder, d1, []Event{dispatchedTrace()[1], shedTop}},
		{"shed while a lower tier is in service in another region", TierOrder, d1, appendEvents(dispatchedTrace(), Event{Kind: Shed, Offer: "d2/1", Pool: "p", Region: "far"})},
		{"refused by the entry while a lower tier is in service", TierOrder, d1, appendEvents(dispatchedTrace(), Event{Kind: Refuse, Pool: "p", Region: "r", Workspace: "w", Key: "k3", Code: "overloaded", Ran: "not_run"})},
		{"answer without its end", OwnAnswer, d1, appendEvents(dispatchedTrace(), Event{Kind: Answer, Workspace: "w", Key: "k", Stream: "s"})},
		{"other bytes than the upstream's", OwnAnswer, d1, appendEvents(dispatchedTrace(), Event{Kind: Answer, Workspace: "w", Key: "k", Stream: "s", Complete: true, ReceivedHash: "y"})},
		{"other bytes than the entry's", OwnAnswer, d1, appendEvents(dispatchedTrace(), Event{Kind: Answer, Workspace: "w", Key: "k", Complete: true, SentHash: "x", ReceivedHash: "y"})},
		{"answer of another request", OwnAnswer, d1, appendEvents(answeredTrace(), Event{Kind: Dispatch, Workspace: "w", Key: "k2", Stream: "s2"}, Event{Kind: Answer, Workspace: "w", Key: "k2", Stream: "s", Complete: true, ReceivedHash: "x"})},
		{"answer without a dispatch", OwnAnswer, d1, []Event{{Kind: Answer, Workspace: "w", Key: "k", Complete: true}}},
		{"no key", OwnAnswer, d1, []Event{{Kind: Accept, Daemon: "d1"}}},
		{"no answer", OwnAnswer, d1, dispatchedTrace()},
		{"refused after it ran", NotRun, d1, appendEvents(dispatchedTrace(), Event{Kind: Refuse, Daemon: "d1", Workspace: "w", Key: "k", Ran: "not_run"})},
		{"ran after it was refused", NotRun, d1, appendEvents(dispatchedTrace()[:4], Event{Kind: Refuse, Daemon: "d1", Workspace: "w", Key: "k", Ran: "not_run"}, dispatchedTrace()[4])},
		{"executed twice", ExecuteOnce, d1, appendEvents(dispatchedTrace(), Event{Kind: Execute, Workspace: "w", Key: "k", Upstream: "v"})},
		{"executed without a dispatch", ExecuteOnce, d1, []Event{{Kind: Execute, Stream: "s"}}},
		{"work for an upstream that left", LeavingUpstream, d1, []Event{{Kind: Leave, Upstream: "u"}, {At: 3*time.Second + 1, Kind: Dispatch, Workspace: "w", Key: "k", Upstream: "u"}}},
		{"interrupted by the shutdown", Shutdown, d1, appendEvents(dispatchedTrace(), Event{Kind: Drain, Daemon: "d1"}, Event{Kind: Stopped, Daemon: "d1"})},
		{"refused by the shutdown", Shutdown, d1, appendEvents(dispatchedTrace()[:2], Event{Kind: Drain, Daemon: "d1"}, Event{Kind: Refuse, Daemon: "d1", Workspace: "w", Key: "k", Code: "draining", Ran: "not_run"})},
		{"reverted", Configuration, d1, []Event{accepted1, {Kind: Accepted, Version: 2, Digest: "b"}, {Kind: InForce, Daemon: "d1", Version: 2, Digest: "b"}, inForce1}},
		{"reverted over a restart", Configuration, d1, []Event{accepted1, {Kind: Accepted, Version: 2, Digest: "b"}, {Kind: InForce, Daemon: "d1", Version: 2, Digest: "b"}, {Kind: Crashed, Daemon: "d1"}, {Kind: Started, Daemon: "d1"}, inForce1}},
		{"two contents of one version", Configuration, d1, []Event{accepted1, {Kind: Accepted, Version: 1, Digest: "b"}, inForce1}},
		{"accepted backwards", Configuration, d1, []Event{{Kind: Accepted, Version: 2, Digest: "b"}, accepted1, {Kind: InForce, Daemon: "d1", Version: 2, Digest: "b"}}},
		{"never accepted", Configuration, d1, []Event{inForce1}},
		{"other content in force", Configuration, d1, []Event{accepted1, {Kind: InForce, Daemon: "d1", Version: 1, Digest: "b"}}},
		{"late", Configuration, Options{Daemons: []string{"d1"}, End: 5*time.Second + 1}, []Event{accepted1}},
		{"late after a partition healed", Configuration, Options{End: 20 * time.Second}, []Event{{Kind: Partitioned, Daemon: "d1"}, accepted1, {At: 10 * time.Second, Kind: Healed, Daemon: "d1"}}},
	}
	seen := map[Promise]bool{}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := Check(c.events, c.opt)
			require.NotEmpty(t, found)
			require.Condition(t, func() bool {
				for _, v := range found {
					if v.Promise == c.promise {
						return true
					}
				}
				return false
			}, "found only %v", found)
			require.NotEmpty(t, found[0].Reason)
			seen[c.promise] = true
		})
	}
	for _, p := range Promises() {
		require.True(t, seen[p], "no broken trace for %s", p)
	}
}

func TestCheckAcceptsValidTraces(t *testing.T) {
	partitioned := Options{CanReach: func(time.Duration, string, string) bool { return false }}
	cases := []struct {
		name   string
		opt    Options
		events []Event
	}{
		{"served", d1, answeredTrace()},
		{"still in flight", Options{InFlightAtEnd: true}, dispatchedTrace()},
		{"a resend joins", d1, appendEvents(answeredTrace(), Event{Kind: Accept, Daemon: "d2", Workspace: "w", Key: "k"}, Event{Kind: Answer, Daemon: "d2", Workspace: "w", Key: "k", Stream: "s", Complete: true, ReceivedHash: "x"})},
		{"conflicting content did not run", d1, appendEvents(answeredTrace(), Event{Kind: Accept, Daemon: "d2", Workspace: "w", Key: "k", Digest: "y"}, Event{Kind: Refuse, Daemon: "d2", Workspace: "w", Key: "k", Digest: "y", Code: "conflict", Ran: "not_run"})},
		{"refused, sent again and served", d1, appendEvents([]Event{{Kind: Accept, Daemon: "d2", Workspace: "w", Key: "k"}, {Kind: Refuse, Daemon: "d2", Workspace: "w", Key: "k", Ran: "not_run"}}, answeredTrace()...)},
		{"shed without a lower tier", d1, appendEvents(answeredTrace(), shedTop)},
		{"shed of a lower tier", d1, appendEvents(answeredTrace(), Event{Kind: Queue, Offer: "d2/2", Pool: "p", Region: "r"}, Event{Kind: Shed, Offer: "d2/1", Pool: "p", Region: "r", Tier: 2})},
		{"shed and then refused", d1, appendEvents(answeredTrace(), shedTop, Event{Kind: Queue, Offer: "d2/2", Pool: "p", Region: "r", Tier: 2}, Event{Kind: Refuse, Offer: "d2/1", Pool: "p", Workspace: "w", Key: "k2", Code: "overloaded", Ran: "not_run"})},
		{"regions partitioned", partitioned, appendEvents(answeredTrace(), Event{Kind: Queue, Offer: "d2/2", Pool: "p", Region: "far", Tier: 2}, shedTop)},
		{"too recent to be known in the other region", Options{RegionDelay: time.Second}, []Event{{Kind: Queue, Offer: "d2/2", Pool: "p", Region: "far", Tier: 2}, shedTop}},
		{"left and came back", d1, []Event{{Kind: Leave, Upstream: "u"}, {At: time.Second, Kind: Grant, Upstream: "u"}, {At: 4 * time.Second, Kind: Join, Upstream: "u"}, {At: 5 * time.Second, Kind: Grant, Upstream: "u"}}},
		{"a shutdown waits for requests", d1, appendEvents(appendEvents(dispatchedTrace(), Event{Kind: Drain, Daemon: "d1"}), appendEvents(answeredTrace()[6:], Event{Kind: Stopped, Daemon: "d1"})...)},
		{"a crash is not a shutdown", Options{InFlightAtEnd: true}, appendEvents(dispatchedTrace(), Event{Kind: Crashed, Daemon: "d1"})},
		{"in force in time", Options{Daemons: []string{"d1"}, End: time.Minute}, []Event{accepted1, accepted1, {At: 5 * time.Second, Kind: InForce, Daemon: "d1", Version: 1, Digest: "a"}}},
		{"partitioned and caught up", Options{Daemons: []string{"d1"}, End: time.Hour}, []Event{{Kind: Partitioned, Daemon: "d1"}, accepted1, {At: time.Minute, Kind: Healed, Daemon: "d1"}, {At: 64 * time.Second, Kind: InForce, Daemon: "d1", Version: 1, Digest: "a"}}},
		{"down for good", Options{Daemons: []string{"d1"}, End: time.Hour}, []Event{{Kind: Crashed, Daemon: "d1"}, accepted1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Empty(t, Check(c.events, c.opt))
		})
	}
}
