// Package state implements the replicated state machine: the accepted
// configuration, leases, claims on request keys, crash suspects, the route table
// and the rollouts. Each replica applies the committed log entries to its own Machine.
//
// The machine changes only by committed commands, in log order, and is
// deterministic: it reads no clock, times are part of the commands. Invariants:
// the configuration version only increases, by one with each accepted change; a
// lease's epoch only increases; a dispatched claim never becomes undispatched
// before it is trimmed; a rollout's phase and reservation never go back.
package state

import (
	"bytes"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/core/rollout"
)

// Command is one log entry. Exactly one field is set.
type Command struct {
	Apply   *Apply   `json:"apply,omitempty"`
	Acquire *Acquire `json:"acquire,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
	Claim   *Claim   `json:"claim,omitempty"`
	Finish  *Finish  `json:"finish,omitempty"`
	Trim    *Trim    `json:"trim,omitempty"`
	Suspect *Suspect `json:"suspect,omitempty"`
	Publish *Publish `json:"publish,omitempty"`
	Rollout *Rollout `json:"rollout,omitempty"`
}

// Result is the result of one command.
type Result struct {
	// Status is the outcome of the command.
	Status Status `json:"status"`
	// Version and Digest identify the accepted configuration after an Apply.
	// After a Publish, Version is that of the route table in force.
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	// Winner is the operator whose change a conflicting Apply lost to: the
	// first accepted on the same base if that is still known, otherwise the
	// latest.
	Winner string `json:"winner,omitempty"`
	// Lease is the lease after an Acquire or Expire.
	Lease *Lease `json:"lease,omitempty"`
	// Claim is the claim in force after a Claim or Finish. The caller must not
	// change it.
	Claim *Claim `json:"claim,omitempty"`
	// Differences lists where the files of a conflicting Apply differ from the
	// accepted ones.
	Differences []config.Difference `json:"differences,omitempty"`
	// Rollout is the pool's rollout after a Rollout command; it is missing if there was
	// none.
	Rollout *rollout.Record `json:"rollout,omitempty"`
}

// Status is the outcome of a command.
type Status string

// Statuses.
const (
	// OK means that the command took effect, now or when it was first sent.
	OK Status = "ok"
	// Conflict means that an earlier command conflicts; the result describes
	// it.
	Conflict Status = "conflict"
	// Exists means that the key is already claimed for the same content.
	Exists Status = "exists"
	// Held means that another holder has the lease.
	Held Status = "held"
	// Invalid means that the command is malformed; nothing changed.
	Invalid Status = "invalid"
	// NotFound means that the named claim or lease does not exist.
	NotFound Status = "not_found"
	// Full means that MaxClaimBytes is reached; nothing changed.
	Full Status = "full"
	// Superseded means that a route table of the same or a higher version is in
	// force; nothing changed.
	Superseded Status = "superseded"
)

// Apply replaces the whole configuration by compare-and-set on its version.
type Apply struct {
	// Base is the version that the change is based on.
	Base uint64 `json:"base"`
	// Files is the complete new configuration.
	Files config.Files `json:"files"`
	// Operator is the name of the operator who sent the change.
	Operator string `json:"operator"`
}

// Lease assigns a role to one holder until an Expire ends it.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Epoch increases with each new holder and fences off orders of earlier
	// ones; zero means that the lease was never held.
	Epoch uint64 `json:"epoch"`
}

// Acquire takes a lease that nobody holds. For the current holder it changes
// nothing and returns the same epoch.
type Acquire struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// Expire ends a lease that its holder has not renewed or has given up. It has no
// effect if the epoch is not the current one.
type Expire struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// Claim records that a request is dispatched. It is committed before the first
// byte is sent to the upstream.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest is the hash of the request's content, which distinguishes a resend
	// from another request under the same key.
	Digest string `json:"digest"`
	// Entry is the peer address of the dispatching daemon.
	Entry    string `json:"entry"`
	Pool     string `json:"pool"`
	Upstream string `json:"upstream"`
	// Address is the upstream's address, for resuming the stream.
	Address string `json:"address"`
	// Stream identifies the dispatch.
	Stream string `json:"stream"`
	// AtMS is the proposer's wall clock time in Unix milliseconds, for Trim.
	AtMS int64 `json:"at_ms"`
	// Done, Status, ContentType, Body, Length and Unknown are set by Finish.
	Done        bool   `json:"done,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the complete answer if it is short enough to be kept in the log.
	Body []byte `json:"body,omitempty"`
	// Length is the answer's size in bytes, whether or not Body holds it.
	Length int64 `json:"length,omitempty"`
	// Unknown is set if it can't be determined whether the request completed.
	Unknown bool `json:"unknown,omitempty"`
	// Attempt numbers the claims on one key, from 1; zero counts as 1. A claim
	// that ended as NotRun is replaced by the next attempt with the same
	// content.
	Attempt uint64 `json:"attempt,omitempty"`
	// NotRun is set if the attempt sent nothing and never will.
	NotRun bool `json:"not_run,omitempty"`
}

