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
	// tokensPerAnswer is the length of a measured answer.
	tokensPerAnswer = 60
	// answerBytes is the size of a measured answer's text: 4 bytes a token.
	answerBytes = 4 * tokensPerAnswer
	// minStreams is the least number of streams in a measurement, enough for its
	// quantiles. With fewer streams at once, further ones run after them.
	minStreams = 20
)

var (
	streamSizes  = []int{1, 100, 1_000}
	addressSizes = []int{9, 100, 700}
)

// entryPoints measures the directory, held answers, authenticated calls and
// streams.
func entryPoints() ([]Point, error) {
	out := seriesSpec{"directory.bytes", "addresses", "bytes"}.measure(addressSizes, func(n int) float64 {
		return float64(len(directoryJSON(n)))
	})
	out = append(out, seriesSpec{"directory.answer", "addresses", "ns"}.measure(addressSizes, func(n int) float64 {
		return nanoseconds(func() { directoryJSON(n) })
	})...)
	out = append(out, seriesSpec{"entry.answer.memory", "answers", "bytes"}.measure(claimSizes[:2], func(n int) float64 {
		return heapGrowth(func() any { return buildAnswers(n) })
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

func buildAnswers(n int) []*answer.Answer {
	out := make([]*answer.Answer, 0, n)
	for i := range n {
		a := answer.New(answer.Meta{Workspace: "workspace-1", Key: fmt.Sprintf("key-%d", i)})
		_ = a.Append(0, make([]byte, answerBytes))
		out = append(out, a)
	}
	return out
}

// callPoints measures authenticated calls and announcements over HTTP, one after
// another. Client and server share the process, so the times include both.
func callPoints() ([]Point, error) {
	auth := seriesSpec{"entry.authenticate", "workspaces", "ns"}
	announce := seriesSpec{"registry.announce", "announcements at once", "ns"}
	out := []Point{}
	for _, n := range workspaceSizes {
		s, err := startSite(n)
		if err != nil {
			return nil, err
		}
		out = append(out, auth.measure([]int{n}, func(int) float64 {
			return nanoseconds(func() { s.get("http://" + s.settings.Addresses.Callers + "/v1/models") })
		})...)
		if n == workspaceSizes[0] {
			out = append(out, announce.measure([]int{1}, func(int) float64 {
				return nanoseconds(func() { s.post("http://"+s.settings.Addresses.Upstreams+"/upstream/v1/announce", announceBody) })
			})...)
		}
		s.stop()
	}
	return out, nil
}

const announceBody = `{"name":"runner-9","kind":"runner","pool":"m0","address":"127.0.0.1:1","region":"r0","data_centre":"d0","incarnation":1,"slots":8,"leaving":true}`

func (s *site) get(url string) {
	s.do(http.MethodGet, url, s.callerKey, nil)
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
	resp, err := s.httpClient.Do(req)
	if err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		panic(fmt.Sprintf("unexpected HTTP status %d from %s", resp.StatusCode, url))
	}
}

// streamPoints compares streams through the daemon with the same streams read
// from the runner directly.
func streamPoints() ([]Point, error) {
	s, err := startSite(workspaceSizes[0])
	if err != nil {
		return nil, err
	}
	defer s.stop()
	out := []Point{}
	for _, n := range streamSizes {
		through, err := s.runStreams(n, func(ctx context.Context, _ int) (streamTiming, error) {
			return s.streamFromDaemon(ctx, tokensPerAnswer)
		})
		if err != nil {
			return nil, err
		}
		direct, err := s.runStreams(n, func(ctx context.Context, i int) (streamTiming, error) {
			return s.streamFromRunner(ctx, fmt.Sprintf("direct-%d-%d", n, i), tokensPerAnswer)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, overheadPoints(n, through, direct)...)
	}
	return out, nil
}

// loadResult holds the timings of concurrent streams and the processor time used.
type loadResult struct {
	firstTokenTimes []time.Duration
	tokenGaps       []time.Duration
	tokens          int
	cpu             time.Duration
}

func (r *loadResult) add(t streamTiming) {
	r.firstTokenTimes = append(r.firstTokenTimes, t.firstToken)
	r.tokenGaps = append(r.tokenGaps, t.tokenGaps...)
	r.tokens += t.tokens
}

// runStreams runs n streams at once, and at least minStreams in all. It returns
// the joined errors of all streams.
func (s *site) runStreams(n int, runStream func(ctx context.Context, i int) (streamTiming, error)) (loadResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	mu := sync.Mutex{}
	out := loadResult{}
	runErr := error(nil)
	wg := sync.WaitGroup{}
	before := processTime()
	repeats := max(1, minStreams/n)
	for i := range n {
		wg.Go(func() {
			for j := range repeats {
				t, err := runStream(ctx, i*repeats+j)
				mu.Lock()
				out.add(t)
				runErr = errors.Join(runErr, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	out.cpu = processTime() - before
	return out, runErr
}

// processTime returns the user and system processor time used by this process.
func processTime() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile returns a quantile in nanoseconds; d must not be empty.
func quantile(d []time.Duration, q float64) float64 {
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return float64(sorted[int(q*float64(len(sorted)-1))])
}

// overheadPoints returns what the daemon adds to the runner's own times: processor
// time per token, and quantiles of the first token and of the gaps.
func overheadPoints(n int, through, direct loadResult) []Point {
	point := func(name string, value float64) Point {
		return Point{Series: name, Size: float64(n), SizeUnit: "streams at once", Value: value, Unit: "ns"}
	}
	out := []Point{point("entry.token", (float64(through.cpu)-float64(direct.cpu))/float64(through.tokens))}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
		out = append(out,
			point("entry.first."+q.name, quantile(through.firstTokenTimes, q.at)-quantile(direct.firstTokenTimes, q.at)),
			point("entry.gap."+q.name, quantile(through.tokenGaps, q.at)-quantile(direct.tokenGaps, q.at)))
	}
	return out
}
