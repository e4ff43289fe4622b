package brokerclient

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/broker"
	"github.com/verbenastep/verbenastep/internal/duplex"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/wait"
	"github.com/verbenastep/verbenastep/internal/work"
)

const (
	// heartbeat is the longest pause between two messages to the broker.
	heartbeat = 200 * time.Millisecond
	// silence is how long the broker, which sends every 100 ms, may be silent
	// before the entry decides by itself: several messages, and a lost packet
	// that is sent again.
	silence = 400 * time.Millisecond
	// firstSilence bounds the wait for the first message of a session, which
	// needs a connection before.
	firstSilence = 600 * time.Millisecond
	// retryPause is the wait before the next daemon is tried.
	retryPause = 50 * time.Millisecond
	// idleLimit is how long the first session with a daemon that does not lead is
	// kept, for its roster, while no leader is known. Each further one is kept
	// twice as long, up to idleMost: a daemon that is not cut off names the leader
	// as soon as there is one, and looking elsewhere costs daemons that are busy.
	idleLimit = 300 * time.Millisecond
	idleMost  = 8 * idleLimit
	// backOffTime is how long a daemon is not asked again after a session with it
	// failed: the others need as long to elect another leader.
	backOffTime = 1500 * time.Millisecond
)

var (
	errSilent = errors.New("the broker fell silent")
	errMoved  = errors.New("the daemon does not lead")
)

// follow keeps a session with the daemon that leads, or with any that knows
// the roster.
func (s *Service) follow() {
	for s.ctx.Err() == nil {
		address := s.target()
		err := s.speak(s.ctx, address)
		lost := s.detach(address, err)
		if lost && s.ctx.Err() == nil {
			s.log.Warn("broker lost", zap.String("address", address), zap.Error(err))
		}
		wait.For(s.ctx, retryPause)
	}
}

// target is where the broker is most likely: where the newest term that the last
// daemon or the view told of says; but not where the last session failed, as long
// as another daemon is left to ask.
func (s *Service) target() string {
	viewed := s.view.Leader()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = max(s.term, viewed.Term)
	told := []port.Leader{s.leader, viewed}
	if viewed.Term > s.leader.Term {
		told = []port.Leader{viewed, s.leader}
	}
	s.leader = port.Leader{}
	for _, l := range told {
		if l.Address != "" && !s.backedOff(l) {
			return l.Address
		}
	}
	known := s.set.KnownReplicas()
	for range known {
		s.tries++
		if address := known[s.tries%len(known)].Address; !s.backedOff(port.Leader{Address: address}) {
			return address
		}
	}
	return s.lost
}

// backedOff tells whether a session with a daemon failed a moment ago: others may
// go on naming it as the leader until they have elected another. One that leads
// in a newer term has come back since.
func (s *Service) backedOff(l port.Leader) bool {
	return l.Address == s.lost && l.Term <= s.lostTerm && s.now() < s.lostUntil
}

// detach ends granting by the broker: what waits goes to the local broker.
func (s *Service) detach(address string, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, errMoved) {
		s.lost, s.lostTerm = address, s.term
		s.lostUntil = s.now() + backOffTime
	}
	was := s.attached
	s.attached = false
	s.meters.attached.Set(0)
	if was {
		s.meters.lost.Inc()
	}
	s.pending.Offers = nil
	now := s.now()
	if s.stale {
		s.refreshLocal()
	}
	if was {
		s.core.ForgetQuotas()
		s.core.Lower(now, s.levels)
	}
	for _, w := range s.waiting {
		s.core.Offer(now, w.offer)
	}
	wait.Signal(s.local)
	return was
}

