package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// idempotencyKeyHeader carries the caller's own key.
	idempotencyKeyHeader = "Idempotency-Key"
	// requestKeyHeader carries the key of the request in responses, the caller's
	// own or an issued one.
	requestKeyHeader = "Verbenastep-Request"
	// maxKeyBytes is the maximum length of a caller's key.
	maxKeyBytes = 200
	// issuedKeyPrefix is the prefix of keys that an entry issued.
	issuedKeyPrefix = "vb-"
	// bytesPerToken is the average used to estimate prompt tokens.
	bytesPerToken = 4
	// defaultBlockTokens is the size of a prefix block if the model declares none.
	defaultBlockTokens = 64
	// maxPrefixBlocks is the maximum number of prefix blocks that are hashed.
	maxPrefixBlocks = 64
	// timeoutHeader carries how long the caller waits for the complete answer, in
	// milliseconds.
	timeoutHeader = "Verbenastep-Timeout-Ms"
	// issuedKeySeparator separates the daemon's name from the random part of an
	// issued key.
	issuedKeySeparator = "."
)

// request is a caller's authenticated request.
type request struct {
	workspace config.Workspace
	key       string
	// hasCallerKey reports that the caller chose the key.
	hasCallerKey bool
	digest       string
	pool         string
	operation    config.Operation
	plainService bool
	deadline     time.Time
	body         []byte
	header       http.Header
	method       string
	path         string
	prompt       string
	maxTokens    int
	options      map[string]json.RawMessage
	// form is the response format.
	form string
	// joinOnly reports that the request follows an existing claim and dispatches
	// nothing.
	joinOnly bool
	// knownNotRunAttempt is the newest attempt under the key that this entry knew,
	// at acceptance, to be recorded as not run.
	knownNotRunAttempt uint64
	// stream is the ID of the stream if the request is dispatched.
	stream string
	// tier is the index in the configured tiers, tierName the tier's name.
	tier     int
	tierName string
	// goodput is the time within which a complete answer counts as goodput.
	goodput  time.Duration
	accepted time.Time
	// memoryReleases release the memory of the body. submitted reports that the
	// execution calls them.
	memoryReleases []func()
	submitted      bool
}

// releaseMemory releases the memory reserved for the body. It may be called more
// than once.
func (r *request) releaseMemory() {
	for _, release := range r.memoryReleases {
		release()
	}
}

// releaseMemoryUnlessSubmitted releases the memory if no execution will.
func (r *request) releaseMemoryUnlessSubmitted() {
	if !r.submitted {
		r.releaseMemory()
	}
}

// mustRunOnce reports whether the request must not be executed twice.
func (r *request) mustRunOnce() bool { return r.plainService && !r.operation.Idempotent }

// authenticate returns the workspace of the bearer key.
func (s *Service) authenticate(c echo.Context) (config.Workspace, error) {
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		if w, ok := s.view.Snapshot().Config.WorkspaceByKey(config.HashKey(key)); ok {
			return w, nil
		}
	}
	return config.Workspace{}, fault.New(fault.Unauthenticated, `send "Authorization: Bearer" with a key of the workspace`, "the bearer key is missing or unknown")
}

// prepare authenticates the caller, checks or issues the key, sets the deadline
// and reads the body.
func (s *Service) prepare(c echo.Context) (*request, error) {
	w, err := s.authenticate(c)
	if err != nil {
		return nil, err
	}
	r := &request{workspace: w, method: c.Request().Method, header: c.Request().Header, key: c.Request().Header.Get(idempotencyKeyHeader), accepted: time.Now()}
	r.hasCallerKey = r.key != ""
	if len(r.key) > maxKeyBytes || strings.HasPrefix(r.key, issuedKeyPrefix) {
		return nil, fault.New(fault.Malformed, `give a key of at most 200 bytes that does not begin with "vb-"`, "the idempotency key is not acceptable")
	}
	if !r.hasCallerKey {
		r.key = issuedKeyPrefix + s.self.Name + issuedKeySeparator + randomID()
	}
	r.stream = w.Name + "-" + randomID()
	r.knownNotRunAttempt = s.notRun.newest(w.Name, r.key)
	if err := s.setDeadlineAndTier(c, r); err != nil {
		return nil, err
	}
	if err := s.readBody(c, r); err != nil {
		r.releaseMemory()
		return nil, err
	}
	return r, nil
}

// setDeadlineAndTier sets the deadline, the tier and the goodput time.
func (s *Service) setDeadlineAndTier(c echo.Context, r *request) error {
	cfg := s.view.Snapshot().Config
	ms := cfg.EffectiveTimeouts().RequestMS
	if text := c.Request().Header.Get(timeoutHeader); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 {
			return fault.New(fault.Malformed, "give whole milliseconds above zero", "%s is %q", timeoutHeader, text)
		}
		ms = min(ms, n)
	}
	r.deadline = r.accepted.Add(time.Duration(ms) * time.Millisecond)
	r.tierName = r.workspace.Tier
	if i, ok := cfg.TierIndex(r.workspace.Tier); ok {
		r.tier = i
		r.goodput = time.Duration(cfg.Tiers[i].GoodputMS) * time.Millisecond
	}
	return nil
}

// issuingEntry returns the name of the daemon that issued a key.
func issuingEntry(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, issuedKeyPrefix)
	i := strings.LastIndex(rest, issuedKeySeparator)
	if !ok || i < 0 {
		return "", false
	}
	return rest[:i], true
}

func randomID() string {
	return strings.ToLower(rand.Text())
}

// hashParts returns the SHA-256 hash of the parts and their lengths, in hex. Two
// requests with the same hash have the same content.
func hashParts(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		n := binary.LittleEndian.AppendUint64(nil, uint64(len(p)))
		h.Write(n)
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// prefixBlocks returns the hashes of the prompt's leading blocks, by which the
// scheduler finds cached prefixes. Each hash covers all blocks up to its own.
func prefixBlocks(prompt string, blockTokens int64) []uint64 {
	if blockTokens == 0 {
		blockTokens = defaultBlockTokens
	}
	size := int(blockTokens) * bytesPerToken
	out := []uint64{}
	h := sha256.New()
	for len(prompt) >= size && len(out) < maxPrefixBlocks {
		h.Write([]byte(prompt[:size]))
		out = append(out, binary.LittleEndian.Uint64(h.Sum(nil)))
		prompt = prompt[size:]
	}
	return out
}

// schedulerRequest returns the request as the scheduler receives it.
func (r *request) schedulerRequest(c *config.Config) port.Request {
	out := port.Request{
		Pool: r.pool, Workspace: r.workspace.Name, Operation: r.operation.Name,
		PromptTokens: len(r.prompt)/bytesPerToken + 1, MaxTokens: r.maxTokens, Deadline: r.deadline,
	}
	raw, _ := hex.DecodeString(r.digest)
	out.Fingerprint = binary.LittleEndian.Uint64(raw)
	if m, ok := c.Model(r.pool); ok {
		out.Blocks = prefixBlocks(r.prompt, m.BlockTokens)
	}
	return out
}
