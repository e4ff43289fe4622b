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

// announceTimeout bounds one announcement, connection and reply included.
const announceTimeout = time.Second

// announceRetryDelay is the wait before the next daemon is tried after a
// failure.
const announceRetryDelay = 100 * time.Millisecond

// Announcer keeps an upstream announced to one of several daemons. It must not
// be copied or changed while Run is active.
type Announcer struct {
	// Daemons lists the addresses at which daemons accept announcements; it must
	// not be empty.
	Daemons []string
	// Key is the upstream's credential; empty if the daemons require none.
	Key string
	// State returns the announcement to send; it is called for each one.
	State func() upstream.Announcement
}

// Run announces the upstream until the context ends, at the interval that each
// renewal states. After a failure it continues with the next daemon. It also
// uses the daemons that renewals name.
func (a *Announcer) Run(ctx context.Context) {
	known := slices.Clone(a.Daemons)
	i := 0
	for ctx.Err() == nil {
		renewal, err := a.Announce(ctx, known[i%len(known)])
		pause := time.Duration(renewal.RenewMS) * time.Millisecond
		if err != nil {
			i++
			pause = announceRetryDelay
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

// Announce sends one announcement to a daemon. It returns an error if the
// daemon can't be reached, refuses the announcement or sends an invalid
// renewal.
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
		return out, &announceError{status: resp.StatusCode}
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out, err
}

// announceError reports that a daemon refused an announcement.
type announceError struct {
	status int
}

// Error returns the status and the remedy.
func (e *announceError) Error() string {
	return "announcement refused with " + http.StatusText(e.status) + "; check the key and the announcement"
}