// speak holds one session until it ends, falls silent or another daemon leads.
func (s *Service) speak(ctx context.Context, address string) error {
	if address == "" {
		return errMoved
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(firstSilence, func() { cancel(errSilent) })
	defer quiet.Stop()
	go s.leaveForLeader(ctx, address, s.view.Leader(), cancel)
	stream, err := rpc.NewDRPCBrokerClient(s.link.Conn(address)).Session(ctx)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer stream.Close()
	if err := stream.Send(s.hello()); err != nil {
		return err
	}
	in := make(chan *rpc.BrokerReply)
	failed := make(chan error, 1)
	go func() { failed <- duplex.Receive(ctx, stream.Recv, in) }()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	began := time.Now()
	limit := s.idle()
	for {
		err := error(nil)
		select {
		case <-s.wake:
			err = s.send(stream)
		case <-beat.C:
			err = s.send(stream)
		case r := <-in:
			quiet.Reset(silence)
			err = s.take(address, r, time.Since(began) > limit)
		case err = <-failed:
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// leaveForLeader ends a session in which no broker grants as soon as the view
// hears of a new leader: the daemon may be one that does not answer.
func (s *Service) leaveForLeader(ctx context.Context, address string, known port.Leader, leave context.CancelCauseFunc) {
	for {
		changed := s.view.Changed()
		viewed := s.view.Leader()
		s.mu.Lock()
		s.term = max(s.term, viewed.Term)
		better := !s.attached && viewed.Address != "" && viewed.Term > known.Term && viewed.Address != address && !s.backedOff(viewed)
		s.mu.Unlock()
		if better {
			leave(errMoved)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// idle is how long the next session without a leader is kept.
func (s *Service) idle() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(idleMost, idleLimit<<min(s.leaderless, 8))
}

// hello lists all that runs; what waits follows once the daemon says that it
// leads.
func (s *Service) hello() *rpc.BrokerAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = rpc.BrokerAsk{}
	now := s.now()
	ask := &rpc.BrokerAsk{Entry: s.self, RosterAgeMs: s.rosterAge()}
	s.current = ask.RosterAgeMs > 0
	for _, w := range s.running {
		ask.Offers = append(ask.Offers, work.EncodeOffer(now, w.offer))
	}
	return ask
}

// rosterAge is how long ago a daemon that leads last spoke of the roster, in
// milliseconds; zero where none has. The lock is held.
func (s *Service) rosterAge() uint32 {
	if s.rosterAt == 0 {
		return 0
	}
	return uint32(max(1, (s.now() - s.rosterAt).Milliseconds()))
}

// send passes on what is pending, or a heartbeat.
func (s *Service) send(stream rpc.DRPCBroker_SessionClient) error {
	s.mu.Lock()
	ask := &rpc.BrokerAsk{Offers: s.pending.Offers, Ends: s.pending.Ends, Cancels: s.pending.Cancels, Quotas: s.pending.Quotas}
	s.pending = rpc.BrokerAsk{}
	s.mu.Unlock()
	return stream.Send(ask)
}

// take reads one message of the broker.
func (s *Service) take(address string, r *rpc.BrokerReply, settled bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = max(1, int(r.Entries))
	s.core.SetShare(1 / float64(s.entries))
	s.takeRoster(r)
	s.takeLevels(r)
	leader := port.Leader{Address: r.Leader, Term: r.LeaderTerm}
	s.term = max(s.term, leader.Term)
	if !r.Leads {
		s.leader = leader
		moved := r.Leader != "" && r.Leader != address && !s.backedOff(leader)
		idle := settled && r.Leader == ""
		if idle {
			s.leaderless++
		}
		if s.attached || moved || idle {
			return errMoved
		}
		return nil
	}
	if !s.attached {
		s.attach(address)
	}
	if s.current && len(r.Roster) == 0 {
		// What was to be told of the roster has arrived.
		s.rosterAt = s.now()
	}
	for _, g := range r.Grants {
		s.takeGrant(work.DecodeGrant(s.self, g))
	}
	for _, x := range r.Refusals {
		s.refused(work.DecodeRefusal(s.self, x), byBroker)
	}
	return nil
}

// takeLevels takes in what is left of all quotas, or what has changed of it.
func (s *Service) takeLevels(r *rpc.BrokerReply) {
	if r.QuotasSet {
		clear(s.levels)
	}
	for name, left := range work.DecodeLevels(r.Quotas) {
		if left < 1 {
			s.levels[name] = left
		} else {
			delete(s.levels, name)
		}
	}
}

// attach gives all that waits or runs to a broker that has just been found, or
// has just begun to lead; the lock is held.
func (s *Service) attach(address string) {
	s.attached = true
	s.meters.attached.Set(1)
	s.leaderless = 0
	s.lostUntil = 0
	now := s.now()
	s.pending.Quotas = work.EncodeLevels(s.levels)
	for _, w := range s.running {
		s.pending.Offers = append(s.pending.Offers, work.EncodeOffer(now, w.offer))
	}
	for _, w := range s.waiting {
		s.core.Cancel(w.offer.ID)
		s.pending.Offers = append(s.pending.Offers, work.EncodeOffer(now, w.offer))
	}
	wait.Signal(s.wake)
	s.log.Info("broker found", zap.String("address", address), zap.Int("waiting", len(s.waiting)), zap.Int("running", len(s.running)), zap.Int("entries", s.entries))
}

// takeGrant settles a request, or gives back a slot that nobody waits for.
func (s *Service) takeGrant(g broker.Grant) {
	w := s.waiting[g.ID.Number]
	if w == nil {
		s.pending.Ends = append(s.pending.Ends, work.EncodeEnd(broker.End{ID: g.ID, Outcome: broker.NotSent}))
		wait.Signal(s.wake)
		return
	}
	s.granted(g, byBroker)
	s.core.Offer(s.now(), w.offer)
}

// takeRoster takes in the whole roster, or what has changed of it. The entry's
// local broker needs it only once no other answers, so it is updated less often.
func (s *Service) takeRoster(r *rpc.BrokerReply) {
	if r.RosterSet {
		clear(s.roster)
		s.current = true
	}
	for _, e := range r.Roster {
		if e.Gone {
			delete(s.roster, e.Id)
		} else {
			s.roster[e.Id] = e
		}
	}
	s.stale = s.stale || r.RosterSet || len(r.Roster) > 0
	if s.stale && (!s.attached || s.now()-s.refreshed > localRefresh) {
		s.refreshLocal()
	}
}

// localRefresh is the least time between two updates of the local broker while
// a broker grants.
const localRefresh = time.Second

// refreshLocal brings the local broker up to date with the roster; the lock is held.
func (s *Service) refreshLocal() {
	list := make([]port.RosterEntry, 0, len(s.roster))
	learned := make([]broker.Learned, 0, len(s.roster))
	for _, e := range s.roster {
		entry, l := work.DecodeEntry(e)
		list = append(list, entry)
		learned = append(learned, l)
	}
	s.core.Upstreams(work.Upstreams(list, s.set.Routing.DataCentres))
	s.core.Teach(learned)
	s.stale, s.refreshed = false, s.now()
}
