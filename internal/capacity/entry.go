package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/entry"
	"github.com/verbenastep/verbenastep/internal/localsite"
)

const (
	// tokensEach is the length of a measured answer.
	tokensEach = 60
	// answerBytes is the text of a measured answer.
	answerBytes = 4 * tokensEach
	// leastStreams is how many streams a load has at least, so that its
	// quantiles mean something; they follow one another where fewer run at once.
	leastStreams = 20
)

var (
	streamSizes  = []int{1, 100, 1_000}
	addressSizes = []int{9, 100, 700}
)

func entryPoints() ([]Point, error) {
	out := series{"directory.bytes", "addresses", "bytes"}.measure(addressSizes, func(n int) float64 {
		return float64(len(directoryJSON(n)))
	})
	out = append(out, series{"directory.answer", "addresses", "ns"}.measure(addressSizes, func(n int) float64 {
		return nanoseconds(func() { directoryJSON(n) })
	})...)
	out = append(out, series{"entry.answer.memory", "answers", "bytes"}.measure(claimSizes[:2], func(n int) float64 {
		return heldBytes(func() any { return answersHeld(n) })
	})...)
	calls, err := callPoints()
	if err != nil {
		return nil, err
	}
	streams, err := streamPoints()
	return append(append(out, calls...), streams...), err
}

func directoryJSON(n int) []byte {
	d := entry.Directory{Seconds: 5}
	for i := range n {
		d.Addresses = append(d.Addresses, fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256))
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

func answersHeld(n int) []*answer.Answer {
	out := make([]*answer.Answer, 0, n)
	for i := range n {
		a := answer.New(answer.Meta{Workspace: "workspace-1", Key: fmt.Sprintf("key-%d", i)})
		_ = a.Append(0, make([]byte, answerBytes))
		out = append(out, a)
	}
	return out
}

// callPoints times authenticated calls and announcements over HTTP, one after
// another; client and server share the process.
func callPoints() ([]Point, error) {
	auth := series{"entry.authenticate", "workspaces", "ns"}
	announce := series{"registry.announce", "announcements at once", "ns"}
	out := []Point{}
	for _, n := range workspaceSizes {
		s, err := startSite(n)
		if err != nil {
			return nil, err
		}
		out = append(out, auth.measure([]int{n}, func(int) float64 {
			return nanoseconds(func() { s.get("http://" + s.set.Addresses.Callers + "/v1/models") })
		})...)
		if n == workspaceSizes[0] {
			out = append(out, announce.measure([]int{1}, func(int) float64 {
				return nanoseconds(func() { s.post("http://"+s.set.Addresses.Upstreams+"/upstream/v1/announce", announceBody) })
			})...)
		}
		s.stop()
	}
	return out, nil
}

const announceBody = `{"name":"runner-9","kind":"runner","pool":"m0","address":"127.0.0.1:1","region":"r0","data_centre":"d0","incarnation":1,"slots":8,"leaving":true}`

func (s *site) get(url string) {
	s.do(http.MethodGet, url, s.key, nil)
}

func (s *site) post(url, body string) {
	s.do(http.MethodPost, url, localsite.UpstreamKey, strings.NewReader(body))
}

func (s *site) do(method, url, key string, body io.Reader) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := s.callers.Do(req)
	if err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		panic(fmt.Sprintf("status %d from %s", resp.StatusCode, url))
	}
}

// streamPoints compares streams through the daemon with the same streams
// straight from the runner.
func streamPoints() ([]Point, error) {
	s, err := startSite(workspaceSizes[0])
	if err != nil {
		return nil, err
	}
	defer s.stop()
	out := []Point{}
	for _, n := range streamSizes {
		through, err := s.load(n, func(ctx context.Context, _ int) (timing, error) { return s.stream(ctx, tokensEach) })
		if err != nil {
			return nil, err
		}
		direct, err := s.load(n, func(ctx context.Context, i int) (timing, error) {
			return s.direct(ctx, fmt.Sprintf("direct-%d-%d", n, i), tokensEach)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, compare(n, through, direct)...)
	}
	return out, nil
}

// loadResult is what n streams at once showed.
type loadResult struct {
	firsts []time.Duration
	gaps   []time.Duration
	tokens int
	cpu    time.Duration
}

func (r *loadResult) add(t timing) {
	r.firsts = append(r.firsts, t.first)
	r.gaps = append(r.gaps, t.gaps...)
	r.tokens += t.tokens
}

func (s *site) load(n int, one func(ctx context.Context, i int) (timing, error)) (loadResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	mu := sync.Mutex{}
	out := loadResult{}
	failed := error(nil)
	wg := sync.WaitGroup{}
	before := processTime()
	follow := max(1, leastStreams/n)
	for i := range n {
		wg.Go(func() {
			for j := range follow {
				t, err := one(ctx, i*follow+j)
				mu.Lock()
				out.add(t)
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	out.cpu = processTime() - before
	return out, failed
}

// processTime is the processor time that this process has used.
func processTime() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func quantile(d []time.Duration, q float64) float64 {
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return float64(sorted[int(q*float64(len(sorted)-1))])
}

// compare returns what the daemon adds to the runner's own figures.
func compare(n int, through, direct loadResult) []Point {
	point := func(name string, value float64) Point {
		return Point{Series: name, Size: float64(n), Over: "streams at once", Value: value, Unit: "ns"}
	}
	out := []Point{point("entry.token", (float64(through.cpu)-float64(direct.cpu))/float64(through.tokens))}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
		out = append(out,
			point("entry.first."+q.name, quantile(through.firsts, q.at)-quantile(direct.firsts, q.at)),
			point("entry.gap."+q.name, quantile(through.gaps, q.at)-quantile(direct.gaps, q.at)))
	}
	return out
}
