package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// announcePause is the wait before the next daemon is tried.
const announcePause = 100 * time.Millisecond

// Announcer keeps an upstream announced to one of several daemons.
type Announcer struct {
	// Daemons are upstreams' addresses of daemons.
	Daemons []string
	// Key is the upstream's credential; empty where none is asked for.
	Key string
	// State returns what to announce now.
	State func() upstream.Announcement
}

// Run announces until the context ends, moving on to the next daemon whenever
// one doesn't answer. It learns further daemons from each renewal.
func (a *Announcer) Run(ctx context.Context) {
	known := slices.Clone(a.Daemons)
	i := 0
	for ctx.Err() == nil {
		renewal, err := a.Announce(ctx, known[i%len(known)])
		pause := time.Duration(renewal.RenewMS) * time.Millisecond
		if err != nil {
			i++
			pause = announcePause
		}
		for _, d := range renewal.Addresses {
			if !slices.Contains(known, d) {
				known = append(known, d)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Announce makes one announcement.
func (a *Announcer) Announce(ctx context.Context, daemon string) (upstream.Renewal, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	out := upstream.Renewal{}
	body, err := json.Marshal(a.State())
	if err != nil {
		return out, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+upstream.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, &refusedError{status: resp.StatusCode}
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out, err
}

// refusedError says that a daemon refused an announcement.
type refusedError struct {
	status int
}

// Error names the remedy.
func (e *refusedError) Error() string {
	return "announcement refused with " + http.StatusText(e.status) + "; check the key and the announcement"
}
