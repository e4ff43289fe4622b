package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
)

const fullAnswer = "one two three four "

// fakeEntry is an entry that streams fullAnswer and can break off the first stream.
type fakeEntry struct {
	// breakAt is the offset, in bytes, at which a posted request's stream breaks;
	// zero means never.
	breakAt int
	// directory returns the addresses that the directory lists; posts and resumes
	// count the requests sent and resumed here.
	directory     func() []string
	posts         atomic.Int32
	resumes       atomic.Int32
	refusal       *fault.Error
	answerUnknown bool
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == pathDirectory:
		_ = json.NewEncoder(w).Encode(Directory{Addresses: e.directory(), Seconds: 60})
	case e.refusal != nil:
		w.WriteHeader(e.refusal.HTTPStatus())
		_ = json.NewEncoder(w).Encode(map[string]*fault.Error{"error": e.refusal})
	case r.Method == http.MethodPost:
		e.posts.Add(1)
		w.Header().Set(HeaderRequest, "k1")
		writeStream(w, 0, e.breakAt)
	case e.answerUnknown:
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(map[string]*fault.Error{"error": fault.New(fault.NotFound, "send it again", "no answer")})
	default:
		e.resumes.Add(1)
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		writeStream(w, offset, 0)
	}
}

// writeStream writes the answer from an offset with three bytes per event, and
// breaks the connection at breakAt if that is not zero.
func writeStream(w http.ResponseWriter, offset, breakAt int) {
	for offset < len(fullAnswer) {
		if breakAt > 0 && offset >= breakAt {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		next := min(offset+3, len(fullAnswer))
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", next, fullAnswer[offset:next])
		offset = next
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", offset)
}

// startEntries starts entries whose directories list all of them.
func startEntries(t *testing.T, entries ...*fakeEntry) *Caller {
	t.Helper()
	addresses := []string{}
	for _, e := range entries {
		e.directory = func() []string { return addresses }
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		addresses = append(addresses, srv.Listener.Addr().String())
	}
	return &Caller{Entries: addresses[:1], Key: "key"}
}

func TestStreamResumesAtItsOffset(t *testing.T) {
	e := &fakeEntry{breakAt: 7}
	got := ""
	s, err := startEntries(t, e).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, func(text string) { got += text })
	require.NoError(t, err)
	require.Equal(t, fullAnswer, s.Text)
	require.Equal(t, fullAnswer, got, "text was delivered twice or not at all")
	require.Equal(t, "stop", s.Finish)
	require.Equal(t, 1, s.Resumed)
	require.EqualValues(t, 1, e.posts.Load(), "the request was sent again")
	require.EqualValues(t, 1, e.resumes.Load())
}

func TestUnknownStreamIsResentOnlyUnderTheCallersKey(t *testing.T) {
	keyed := &fakeEntry{breakAt: 7, answerUnknown: true}
	_, err := startEntries(t, keyed).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions", Key: "k1"}, nil)
	require.Error(t, err)
	require.Greater(t, keyed.posts.Load(), int32(1))
	unkeyed := &fakeEntry{breakAt: 7, answerUnknown: true}
	s, err := startEntries(t, unkeyed).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, nil)
	require.Error(t, err, "a truncated answer was reported as complete")
	require.Equal(t, fullAnswer[:9], s.Text)
	require.EqualValues(t, 1, unkeyed.posts.Load())
}

func TestDrainingEntryIsSkipped(t *testing.T) {
	draining := &fakeEntry{refusal: fault.New(fault.Draining, "use another entry", "this entry drains")}
	other := &fakeEntry{}
	c := startEntries(t, draining, other)
	for range 2 {
		_, err := c.Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, nil)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, other.posts.Load())
}

func TestRefusalIsReturnedUnchanged(t *testing.T) {
	e := &fakeEntry{refusal: fault.New(fault.Overloaded, "come back", "shed")}
	c := startEntries(t, e, &fakeEntry{refusal: e.refusal})
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/services/s/x"})
	require.Equal(t, fault.Overloaded, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Ran)
}

func TestBrokenConnectionReportsMayHaveRun(t *testing.T) {
	e := &fakeEntry{breakAt: 1}
	c := startEntries(t, e)
	_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/services/s/x"})
	require.Equal(t, ConnectionLost, fault.From(err).Kind)
	require.Equal(t, fault.MayHaveRun, fault.From(err).Ran)
	require.EqualValues(t, 1, e.posts.Load())
}

func TestUnreachableEntryReportsNotRun(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	c := &Caller{Entries: []string{gone.Listener.Addr().String()}}
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
	require.Equal(t, Unreachable, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Ran)
}

func TestCompletionEncodesAndDecodesBothForms(t *testing.T) {
	chat := Completion{Form: Chat, Model: "m", Prompt: "p", Stream: true}.Request("k")
	require.Equal(t, "/v1/chat/completions", chat.Path)
	require.Equal(t, "k", chat.Key)
	require.JSONEq(t, `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true}`, string(chat.Body))
	plain := Completion{Form: Text, Model: "m", Prompt: "p", MaxTokens: 4}.Request("")
	require.JSONEq(t, `{"model":"m","prompt":"p","max_tokens":4}`, string(plain.Body))
	for _, body := range []string{`{"choices":[{"text":"a","finish_reason":"stop"}]}`, `{"choices":[{"message":{"content":"a"},"finish_reason":"stop"}]}`} {
		text, finish, err := (&Reply{Body: []byte(body)}).Completion()
		require.NoError(t, err)
		require.Equal(t, "a", text)
		require.Equal(t, "stop", finish)
	}
	_, _, err := (&Reply{Body: []byte(`{}`)}).Completion()
	require.Equal(t, fault.DidRun, fault.From(err).Ran)
}
