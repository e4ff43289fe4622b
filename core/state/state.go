// Package state is the replicated state machine: the accepted configuration,
// leases, claims on request keys, and the route table.
//
// It is driven only by committed commands, in the log's order, and is
// deterministic: it reads no clock, time comes inside commands. Invariants:
// the configuration's version only grows, by one an apply; a lease's epoch only
// grows; a claim that is dispatched never becomes undispatched before it is
// trimmed.
package state

import (
	"bytes"

	"github.com/verbenastep/verbenastep/core/config"
)

// Command is one log entry: exactly one field is set.
type Command struct {
	Apply   *Apply   `json:"apply,omitempty"`
	Acquire *Acquire `json:"acquire,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
	Claim   *Claim   `json:"claim,omitempty"`
	Finish  *Finish  `json:"finish,omitempty"`
	Trim    *Trim    `json:"trim,omitempty"`
	Suspect *Suspect `json:"suspect,omitempty"`
	Publish *Publish `json:"publish,omitempty"`
}

// Result answers one command.
type Result struct {
	// Status says how the command ended.
	Status Status `json:"status"`
	// Version and Digest are the accepted configuration's after an Apply.
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	// Winner is who applied the version that a conflicting Apply lost to: the
	// first on the same base where that is still known.
	Winner string `json:"winner,omitempty"`
	// Lease is the lease after an Acquire or Expire.
	Lease *Lease `json:"lease,omitempty"`
	// Claim is the claim that stands after a Claim or Finish; it must not be
	// changed.
	Claim *Claim `json:"claim,omitempty"`
	// Differences lists, after a conflicting Apply, where its files and the
	// accepted ones differ.
	Differences []config.Difference `json:"differences,omitempty"`
}

// Status is a command's outcome.
type Status string

// Statuses.
const (
	// OK says that the command took effect, or had done so before.
	OK Status = "ok"
	// Conflict says that another command won; the result shows it.
	Conflict Status = "conflict"
	// Exists says that the key is claimed already with the same content.
	Exists Status = "exists"
	// Held says that another holder has the lease.
	Held Status = "held"
	// Invalid says that the command is malformed; nothing changed.
	Invalid Status = "invalid"
	// NotFound says that the command names something the state lacks.
	NotFound Status = "not_found"
	// Full says that the claims' bound in bytes is reached; nothing changed.
	Full Status = "full"
	// Superseded says that a route table of the same or a higher version is
	// held; nothing changed.
	Superseded Status = "superseded"
)

// Apply replaces the configuration as a whole by compare-and-set.
type Apply struct {
	// Base is the version the operator started from.
	Base uint64 `json:"base"`
	// Files is the whole new content.
	Files    config.Files `json:"files"`
	Operator string       `json:"operator"`
}

// Lease gives one holder a role until it is expired.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Epoch fences orders of earlier holders; zero means never held.
	Epoch uint64 `json:"epoch"`
}

// Acquire takes a lease that nobody holds. For the present holder it changes
// nothing and answers the same epoch.
type Acquire struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// Expire ends a lease that its holder has not renewed, or gives up. It has no
// effect where the epoch is not the present one.
type Expire struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// Claim records, before the first byte goes out, that a request is dispatched.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest is the hash of the request's content.
	Digest string `json:"digest"`
	// Entry is the daemon that dispatches.
	Entry    string `json:"entry"`
	Pool     string `json:"pool"`
	Upstream string `json:"upstream"`
	// Address is the upstream's, for resuming the stream.
	Address string `json:"address"`
	Stream  string `json:"stream"`
	// AtMS is the proposer's wall time in Unix milliseconds, for retention.
	AtMS int64 `json:"at_ms"`
	// Done, Status, ContentType, Body, Length and Unknown are set by Finish.
	Done        bool   `json:"done,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole answer where it is short enough to be kept in the log.
	Body   []byte `json:"body,omitempty"`
	Length int64  `json:"length,omitempty"`
	// Unknown says that nobody can tell whether the request ran to its end.
	Unknown bool `json:"unknown,omitempty"`
	// Attempt numbers the claims on one key, from 1; zero counts as 1. A claim
	// that ended as NotRun gives way to the next attempt of the same content.
	Attempt uint64 `json:"attempt,omitempty"`
	// NotRun says that the attempt sent nothing and never will.
	NotRun bool `json:"not_run,omitempty"`
}

