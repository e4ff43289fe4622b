package capacity

import "fmt"

// Target sizes, from the users' letter.
const (
	daemons        = 700
	runners        = 10_000
	requestsPerSec = 76_000
	tokensPerSec   = 26_000_000
	workspaces     = 1_700
	models         = 5
	regions        = 7
	dataCentres    = 16
	changesPerDay  = 41_000
	setAside       = 18
	restartsPerDay = 1_400
	failuresPerDay = 54
	secondsPerDay  = 86_400
)

// Budgets of one daemon for control, from the users' letter.
const (
	// budgetCore is a share of one core.
	budgetCore = 0.029
	// budgetMemory is in bytes.
	budgetMemory = 32 << 20
	// budgetWire is in bytes a second, sent and received together.
	budgetWire = 5_000
)

// Budgets of the request's path, from the fleet's size and the letter.
const (
	// pathCores is how many cores an entry may give to requests: streamed
	// tokens a second over the 50,000 that one core must carry.
	pathCores = float64(tokensPerSec) / daemons / 50_000
)

// Counts that follow from the target.
const (
	pools            = models * regions
	daemonsPerRegion = float64(daemons) / regions
	runnersPerPool   = float64(runners) / pools
	requestsPerPool  = float64(requestsPerSec) / pools
	requestsPerEntry = float64(requestsPerSec) / daemons
	tokensPerEntry   = float64(tokensPerSec) / daemons
	changesPerSec    = float64(changesPerDay) / secondsPerDay
)

// Class says what a role's cost counts as.
type Class string

// Classes.
const (
	// Control is all that runs whether or not a request is there, and all that
	// daemons tell each other to keep the system together.
	Control Class = "control"
	// Path is what one request costs on its way: offer, grant, claim, stream.
	Path Class = "path"
)

// Need is what one role needs at the target on one daemon.
type Need struct {
	Role  string
	Class Class
	// SetAside says that the role runs on instances set aside for control.
	SetAside  bool
	Mechanism string
	// State is bytes held, Wire bytes a second, Core a share of one core.
	State float64
	Wire  float64
	Core  float64
	// Messages is messages a second.
	Messages float64
	// Note says from which slopes and counts the need was reckoned.
	Note string
}

const (
	nsPerSec = 1e9
	// renewSeconds is how often an upstream announces.
	renewSeconds = 0.5
	// sessionBeatsPerSec is heartbeats a second on a dispatcher session, both
	// directions together.
	sessionBeatsPerSec = 2 / 0.3
	// frameOverhead is TCP, IP and drpc framing of a small message, in bytes.
	frameOverhead = 60
	// batchesPerSec bounds how often one session is flushed at the peak.
	batchesPerSec = 100
)

// SlopeError says that a series was not measured.
type SlopeError struct {
	Series string
}

// Error names the remedy.
func (e *SlopeError) Error() string {
	return fmt.Sprintf("series %s is not in the CSV file; measure again with verbenastep capacity", e.Series)
}

// book looks slopes up and remembers the first that is missing.
type book struct {
	slopes map[string]Slope
	err    error
}

func (b *book) at(series string, size float64) float64 {
	s, ok := b.slopes[series]
	if !ok && b.err == nil {
		b.err = &SlopeError{Series: series}
	}
	return s.At(size)
}

// roleEntry names the role that carries streams.
const roleEntry = "entry"

// Needs reckons what each role needs at the target.
func Needs(slopes map[string]Slope) ([]Need, error) {
	b := &book{slopes: slopes}
	out := []Need{
		directoryNeed(b),
		entryNeed(b),
		sessionNeed(b),
		dispatcherNeed(b),
		upstreamNeed(b),
		configNeed(b),
		memberNeed(b),
		configReplicaNeed(b),
		claimNeed(b),
	}
	return out, b.err
}

func entryNeed(b *book) Need {
	auth := b.at("entry.authenticate", workspaces)
	token := b.at("entry.token", requestsPerEntry*streamSeconds)
	return Need{
		Role: roleEntry, Class: Path, Mechanism: "internal/entry, internal/answer",
		State:    b.at("entry.answer.memory", requestsPerEntry*streamSeconds),
		Core:     (requestsPerEntry*auth + tokensPerEntry*token) / nsPerSec,
		Messages: requestsPerEntry + tokensPerEntry,
		Note:     "requests x authentication at 1,700 workspaces, plus tokens x cost of one streamed token",
	}
}

// streamSeconds is how long a stream runs: tokens over requests, at 28 ms a
// token.
const streamSeconds = float64(tokensPerSec) / requestsPerSec * 0.028

// sessionsPerDaemon is how many dispatcher sessions an entry keeps: one a pool
// of its own region.
const sessionsPerDaemon = float64(models)

func sessionNeed(b *book) Need {
	beat := b.at("session.heartbeat.bytes", 1) + frameOverhead
	return Need{
		Role: "scheduler's client", Class: Control, Mechanism: "internal/schedclient: a session a pool",
		Wire:     sessionsPerDaemon * sessionBeatsPerSec * beat,
		Messages: sessionsPerDaemon * sessionBeatsPerSec,
		Core:     sessionsPerDaemon * sessionBeatsPerSec * b.at("session.batch", 0) / nsPerSec,
		Note:     fmt.Sprintf("%d sessions x heartbeats both ways", int(sessionsPerDaemon)),
	}
}

