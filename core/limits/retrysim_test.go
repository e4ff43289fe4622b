package limits

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simSeeds is the number of simulations that a test runs.
var simSeeds = flag.Int("retry-seeds", 40, "simulations of retry budgets")

// retrySim simulates entries that share a retry budget and start, end, freeze, lose the leader,
// join and leave, beside changes of the leader and callers that move between entries. It has no
// sockets and takes its time from a counter. Retries are made as often as the budgets allow; they
// wait before they are sent, and take some time to arrive.
type retrySim struct {
	random  *rand.Rand
	now     time.Duration
	fault   retryFault
	load    float64
	entries []*simEntry
	// sessions holds the entries that the leader counts, and when each was last in contact.
	sessions   map[*simProcess]time.Duration
	leaderFrom time.Duration
	// isDark is true while no retry is granted, isCalm while no attempt fails.
	isDark, isCalm bool
	requests       []time.Duration
	retries        []time.Duration
}

// retryFault is a fault that is planted to show that the simulation finds it.
type retryFault string

const (
	noFault retryFault = ""
	// restartsRenew gives a process that starts its whole part of the slack.
	restartsRenew retryFault = "a restart renews the slack"
	// newestCount shares the slack by the newest count instead of the highest.
	newestCount retryFault = "the newest count of entries"
	// chargedAtDecision takes a retry when it is decided on.
	chargedAtDecision retryFault = "retries are charged when they are decided on"
	// keptWithoutLeader lets a process keep its part without a leader.
	keptWithoutLeader retryFault = "an entry keeps its part without a leader"
	// slidingWindows bounds the retries of each process by its own requests in a window.
	slidingWindows retryFault = "sliding windows"
)

const (
	simWindow  = 10 * time.Second
	simMaxGap  = 2 * time.Second
	simStep    = 50 * time.Millisecond
	simLength  = 90 * time.Second
	simRatio   = 0.2
	simSlack   = 56.0
	simSession = time.Second
	// simMaxDelay bounds the time between the sending of a retry and its arrival.
	simMaxDelay = time.Second
)

// simEntry is an entry instance. process is nil while none runs.
type simEntry struct {
	process     *simProcess
	startsAt    time.Duration
	frozenUntil time.Duration
	cutUntil    time.Duration
	hasLeft     bool
	weight      float64
}

type simProcess struct {
	budget      *RetryBudget
	share       *Share
	count       int
	lastPart    float64
	sessionFrom time.Duration
	// waiting is the number of reserved retries. sent holds those of the sliding windows.
	waiting  int
	sent     []time.Duration
	received []time.Duration
}

func newRetrySim(seed uint64, fault retryFault) *retrySim {
	s := &retrySim{random: rand.New(rand.NewPCG(seed, 47)), fault: fault, sessions: map[*simProcess]time.Duration{}}
	s.load = 200 * math.Pow(s.random.Float64(), 3)
	for range 1 + s.random.IntN(12) {
		s.entries = append(s.entries, &simEntry{weight: 1})
	}
	return s
}

func (s *retrySim) chance(perSecond float64) bool {
	return s.random.Float64() < perSecond*simStep.Seconds()
}

