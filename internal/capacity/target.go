package capacity

import "fmt"

// Target sizes, from the users' requirements.
const (
	daemons           = 700
	runners           = 10_000
	requestsPerSec    = 76_000
	tokensPerSec      = 26_000_000
	workspaces        = 1_700
	models            = 5
	regions           = 7
	dataCentres       = 16
	changesPerDay     = 41_000
	reservedInstances = 18
	restartsPerDay    = 1_400
	failuresPerDay    = 54
	secondsPerDay     = 86_400
)

// Budgets of one daemon for control, from the users' requirements.
const (
	// budgetCoreShare is a share of one core.
	budgetCoreShare   = 0.029
	budgetMemoryBytes = 32 << 20
	// budgetWireBytesPerSec is for bytes sent and received together.
	budgetWireBytesPerSec = 5_000
)

// Budgets of the request path, from the fleet's size and the users' requirements.
const (
	// budgetRequestCores is how many cores an entry may use for requests: its
	// streamed tokens a second over the 50,000 that one core must stream.
	budgetRequestCores = float64(tokensPerSec) / daemons / 50_000
)

// Counts derived from the target sizes.
const (
	pools                  = models * regions
	daemonsPerRegion       = float64(daemons) / regions
	runnersPerPool         = float64(runners) / pools
	requestsPerSecPerPool  = float64(requestsPerSec) / pools
	requestsPerSecPerEntry = float64(requestsPerSec) / daemons
	tokensPerSecPerEntry   = float64(tokensPerSec) / daemons
	changesPerSec          = float64(changesPerDay) / secondsPerDay
)

// Class groups the costs of roles.
type Class string

// Classes of cost.
const (
	// Control is the cost that does not depend on requests, such as heartbeats,
	// membership and configuration.
	Control Class = "control"
	// Path is the cost that grows with requests: offers, grants, claims, streams.
	Path Class = "path"
)

// Requirement is what one role needs on one daemon at the target size.
type Requirement struct {
	Role  string
	Class Class
	// OnReservedInstance says that the role runs on instances reserved for
	// control.
	OnReservedInstance bool
	// Mechanism names the packages that implement the role and how they do it.
	Mechanism string
	// StateBytes is memory held, CoreShare a share of one core.
	StateBytes      float64
	WireBytesPerSec float64
	CoreShare       float64
	MessagesPerSec  float64
	// Derivation says which slopes and counts the figures are calculated from.
	Derivation string
}

const (
	nsPerSec = 1e9
	// announceIntervalSeconds is the time between an upstream's announcements.
	announceIntervalSeconds = 0.5
	// sessionHeartbeatsPerSec counts both directions of a dispatcher session, with
	// a heartbeat every 0.3 s in each.
	sessionHeartbeatsPerSec = 2 / 0.3
	// frameOverheadBytes is the TCP, IP and drpc framing of a small message.
	frameOverheadBytes = 60
	// maxBatchesPerSec bounds how often one session sends a batch at the peak.
	maxBatchesPerSec = 100
)

// SlopeError reports a series that the measurements lack.
type SlopeError struct {
	Series string
}

// Error returns the fault with its remedy.
func (e *SlopeError) Error() string {
	return fmt.Sprintf("series %s is not in the CSV file; measure again with verbenastep capacity", e.Series)
}

// slopeLookup looks up slopes by series and keeps an error for the first that is
// missing.
type slopeLookup struct {
	slopes map[string]Slope
	err    error
}

// cost returns the estimated cost of a series at a size, or zero if the series is
// missing.
func (lookup *slopeLookup) cost(series string, size float64) float64 {
	s, ok := lookup.slopes[series]
	if !ok && lookup.err == nil {
		lookup.err = &SlopeError{Series: series}
	}
	return s.At(size)
}

// entryRole names the role that serves callers' requests and streams.
const entryRole = "entry"

// Requirements calculates what each role needs at the target size. It returns a
// *SlopeError if a series is missing.
func Requirements(slopes map[string]Slope) ([]Requirement, error) {
	lookup := &slopeLookup{slopes: slopes}
	out := []Requirement{
		directoryRequirement(lookup),
		entryRequirement(lookup),
		sessionRequirement(lookup),
		dispatcherRequirement(lookup),
		upstreamRequirement(lookup),
		configRequirement(lookup),
		memberRequirement(lookup),
		configReplicaRequirement(lookup),
		claimRequirement(lookup),
	}
	return out, lookup.err
}