// Finish records how a claimed request ended. The first Finish stands, but an
// answer replaces an unknown outcome.
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

// Trim drops claims made before a time, oldest first, and the recorded answers
// of further ones, oldest first, until the rest fits.
type Trim struct {
	BeforeMS int64 `json:"before_ms"`
	// AnswerBytes bounds the recorded answers; zero means no bound.
	AnswerBytes int64 `json:"answer_bytes,omitempty"`
}

// Suspect records that a request was in flight on an upstream that died.
type Suspect struct {
	Pool string `json:"pool"`
	// Fingerprint identifies the request's content.
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes is how many upstreams died so far; zero clears the suspicion.
	Crashes int   `json:"crashes"`
	AtMS    int64 `json:"at_ms"`
}

// suspectKey identifies a suspect.
type suspectKey struct {
	pool        string
	fingerprint uint64
}

// claimKey identifies a claim: keys of two workspaces never meet.
type claimKey struct {
	workspace string
	key       string
}

// MaxClaimBytes bounds what claims take, without the recorded answers.
const MaxClaimBytes = 1 << 30

// Machine is the state. It is not safe for concurrent use.
type Machine struct {
	versions []version
	// applied lists accepted changes, oldest first, for resent ones.
	applied []accepted
	leases  map[string]Lease
	// claims are never changed in place, so that a frozen state may share them.
	claims map[claimKey]*Claim
	// order lists claims by commit, for trimming.
	order []claimKey
	// claimBytes and answerBytes are the claims' sizes without and of their
	// recorded answers.
	claimBytes  int64
	answerBytes int64
	suspects    map[suspectKey]Suspect
	// table is the route table in force; version zero means none.
	table Publish
}

// New returns the empty state at configuration version zero.
func New() *Machine {
	return &Machine{
		versions: []version{{files: config.Files{}, digest: config.Files{}.Digest()}},
		leases:   map[string]Lease{},
		claims:   map[claimKey]*Claim{},
		suspects: map[suspectKey]Suspect{},
	}
}

// Apply executes one committed command.
func (m *Machine) Apply(c Command) Result {
	switch {
	case c.Apply != nil:
		return m.applyConfig(c.Apply)
	case c.Acquire != nil:
		return m.acquire(c.Acquire)
	case c.Expire != nil:
		return m.expire(c.Expire)
	case c.Claim != nil:
		return m.claim(c.Claim)
	case c.Finish != nil:
		return m.finish(c.Finish)
	case c.Trim != nil:
		return m.trim(c.Trim)
	case c.Suspect != nil:
		return m.suspect(c.Suspect)
	case c.Publish != nil:
		return m.publish(c.Publish)
	}
	return Result{Status: Invalid}
}

func (m *Machine) current() version {
	return m.versions[len(m.versions)-1]
}

// Config returns the accepted version, its digest and its files, which the
// caller must not change.
func (m *Machine) Config() (number uint64, digest string, files config.Files) {
	v := m.current()
	return v.number, v.digest, v.files
}