// Finish records how a claimed request ended. The first Finish is final, except
// that a later one replaces an unknown outcome.
type Finish struct {
	Workspace   string `json:"workspace"`
	Key         string `json:"key"`
	Stream      string `json:"stream"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Length      int64  `json:"length,omitempty"`
	Unknown     bool   `json:"unknown,omitempty"`
	NotRun      bool   `json:"not_run,omitempty"`
}

// Trim removes claims and suspects made before a time. It visits the claims in
// commit order and stops at the first newer one. Then it removes recorded
// answers of the remaining claims, oldest first, until the rest fits in
// AnswerBytes.
type Trim struct {
	// BeforeMS is a time in Unix milliseconds.
	BeforeMS int64 `json:"before_ms"`
	// AnswerBytes bounds the size of the recorded answers; zero means no limit.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
}

// Suspect records that a request was in flight on an upstream that died.
type Suspect struct {
	Pool string `json:"pool"`
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes is the number of upstreams that died so far; zero removes the
	// suspect.
	Crashes int   `json:"crashes"`
	AtMS    int64 `json:"at_ms"`
}

// suspectKey identifies a suspect.
type suspectKey struct {
	pool        string
	fingerprint uint64
}

// claimKey identifies a claim; each workspace has its own key space.
type claimKey struct {
	workspace string
	key       string
}

// MaxClaimBytes bounds the memory of all claims, without recorded answers.
const MaxClaimBytes = 1 << 30

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	versions []version
	// applied lists accepted changes, oldest first, to recognize resent ones.
	applied []appliedChange
	leases  map[string]Lease
	// claims are replaced, never changed in place, because a Frozen shares
	// them.
	claims map[claimKey]*Claim
	// claimOrder lists claims by commit, for trimming.
	claimOrder []claimKey
	// claimBytes is the size of all claims without recorded answers,
	// answerBytes that of the recorded answers.
	claimBytes  int64
	answerBytes int64
	suspects    map[suspectKey]Suspect
	// table is the route table in force; version zero means none.
	table Publish
	// rollouts holds the last rollout of each pool.
	rollouts rollout.Book
}

// New returns an empty state with configuration version zero.
func New() *Machine {
	return &Machine{
		versions: []version{{files: config.Files{}, digest: config.Files{}.Digest()}},
		leases:   map[string]Lease{},
		claims:   map[claimKey]*Claim{},
		suspects: map[suspectKey]Suspect{},
	}
}

// Apply executes one committed command and returns its result.
func (m *Machine) Apply(c Command) Result {
	switch {
	case c.Apply != nil:
		return m.applyConfig(c.Apply)
	case c.Acquire != nil:
		return m.applyAcquire(c.Acquire)
	case c.Expire != nil:
		return m.applyExpire(c.Expire)
	case c.Claim != nil:
		return m.applyClaim(c.Claim)
	case c.Finish != nil:
		return m.applyFinish(c.Finish)
	case c.Trim != nil:
		return m.applyTrim(c.Trim)
	case c.Suspect != nil:
		return m.applySuspect(c.Suspect)
	case c.Publish != nil:
		return m.applyPublish(c.Publish)
	case c.Rollout != nil:
		return m.applyRollout(c.Rollout)
	}
	return Result{Status: Invalid}
}

func (m *Machine) current() version {
	return m.versions[len(m.versions)-1]
}

// Config returns the accepted configuration's version, digest and files. The
// caller must not change the files.
func (m *Machine) Config() (number uint64, digest string, files config.Files) {
	v := m.current()
	return v.number, v.digest, v.files
}

func (m *Machine) applyAcquire(a *Acquire) Result {
	if a.Name == "" || a.Holder == "" {
		return Result{Status: Invalid}
	}
	l := m.leases[a.Name]
	if l.Holder != "" && l.Holder != a.Holder {
		return Result{Status: Held, Lease: &l}
	}
	if l.Holder == "" {
		l = Lease{Name: a.Name, Holder: a.Holder, Epoch: l.Epoch + 1}
		m.leases[a.Name] = l
	}
	return Result{Status: OK, Lease: &l}
}

func (m *Machine) applyExpire(e *Expire) Result {
	l, ok := m.leases[e.Name]
	if !ok {
		return Result{Status: NotFound}
	}
	if l.Epoch != e.Epoch {
		return Result{Status: Conflict, Lease: &l}
	}
	l.Holder = ""
	m.leases[e.Name] = l
	return Result{Status: OK, Lease: &l}
}

// Lease returns the named lease. Its holder is empty if nobody holds it.
func (m *Machine) Lease(name string) Lease {
	l := m.leases[name]
	l.Name = name
	return l
}

// Leases returns a copy of all leases.
func (m *Machine) Leases() map[string]Lease {
	out := make(map[string]Lease, len(m.leases))
	for n, l := range m.leases {
		out[n] = l
	}
	return out
}

// applyClaim adds a claim unless the request's key has one already.
func (m *Machine) applyClaim(c *Claim) Result {
	if c.Workspace == "" || c.Key == "" || c.Stream == "" {
		return Result{Status: Invalid}
	}
	k := claimKey{workspace: c.Workspace, key: c.Key}
	if old, ok := m.claims[k]; ok && old.isReplaceableBy(c) {
		m.claims[k] = c.clone()
		m.claimBytes += c.sizeBytes() - old.sizeBytes()
		m.answerBytes -= int64(len(old.Body))
		return Result{Status: OK, Claim: c.clone()}
	}
	if old, ok := m.claims[k]; ok {
		return Result{Status: old.compareProposal(c), Claim: old.clone()}
	}
	if m.claimBytes+c.sizeBytes() > MaxClaimBytes {
		return Result{Status: Full}
	}
	created := c.clone()
	m.claims[k] = created
	m.claimOrder = append(m.claimOrder, k)
	m.claimBytes += created.sizeBytes()
	m.answerBytes += int64(len(created.Body))
	return Result{Status: OK, Claim: created}
}

// compareProposal returns OK for a retried proposal, Exists for a resend of the
// same content and Conflict for different content.
func (c *Claim) compareProposal(other *Claim) Status {
	if c.Stream == other.Stream {
		return OK
	}
	if c.Digest == other.Digest {
		return Exists
	}
	return Conflict
}

// isReplaceableBy reports whether the next attempt may replace the claim.
func (c *Claim) isReplaceableBy(next *Claim) bool {
	return c.NotRun && c.Digest == next.Digest && next.Attempt == max(c.Attempt, 1)+1
}

// claimOverheadBytes estimates the memory of a claim besides its strings.
const claimOverheadBytes = 256

// sizeBytes estimates the claim's memory without its recorded answer.
func (c *Claim) sizeBytes() int64 {
	n := len(c.Workspace) + len(c.Key) + len(c.Digest) + len(c.Entry) + len(c.Pool) + len(c.Upstream) + len(c.Address) + len(c.Stream)
	return claimOverheadBytes + int64(n)
}

func (c *Claim) clone() *Claim {
	out := *c
	out.Body = bytes.Clone(c.Body)
	return &out
}

func (m *Machine) applyFinish(f *Finish) Result {
	k := claimKey{workspace: f.Workspace, key: f.Key}
	c, ok := m.claims[k]
	if !ok || c.Stream != f.Stream {
		return Result{Status: NotFound}
	}
	if c.Done && !c.Unknown {
		return Result{Status: OK, Claim: c.clone()}
	}
	c = c.clone()
	m.claims[k] = c
	m.answerBytes += int64(len(f.Body)) - int64(len(c.Body))
	c.Done = true
	c.Status = f.Status
	c.ContentType = f.ContentType
	c.Body = bytes.Clone(f.Body)
	c.Length = f.Length
	c.Unknown = f.Unknown
	c.NotRun = f.NotRun
	return Result{Status: OK, Claim: c.clone()}
}

// Claim returns a copy of the claim on a workspace's key, and false if there is
// none.
func (m *Machine) Claim(workspace, key string) (Claim, bool) {
	c, ok := m.claims[claimKey{workspace: workspace, key: key}]
	if !ok {
		return Claim{}, false
	}
	return *c.clone(), true
}

func (m *Machine) applyTrim(t *Trim) Result {
	n := 0
	for n < len(m.claimOrder) && m.claims[m.claimOrder[n]].AtMS < t.BeforeMS {
		old := m.claims[m.claimOrder[n]]
		m.claimBytes -= old.sizeBytes()
		m.answerBytes -= int64(len(old.Body))
		delete(m.claims, m.claimOrder[n])
		n++
	}
	m.claimOrder = append([]claimKey{}, m.claimOrder[n:]...)
	m.trimAnswers(t.AnswerBytes)
	for k, s := range m.suspects {
		if s.AtMS < t.BeforeMS {
			delete(m.suspects, k)
		}
	}
	return Result{Status: OK}
}

// trimAnswers removes recorded answers, oldest first. Their claims stay, so
// that the keys can't run again.
func (m *Machine) trimAnswers(maxBytes int64) {
	for _, k := range m.claimOrder {
		if maxBytes == 0 || m.answerBytes <= maxBytes {
			return
		}
		old := m.claims[k]
		if old.Body == nil {
			continue
		}
		m.answerBytes -= int64(len(old.Body))
		kept := *old
		kept.Body = nil
		m.claims[k] = &kept
	}
}

// OldestClaim returns the time of the oldest claim in Unix milliseconds, and
// false if there is none.
func (m *Machine) OldestClaim() (int64, bool) {
	if len(m.claimOrder) == 0 {
		return 0, false
	}
	return m.claims[m.claimOrder[0]].AtMS, true
}

// AnswerBytes returns the size of all recorded answers in bytes.
func (m *Machine) AnswerBytes() int64 { return m.answerBytes }

func (m *Machine) applySuspect(s *Suspect) Result {
	k := suspectKey{pool: s.Pool, fingerprint: s.Fingerprint}
	if s.Crashes <= 0 {
		delete(m.suspects, k)
		return Result{Status: OK}
	}
	m.suspects[k] = *s
	return Result{Status: OK}
}

// Suspects returns a copy of the suspects in no particular order.
func (m *Machine) Suspects() []Suspect {
	out := make([]Suspect, 0, len(m.suspects))
	for _, s := range m.suspects {
		out = append(out, s)
	}
	return out
}

// ClaimCount returns the number of claims.
func (m *Machine) ClaimCount() int {
	return len(m.claims)
}
