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
	// headerKey carries the caller's own key.
	headerKey = "Idempotency-Key"
	// headerRequest carries the request's key back, the caller's or one issued.
	headerRequest = "Verbenastep-Request"
	// maxKey is the longest key, in bytes.
	maxKey = 200
	// issuedPrefix marks keys that an entry issued.
	issuedPrefix = "vb-"
	// bytesPerToken estimates prompt tokens.
	bytesPerToken = 4
	// defaultBlockTokens is the prefix block where the model declares none.
	defaultBlockTokens = 64
	// maxBlocks bounds how many leading blocks are hashed.
	maxBlocks = 64
	// headerTimeoutMS is how long the caller waits for the whole answer, in
	// milliseconds.
	headerTimeoutMS = "Verbenastep-Timeout-Ms"
	// keySeparator separates an issued key's parts.
	keySeparator = "."
)

// request is a caller's request after it was checked.
type request struct {
	workspace config.Workspace
	key       string
	// callerKey says that the key is the caller's own.
	callerKey bool
	digest    string
	pool      string
	operation config.Operation
	plain     bool
	deadline  time.Time
	body      []byte
	header    http.Header
	method    string
	path      string
	prompt    string
	maxTokens int
	options   map[string]json.RawMessage
	// form is the shape in which the answer is written.
	form string
	// join says that a claim is followed and nothing is dispatched.
	join bool
	// known is the newest attempt that was known to be marked at acceptance.
	known uint64
	// stream names the request's only dispatch.
	stream string
	// tier is the position in the declared order, tierName its name.
	tier     int
	tierName string
	goodput  time.Duration
	accepted time.Time
	// lent are returns of memory; running says that the execution makes them.
	lent    []func()
	running bool
}

// giveBack returns the memory that was lent for the body.
func (r *request) giveBack() {
	for _, back := range r.lent {
		back()
	}
}

// giveBackUnlessRunning returns it where no execution will.
func (r *request) giveBackUnlessRunning() {
	if !r.running {
		r.giveBack()
	}
}

// once says that the request must not execute twice.
func (r *request) once() bool { return r.plain && !r.operation.Idempotent }

// identify finds the workspace of the bearer key.
func (s *Service) identify(c echo.Context) (config.Workspace, error) {
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		if w, ok := s.view.Snapshot().Config.WorkspaceByKey(config.HashKey(key)); ok {
			return w, nil
		}
	}
	return config.Workspace{}, fault.New(fault.Unauthenticated, `send "Authorization: Bearer" with a key of the workspace`, "the bearer key is missing or unknown")
}

// prepare authenticates the caller and reads the body.
func (s *Service) prepare(c echo.Context) (*request, error) {
	w, err := s.identify(c)
	if err != nil {
		return nil, err
	}
	r := &request{workspace: w, method: c.Request().Method, header: c.Request().Header, key: c.Request().Header.Get(headerKey), accepted: time.Now()}
	r.callerKey = r.key != ""
	if len(r.key) > maxKey || strings.HasPrefix(r.key, issuedPrefix) {
		return nil, fault.New(fault.Malformed, `give a key of at most 200 bytes that does not begin with "vb-"`, "the idempotency key is not acceptable")
	}
	if !r.callerKey {
		r.key = issuedPrefix + s.self.Name + keySeparator + randomID()
	}
	r.stream = w.Name + "-" + randomID()
	r.known = s.marks.attempt(w.Name, r.key)
	if err := s.setTimes(c, r); err != nil {
		return nil, err
	}
	if err := s.readBody(c, r); err != nil {
		r.giveBack()
		return nil, err
	}
	return r, nil
}

// setTimes fills in deadline, tier and goodput time.
func (s *Service) setTimes(c echo.Context, r *request) error {
	cfg := s.view.Snapshot().Config
	ms := cfg.EffectiveTimeouts().RequestMS
	if text := c.Request().Header.Get(headerTimeoutMS); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 {
			return fault.New(fault.Malformed, "give whole milliseconds above zero", "%s is %q", headerTimeoutMS, text)
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

// entryOfKey returns the daemon that issued a key.
func entryOfKey(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	i := strings.LastIndex(rest, keySeparator)
	if !ok || i < 0 {
		return "", false
	}
	return rest[:i], true
}

func randomID() string {
	return strings.ToLower(rand.Text())
}

// digestOf hashes what makes two requests the same.
func digestOf(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		n := binary.LittleEndian.AppendUint64(nil, uint64(len(p)))
		h.Write(n)
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// blocksOf hashes the prompt's leading blocks, each hash over all before.
func blocksOf(prompt string, blockTokens int64) []uint64 {
	if blockTokens == 0 {
		blockTokens = defaultBlockTokens
	}
	size := int(blockTokens) * bytesPerToken
	out := []uint64{}
	h := sha256.New()
	for len(prompt) >= size && len(out) < maxBlocks {
		h.Write([]byte(prompt[:size]))
		out = append(out, binary.LittleEndian.Uint64(h.Sum(nil)))
		prompt = prompt[size:]
	}
	return out
}

// schedulable is what the scheduler sees of the request.
func (r *request) schedulable(c *config.Config) port.Request {
	out := port.Request{
		Pool: r.pool, Workspace: r.workspace.Name, Operation: r.operation.Name,
		PromptTokens: len(r.prompt)/bytesPerToken + 1, MaxTokens: r.maxTokens, Deadline: r.deadline,
	}
	raw, _ := hex.DecodeString(r.digest)
	out.Fingerprint = binary.LittleEndian.Uint64(raw)
	if m, ok := c.Model(r.pool); ok {
		out.Blocks = blocksOf(r.prompt, m.BlockTokens)
	}
	return out
}
