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

const whole = "one two three four "

// entry is a fake entry that streams the answer above and cuts it once.
type entry struct {
	// cut is the offset, in bytes, at which the first stream breaks; zero
	// means never.
	cut int
	// directory is what it answers; posts counts requests that it took.
	directory func() []string
	posts     atomic.Int32
	picks     atomic.Int32
	refuse    *fault.Error
	forgets   bool
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == pathDirectory:
		_ = json.NewEncoder(w).Encode(Directory{Addresses: e.directory(), Seconds: 60})
	case e.refuse != nil:
		w.WriteHeader(e.refuse.HTTPStatus())
		_ = json.NewEncoder(w).Encode(map[string]*fault.Error{"error": e.refuse})
	case r.Method == http.MethodPost:
		e.posts.Add(1)
		w.Header().Set(HeaderRequest, "k1")
		stream(w, 0, e.cut)
	case e.forgets:
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(map[string]*fault.Error{"error": fault.New(fault.NotFound, "send it again", "no answer")})
	default:
		e.picks.Add(1)
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		stream(w, offset, 0)
	}
}

// stream writes three bytes an event; a cut breaks the connection.
func stream(w http.ResponseWriter, offset, cut int) {
	for offset < len(whole) {
		if cut > 0 && offset >= cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		next := min(offset+3, len(whole))
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", next, whole[offset:next])
		offset = next
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", offset)
}

// site starts entries that all name one another.
func site(t *testing.T, entries ...*entry) *Caller {
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

func TestStreamIsPickedUpAtItsOffset(t *testing.T) {
	e := &entry{cut: 7}
	got := ""
	s, err := site(t, e).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, func(text string) { got += text })
	require.NoError(t, err)
	require.Equal(t, whole, s.Text)
	require.Equal(t, whole, got, "a piece came twice or not at all")
	require.Equal(t, "stop", s.Finish)
	require.Equal(t, 1, s.Resumed)
	require.EqualValues(t, 1, e.posts.Load(), "the request was sent again")
	require.EqualValues(t, 1, e.picks.Load())
}

func TestForgottenStreamIsResentOnlyUnderTheCallersKey(t *testing.T) {
	keyed := &entry{cut: 7, forgets: true}
	_, err := site(t, keyed).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions", Key: "k1"}, nil)
	require.Error(t, err)
	require.Greater(t, keyed.posts.Load(), int32(1))
	unkeyed := &entry{cut: 7, forgets: true}
	s, err := site(t, unkeyed).Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, nil)
	require.Error(t, err, "a cut answer looks whole")
	require.Equal(t, whole[:9], s.Text)
	require.EqualValues(t, 1, unkeyed.posts.Load())
}

func TestDrainingEntryIsPassedOver(t *testing.T) {
	draining := &entry{refuse: fault.New(fault.Draining, "use another entry", "this entry drains")}
	other := &entry{}
	c := site(t, draining, other)
	for range 2 {
		_, err := c.Stream(t.Context(), Request{Method: http.MethodPost, Path: "/v1/chat/completions"}, nil)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, other.posts.Load())
}

func TestRefusalComesThroughAsItIs(t *testing.T) {
	e := &entry{refuse: fault.New(fault.Overloaded, "come back", "shed")}
	c := site(t, e, &entry{refuse: e.refuse})
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/services/s/x"})
	require.Equal(t, fault.Overloaded, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Ran)
}

func TestBrokenConnectionIsNeverCalledNotRun(t *testing.T) {
	e := &entry{cut: 1}
	c := site(t, e)
	_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/services/s/x"})
	require.Equal(t, ConnectionLost, fault.From(err).Kind)
	require.Equal(t, fault.MayHaveRun, fault.From(err).Ran)
	require.EqualValues(t, 1, e.posts.Load())
}

func TestNobodyThere(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	c := &Caller{Entries: []string{gone.Listener.Addr().String()}}
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
	require.Equal(t, Unreachable, fault.From(err).Kind)
	require.Equal(t, fault.NotRun, fault.From(err).Ran)
}

func TestCompletionOfBothForms(t *testing.T) {
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