func (s *retrySim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// run plays the whole time and returns the largest use of the budget in any window, as a fraction.
func (s *retrySim) run() float64 {
	restarts, cuts := 0.5*s.random.Float64(), 0.2*s.random.Float64()
	for s.now = simWindow; s.now < simWindow+simLength; s.now += simStep {
		s.disturb(restarts, cuts)
		s.receive()
		for _, e := range s.entries {
			s.step(e)
		}
	}
	slices.Sort(s.retries)
	return s.worstUse()
}

// disturb lets single entries, several at once or the leader fail, entries join and leave, callers
// move and upstreams fail.
func (s *retrySim) disturb(restarts, cuts float64) {
	if s.chance(restarts / 2) {
		part := s.random.Float64()
		for _, e := range s.entries {
			if s.random.Float64() < part {
				s.end(e, s.between(simStep, 2*time.Second))
			}
		}
	}
	if s.chance(cuts) {
		part, until := s.random.Float64(), s.now+s.between(time.Second, 25*time.Second)
		for _, e := range s.entries {
			if s.random.Float64() < part {
				e.cutUntil = until
			}
		}
	}
	if s.chance(restarts / 4) {
		clear(s.sessions)
		s.leaderFrom = s.now + s.between(100*time.Millisecond, 4*time.Second)
		for _, e := range s.entries {
			if e.process != nil {
				e.process.sessionFrom = s.leaderFrom + s.between(0, time.Second)
			}
		}
	}
	if s.chance(0.05) {
		for range 1 + s.random.IntN(6) {
			s.entries = append(s.entries, &simEntry{startsAt: s.now, weight: 1})
		}
	}
	if s.chance(0.2) {
		for _, e := range s.entries {
			e.weight = math.Pow(s.random.Float64(), 4)
		}
	}
	if s.chance(0.2) {
		s.isDark = !s.isDark
	}
	if s.chance(0.2) {
		s.isCalm = !s.isCalm
	}
	for _, e := range s.entries {
		switch {
		case s.chance(restarts / 2):
			s.end(e, s.between(simStep, 4*time.Second))
		case s.chance(0.01):
			e.frozenUntil = s.now + s.between(simStep, 15*time.Second)
		case s.chance(0.005):
			s.end(e, 0)
			e.hasLeft = true
		}
	}
}

// end ends an entry's process; another one starts after a delay.
func (s *retrySim) end(e *simEntry, delay time.Duration) {
	e.process, e.startsAt = nil, s.now+delay
}

func (s *retrySim) serves(e *simEntry) bool {
	return e.process != nil && s.now >= e.frozenUntil
}

// receive spreads the requests over the entries that serve.
func (s *retrySim) receive() {
	sum := 0.0
	for _, e := range s.entries {
		if s.serves(e) {
			sum += e.weight
		}
	}
	for _, e := range s.entries {
		if !s.serves(e) {
			continue
		}
		expected := s.load * simStep.Seconds() * e.weight / sum
		for ; s.random.Float64() < expected; expected-- {
			s.requests = append(s.requests, s.now)
			e.process.received = append(e.process.received, s.now)
			e.process.budget.RecordRequest(s.now, s.limits(e.process))
		}
	}
}

// step lets an entry exchange messages with the leader and send retries.
func (s *retrySim) step(e *simEntry) {
	if e.hasLeft || s.now < e.startsAt || s.now < e.frozenUntil {
		return
	}
	if e.process == nil {
		e.process = &simProcess{budget: NewRetryBudget(simWindow), share: NewShare(simMaxGap), sessionFrom: s.now + s.between(0, time.Second)}
	}
	p := e.process
	s.exchange(e)
	if s.isCalm {
		return
	}
	if s.fault == slidingWindows {
		s.sendInWindow(p)
		return
	}
	l := s.limits(p)
	for p.budget.Reserve(s.now, l) {
		p.waiting++
		if s.fault == chargedAtDecision {
			p.budget.Send(s.now, l)
		}
	}
	for ; p.waiting > 0 && !s.isDark; p.waiting-- {
		switch {
		case s.fault == chargedAtDecision:
			s.send()
		case s.random.Float64() < 0.02:
			p.budget.Release()
		case p.budget.Send(s.now, l):
			s.send()
		}
	}
}

// send sends a retry; most arrive at once.
func (s *retrySim) send() {
	delay := time.Duration(math.Pow(s.random.Float64(), 10) * float64(simMaxDelay))
	s.retries = append(s.retries, s.now+delay)
}

// sendInWindow sends retries up to a fraction of the process's own requests in the last window.
func (s *retrySim) sendInWindow(p *simProcess) {
	from := s.now - simWindow
	for float64(countWithin(p.sent, from)) < 0.8*simRatio*float64(countWithin(p.received, from))-1 {
		p.sent = append(p.sent, s.now)
		s.send()
	}
}

// exchange tells an entry with a session how many entries the leader counts.
func (s *retrySim) exchange(e *simEntry) {
	p := e.process
	if s.now < s.leaderFrom || s.now < e.cutUntil || s.now < p.sessionFrom {
		return
	}
	s.sessions[p] = s.now
	for q, at := range s.sessions {
		if s.now-at > simSession {
			delete(s.sessions, q)
		}
	}
	p.count = len(s.sessions)
	p.share.Contact(s.now, p.count)
	p.lastPart = p.share.Fraction(s.now)
}

// limits returns the limits with the part of a process.
func (s *retrySim) limits(p *simProcess) RetryLimits {
	part := p.share.Part(s.now)
	switch {
	case s.fault == restartsRenew:
		part.Fraction = 1 / float64(part.Processes)
		part.Earned = s.now / time.Duration(part.Processes)
	case s.fault == newestCount && part.Fraction > 0:
		part.Fraction = 1 / float64(p.count)
		part.Earned = s.now
	case s.fault == keptWithoutLeader && part.Fraction == 0 && p.lastPart > 0:
		part.Fraction = p.lastPart
		part.Earned += time.Duration(float64(s.now-p.share.last) * p.lastPart)
	}
	return RetryLimits{Ratio: simRatio, Slack: simSlack, Part: part}
}

// worstUse returns the largest number of retries in a window, as a fraction of what is allowed
// there. As many requests count as arrived in the window, in the one before it or in the one half
// a window before it, whichever has most.
func (s *retrySim) worstUse() float64 {
	worst := 0.0
	for _, from := range s.retries {
		requests := 0
		for _, before := range []time.Duration{0, simWindow / 2, simWindow} {
			requests = max(requests, countWithin(s.requests, from-before))
		}
		worst = max(worst, float64(countWithin(s.retries, from))/(simRatio*float64(requests)+simSlack))
	}
	return worst
}

// countWithin counts the times within the window that begins at from.
func countWithin(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+simWindow+1)
	return end - first
}

// TestRetriesStayWithinBudgetThroughRestarts guards against retries beyond the budget of all
// entries in any window, after any sequence of starts, kills, freezes, cuts, joins and departures
// of entries and changes of the leader.
func TestRetriesStayWithinBudgetThroughRestarts(t *testing.T) {
	t.Parallel()
	worst := 0.0
	for seed := range uint64(*simSeeds) {
		worst = max(worst, newRetrySim(seed, noFault).run())
		require.LessOrEqual(t, worst, 1.0, "seed %d", seed)
	}
	t.Logf("largest part of the budget that was used in a window: %.2f", worst)
}

// TestRetrySimulationFindsPlantedFaults guards against a simulation that finds nothing.
func TestRetrySimulationFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []retryFault{restartsRenew, newestCount, chargedAtDecision, keptWithoutLeader, slidingWindows} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(1000) {
				if newRetrySim(seed, fault).run() > 1 {
					return
				}
			}
			t.Fatal("no window has more retries than allowed")
		})
	}
}