func (m *Machine) acquire(a *Acquire) Result {
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

func (m *Machine) expire(e *Expire) Result {
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

// Lease returns a lease; its holder is empty where nobody has it.
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

// claim is the compare-and-set on a request's key.
func (m *Machine) claim(c *Claim) Result {
	if c.Workspace == "" || c.Key == "" || c.Stream == "" {
		return Result{Status: Invalid}
	}
	k := claimKey{workspace: c.Workspace, key: c.Key}
	if old, ok := m.claims[k]; ok && old.yields(c) {
		m.claims[k] = c.clone()
		m.claimBytes += c.size() - old.size()
		m.answerBytes -= int64(len(old.Body))
		return Result{Status: OK, Claim: c.clone()}
	}
	if old, ok := m.claims[k]; ok {
		return Result{Status: old.compare(c), Claim: old.clone()}
	}
	if m.claimBytes+c.size() > MaxClaimBytes {
		return Result{Status: Full}
	}
	made := c.clone()
	m.claims[k] = made
	m.order = append(m.order, k)
	m.claimBytes += made.size()
	m.answerBytes += int64(len(made.Body))
	return Result{Status: OK, Claim: made}
}

// compare tells a retried proposal, a resend and a conflict apart.
func (c *Claim) compare(other *Claim) Status {
	if c.Stream == other.Stream {
		return OK
	}
	if c.Digest == other.Digest {
		return Exists
	}
	return Conflict
}

// yields tells whether the next attempt may replace the claim.
func (c *Claim) yields(next *Claim) bool {
	return c.NotRun && c.Digest == next.Digest && next.Attempt == max(c.Attempt, 1)+1
}

// claimOverhead is what a claim takes besides its strings, in bytes.
const claimOverhead = 256

// size is what the claim takes in memory without its recorded answer.
func (c *Claim) size() int64 {
	n := len(c.Workspace) + len(c.Key) + len(c.Digest) + len(c.Entry) + len(c.Pool) + len(c.Upstream) + len(c.Address) + len(c.Stream)
	return claimOverhead + int64(n)
}

func (c *Claim) clone() *Claim {
	out := *c
	out.Body = bytes.Clone(c.Body)
	return &out
}

func (m *Machine) finish(f *Finish) Result {
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

// Claim finds the claim on a workspace's key.
func (m *Machine) Claim(workspace, key string) (Claim, bool) {
	c, ok := m.claims[claimKey{workspace: workspace, key: key}]
	if !ok {
		return Claim{}, false
	}
	return *c.clone(), true
}

func (m *Machine) trim(t *Trim) Result {
	n := 0
	for n < len(m.order) && m.claims[m.order[n]].AtMS < t.BeforeMS {
		old := m.claims[m.order[n]]
		m.claimBytes -= old.size()
		m.answerBytes -= int64(len(old.Body))
		delete(m.claims, m.order[n])
		n++
	}
	m.order = append([]claimKey{}, m.order[n:]...)
	m.trimAnswers(t.AnswerBytes)
	for k, s := range m.suspects {
		if s.AtMS < t.BeforeMS {
			delete(m.suspects, k)
		}
	}
	return Result{Status: OK}
}

// trimAnswers drops recorded answers, oldest first. Their claims stay, so that
// the keys still can't run again.
func (m *Machine) trimAnswers(bound int64) {
	for _, k := range m.order {
		if bound == 0 || m.answerBytes <= bound {
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

// Oldest returns when the oldest claim was made, in Unix milliseconds, and
// false where there is none.
func (m *Machine) Oldest() (int64, bool) {
	if len(m.order) == 0 {
		return 0, false
	}
	return m.claims[m.order[0]].AtMS, true
}

// AnswerBytes returns the size of the recorded answers.
func (m *Machine) AnswerBytes() int64 { return m.answerBytes }

func (m *Machine) suspect(s *Suspect) Result {
	k := suspectKey{pool: s.Pool, fingerprint: s.Fingerprint}
	if s.Crashes <= 0 {
		delete(m.suspects, k)
		return Result{Status: OK}
	}
	m.suspects[k] = *s
	return Result{Status: OK}
}

// Suspects lists the suspects in no order.
func (m *Machine) Suspects() []Suspect {
	out := make([]Suspect, 0, len(m.suspects))
	for _, s := range m.suspects {
		out = append(out, s)
	}
	return out
}

// Claims returns how many claims are held.
func (m *Machine) Claims() int {
	return len(m.claims)
}
