package promise

import (
	"fmt"
	"slices"
	"time"
)

// accepted is a configuration that the log committed.
type accepted struct {
	version uint64
	digest  string
	at      time.Duration
}

// follower is what a daemon has in force, and since when it could learn more.
type follower struct {
	version uint64
	up      bool
	since   time.Duration
	// late is the newest version whose lateness was reported.
	late uint64
}

// configRule checks Configuration.
type configRule struct {
	opt     Options
	log     []accepted
	daemons map[string]*follower
}

func newConfigRule(opt Options) *configRule {
	c := &configRule{opt: opt, daemons: map[string]*follower{}}
	for _, d := range opt.Daemons {
		c.daemons[d] = &follower{up: true}
	}
	return c
}

func (c *configRule) promise() Promise { return Configuration }

func (c *configRule) feed(e Event) []string {
	out := c.late(e.At)
	switch e.Kind {
	case Accepted:
		out = append(out, c.accept(e)...)
	case InForce:
		out = append(out, c.inForce(e)...)
	case Started, Healed:
		d := c.daemon(e.Daemon)
		d.up, d.since = true, e.At
	case Crashed, Stopped, Cut:
		c.daemon(e.Daemon).up = false
	}
	return out
}

func (c *configRule) daemon(name string) *follower {
	d, ok := c.daemons[name]
	if !ok {
		d = &follower{}
		c.daemons[name] = d
	}
	return d
}

// accept adds a version; several replicas may report the same one.
func (c *configRule) accept(e Event) []string {
	for _, a := range c.log {
		if a.version != e.Version {
			continue
		}
		if a.digest != e.Digest {
			return []string{fmt.Sprintf("version %d was accepted before with digest %q", e.Version, a.digest)}
		}
		return nil
	}
	if n := len(c.log); n > 0 && e.Version < c.log[n-1].version {
		return []string{fmt.Sprintf("version %d was accepted after version %d", e.Version, c.log[n-1].version)}
	}
	c.log = append(c.log, accepted{version: e.Version, digest: e.Digest, at: e.At})
	return nil
}

func (c *configRule) inForce(e Event) []string {
	d := c.daemon(e.Daemon)
	if !d.up && d.version == 0 {
		d.up, d.since = true, e.At
	}
	if e.Version < d.version {
		return []string{fmt.Sprintf("%s reverted from version %d", e.Daemon, d.version)}
	}
	d.version = e.Version
	i := slices.IndexFunc(c.log, func(a accepted) bool { return a.version == e.Version })
	if i < 0 {
		if c.opt.Partial || e.Version == 0 {
			return nil
		}
		return []string{fmt.Sprintf("version %d was never accepted", e.Version)}
	}
	if c.log[i].digest != e.Digest {
		return []string{fmt.Sprintf("version %d was accepted with digest %q", e.Version, c.log[i].digest)}
	}
	return nil
}

// late lists the daemons that lack a version past its time, each version once.
func (c *configRule) late(now time.Duration) []string {
	out := []string{}
	for name, d := range c.daemons {
		if !d.up {
			continue
		}
		for _, a := range c.log {
			due := max(a.at, d.since) + forceWithin
			if a.version > max(d.version, d.late) && now > due {
				d.late = a.version
				out = append(out, fmt.Sprintf("version %d was not in force on %s by %v", a.version, name, due))
			}
		}
	}
	slices.Sort(out)
	return out
}

func (c *configRule) finish(end time.Duration) []string { return c.late(end) }