func dispatcherNeed(b *book) Need {
	perRequest := b.at("dispatcher.grant", runnersPerPool)
	offer := b.at("wire.offer", 1) + b.at("wire.grant", 1) + b.at("wire.release", 1)
	return Need{
		Role: "dispatcher", Class: Path, Mechanism: "core/sched by a lease: one a pool and region",
		State:    b.at("dispatcher.upstream.memory", runnersPerPool) + b.at("dispatcher.queue.memory", requestsPerPool),
		Wire:     requestsPerPool*offer + daemonsPerRegion*batchesPerSec*2*frameOverhead,
		Core:     requestsPerPool * perRequest / nsPerSec,
		Messages: daemonsPerRegion * batchesPerSec * 2,
		Note:     "2,171 requests/s and 286 upstreams a pool; one second of requests queued",
	}
}

func upstreamNeed(b *book) Need {
	perDaemon := float64(runners) / daemons / renewSeconds
	return Need{
		Role: "upstream registry", Class: Control, Mechanism: "internal/registry: announcements with a lease",
		State:    float64(runners) / daemons * b.at("dispatcher.upstream.memory", 1),
		Wire:     perDaemon * (b.at("wire.announcement", 1) + b.at("wire.upstream", 1) + 2*frameOverhead),
		Core:     perDaemon * b.at("registry.announce", 1) / nsPerSec,
		Messages: perDaemon * 2,
		Note:     "14.3 upstreams a daemon, each announced twice a second and passed on once",
	}
}

func memberNeed(b *book) Need {
	messages := b.at("member.messages", daemons)
	return Need{
		Role: "membership", Class: Control, Mechanism: "core/member: random probes with suspicion",
		State:    b.at("member.memory", daemons),
		Wire:     b.at("member.bytes", daemons) + messages*frameOverhead,
		Core:     b.at("member.time", daemons) / nsPerSec,
		Messages: messages,
		Note:     "slopes over 9 to 300 daemons in virtual time, encoding not in the time",
	}
}

func configNeed(b *book) Need {
	return Need{
		Role: "configuration on each daemon", Class: Control, Mechanism: "internal/view: digest-chained deltas",
		State:    b.at("config.memory", workspaces),
		Wire:     changesPerSec * b.at("config.delta.bytes", workspaces),
		Core:     changesPerSec * b.at("config.apply", workspaces) / nsPerSec,
		Messages: changesPerSec,
		Note:     "0.47 changes/s, one workspace changed in each",
	}
}

func configReplicaNeed(b *book) Need {
	fanout := float64(daemons) / replicas
	return Need{
		Role: "configuration replica", Class: Control, SetAside: true, Mechanism: "internal/replica: watches of all daemons",
		State:    b.at("config.memory", workspaces) * keptVersionsFactor,
		Wire:     fanout * changesPerSec * (b.at("config.delta.bytes", workspaces) + frameOverhead),
		Core:     fanout * changesPerSec * b.at("config.diff", workspaces) / nsPerSec,
		Messages: fanout * changesPerSec,
		Note:     "5 replicas among the 18 instances set aside; each watched by 140 daemons",
	}
}

const (
	// replicas of the configuration group at the target.
	replicas = 5
	// keptVersionsFactor allows for versions that are kept for deltas, which
	// share unchanged files.
	keptVersionsFactor = 2
)

func claimNeed(b *book) Need {
	claimsPerGroup := float64(requestsPerSec) / regions * keyedShare
	bytes := b.at("claim.bytes", 1)
	return Need{
		Role: "claims replica", Class: Path, Mechanism: "core/state in a log group a region",
		State:    b.at("claim.memory", claimsPerGroup*retentionSeconds),
		Wire:     claimsPerGroup * bytes * 2,
		Core:     claimsPerGroup * 2 * b.at("claim.apply", claimsPerGroup*retentionSeconds) / nsPerSec,
		Messages: claimsPerGroup,
		Note:     "one request in ten carries a key; two commands each; claims kept for 30 minutes",
	}
}

const (
	// keyedShare is the share of requests that carry the caller's key.
	keyedShare = 0.1
	// retentionSeconds is how long claims are kept.
	retentionSeconds = 30 * 60
)

func directoryNeed(b *book) Need {
	asks := requestsPerEntry / askedPerAnswer
	return Need{
		Role: "directory", Class: Path, Mechanism: "internal/entry: any daemon answers, kept for 5 s by callers",
		Wire:     asks * b.at("directory.bytes", directoryShown),
		Core:     asks * b.at("directory.answer", directoryShown) / nsPerSec,
		Messages: asks,
		Note:     "a caller asks once in 20 requests; an answer names 8 daemons",
	}
}

const (
	// askedPerAnswer is how many requests a caller sends on one answer.
	askedPerAnswer = 20
	// directoryShown is how many addresses an answer holds.
	directoryShown = 8
)
