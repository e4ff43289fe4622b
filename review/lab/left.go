package main

import "time"

const (
	// lateCrashDelay is how long a runner works on the request before it crashes. It does not drop
	// a request whose connection is closed.
	lateCrashDelay = 150 * time.Millisecond
	// shortPatience is how long a client waits that leaves early.
	shortPatience = 100 * time.Millisecond
	// earlyLeavers is how often the request comes.
	earlyLeavers = 12
)

// playCrashingLeft sends the crashing request again and again, each time in a new client attempt
// and at another entry. Its client leaves before the runner crashes.
func playCrashingLeft(l *lab) error {
	c := &crashingCase{lab: l, crashDelay: lateCrashDelay, patience: orderDeadline}
	if l.trouble {
		c.patience = shortPatience
	}
	return c.play(func() error {
		entries := c.ofRole("entry")
		for n := range earlyLeavers {
			c.sendCrashing(entries[n%len(entries)])
			c.sleep(crashingPause)
		}
		return nil
	})
}