func entryRequirement(lookup *slopeLookup) Requirement {
	authenticateTime := lookup.cost("entry.authenticate", workspaces)
	tokenTime := lookup.cost("entry.token", requestsPerSecPerEntry*streamSeconds)
	return Requirement{
		Role: entryRole, Class: Path, Mechanism: "internal/entry, internal/answer",
		StateBytes:     lookup.cost("entry.answer.memory", requestsPerSecPerEntry*streamSeconds),
		CoreShare:      (requestsPerSecPerEntry*authenticateTime + tokensPerSecPerEntry*tokenTime) / nsPerSec,
		MessagesPerSec: requestsPerSecPerEntry + tokensPerSecPerEntry,
		Derivation:     "requests x authentication at 1,700 workspaces, plus tokens x cost of one streamed token",
	}
}

// streamSeconds is the duration of a stream: tokens per request, at 28 ms a
// token.
const streamSeconds = float64(tokensPerSec) / requestsPerSec * 0.028

// sessionsPerDaemon is how many dispatcher sessions an entry keeps: one for each
// pool of its region.
const sessionsPerDaemon = float64(models)

func sessionRequirement(lookup *slopeLookup) Requirement {
	heartbeatBytes := lookup.cost("session.heartbeat.bytes", 1) + frameOverheadBytes
	return Requirement{
		Role: "scheduler's client", Class: Control, Mechanism: "internal/schedclient: a session a pool",
		WireBytesPerSec: sessionsPerDaemon * sessionHeartbeatsPerSec * heartbeatBytes,
		MessagesPerSec:  sessionsPerDaemon * sessionHeartbeatsPerSec,
		CoreShare:       sessionsPerDaemon * sessionHeartbeatsPerSec * lookup.cost("session.batch", 0) / nsPerSec,
		Derivation:      fmt.Sprintf("%d sessions x heartbeats both ways", int(sessionsPerDaemon)),
	}
}

func dispatcherRequirement(lookup *slopeLookup) Requirement {
	timePerGrant := lookup.cost("dispatcher.grant", runnersPerPool)
	bytesPerRequest := lookup.cost("wire.offer", 1) + lookup.cost("wire.grant", 1) + lookup.cost("wire.release", 1)
	return Requirement{
		Role: "dispatcher", Class: Path, Mechanism: "core/sched by a lease: one a pool and region",
		StateBytes:      lookup.cost("dispatcher.upstream.memory", runnersPerPool) + lookup.cost("dispatcher.queue.memory", requestsPerSecPerPool),
		WireBytesPerSec: requestsPerSecPerPool*bytesPerRequest + daemonsPerRegion*maxBatchesPerSec*2*frameOverheadBytes,
		CoreShare:       requestsPerSecPerPool * timePerGrant / nsPerSec,
		MessagesPerSec:  daemonsPerRegion * maxBatchesPerSec * 2,
		Derivation:      "2,171 requests/s and 286 upstreams a pool; one second of requests queued",
	}
}

func upstreamRequirement(lookup *slopeLookup) Requirement {
	announcementsPerSec := float64(runners) / daemons / announceIntervalSeconds
	return Requirement{
		Role: "upstream registry", Class: Control, Mechanism: "internal/registry: announcements with a lease",
		StateBytes:      float64(runners) / daemons * lookup.cost("dispatcher.upstream.memory", 1),
		WireBytesPerSec: announcementsPerSec * (lookup.cost("wire.announcement", 1) + lookup.cost("wire.upstream", 1) + 2*frameOverheadBytes),
		CoreShare:       announcementsPerSec * lookup.cost("registry.announce", 1) / nsPerSec,
		MessagesPerSec:  announcementsPerSec * 2,
		Derivation:      "14.3 upstreams a daemon, each announced twice a second and passed on once",
	}
}

func memberRequirement(lookup *slopeLookup) Requirement {
	messages := lookup.cost("member.messages", daemons)
	return Requirement{
		Role: "membership", Class: Control, Mechanism: "core/member: random probes with suspicion",
		StateBytes:      lookup.cost("member.memory", daemons),
		WireBytesPerSec: lookup.cost("member.bytes", daemons) + messages*frameOverheadBytes,
		CoreShare:       lookup.cost("member.time", daemons) / nsPerSec,
		MessagesPerSec:  messages,
		Derivation:      "slopes over 9 to 300 daemons in virtual time, encoding not in the time",
	}
}

func configRequirement(lookup *slopeLookup) Requirement {
	return Requirement{
		Role: "configuration on each daemon", Class: Control, Mechanism: "internal/view: digest-chained deltas",
		StateBytes:      lookup.cost("config.memory", workspaces),
		WireBytesPerSec: changesPerSec * lookup.cost("config.delta.bytes", workspaces),
		CoreShare:       changesPerSec * lookup.cost("config.apply", workspaces) / nsPerSec,
		MessagesPerSec:  changesPerSec,
		Derivation:      "0.47 changes/s, one workspace changed in each",
	}
}

func configReplicaRequirement(lookup *slopeLookup) Requirement {
	fanout := float64(daemons) / replicas
	return Requirement{
		Role: "configuration replica", Class: Control, OnReservedInstance: true, Mechanism: "internal/replica: watches of all daemons",
		StateBytes:      lookup.cost("config.memory", workspaces) * keptVersionsFactor,
		WireBytesPerSec: fanout * changesPerSec * (lookup.cost("config.delta.bytes", workspaces) + frameOverheadBytes),
		CoreShare:       fanout * changesPerSec * lookup.cost("config.diff", workspaces) / nsPerSec,
		MessagesPerSec:  fanout * changesPerSec,
		Derivation:      "5 replicas among the 18 instances set aside; each watched by 140 daemons",
	}
}

const (
	// replicas is the size of the configuration's log group.
	replicas = 5
	// keptVersionsFactor allows for the earlier versions kept to calculate deltas;
	// versions share unchanged files.
	keptVersionsFactor = 2
)

func claimRequirement(lookup *slopeLookup) Requirement {
	claimsPerSecPerGroup := float64(requestsPerSec) / regions * keyedShare
	claimBytes := lookup.cost("claim.bytes", 1)
	return Requirement{
		Role: "claims replica", Class: Path, Mechanism: "core/state in a log group a region",
		StateBytes:      lookup.cost("claim.memory", claimsPerSecPerGroup*claimRetentionSeconds),
		WireBytesPerSec: claimsPerSecPerGroup * claimBytes * 2,
		CoreShare:       claimsPerSecPerGroup * 2 * lookup.cost("claim.apply", claimsPerSecPerGroup*claimRetentionSeconds) / nsPerSec,
		MessagesPerSec:  claimsPerSecPerGroup,
		Derivation:      "one request in ten carries a key; two commands each; claims kept for 30 minutes",
	}
}

const (
	// keyedShare is the share of requests that carry the caller's key.
	keyedShare = 0.1
	// claimRetentionSeconds is how long claims are kept.
	claimRetentionSeconds = 30 * 60
)

func directoryRequirement(lookup *slopeLookup) Requirement {
	lookupsPerSec := requestsPerSecPerEntry / requestsPerDirectoryAnswer
	return Requirement{
		Role: "directory", Class: Path, Mechanism: "internal/entry: any daemon answers, kept for 5 s by callers",
		WireBytesPerSec: lookupsPerSec * lookup.cost("directory.bytes", addressesPerDirectoryAnswer),
		CoreShare:       lookupsPerSec * lookup.cost("directory.answer", addressesPerDirectoryAnswer) / nsPerSec,
		MessagesPerSec:  lookupsPerSec,
		Derivation:      "a caller asks once in 20 requests; an answer names 8 daemons",
	}
}

const (
	// requestsPerDirectoryAnswer is how many requests a caller sends with the
	// addresses of one answer.
	requestsPerDirectoryAnswer = 20
	// addressesPerDirectoryAnswer is how many addresses an answer holds.
	addressesPerDirectoryAnswer = 8
)
