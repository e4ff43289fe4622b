package promise

import (
	"fmt"
	"slices"
	"time"
)

// acceptedVersion is a configuration that the log committed.
type acceptedVersion struct {
	version uint64
	digest  string
	at      time.Duration
}

// daemonState is the configuration in force on a daemon and its connection to
// the quorum.
type daemonState struct {
	version uint64
	// up is set while the daemon runs and can reach the quorum; upSince is when
	// that began.
	up      bool
	upSince time.Duration
	// reportedVersion is the newest version reported as overdue.
	reportedVersion uint64
}

// configRule checks Configuration.
type configRule struct {
	options  Options
	accepted []acceptedVersion
	daemons  map[string]*daemonState
}

func newConfigRule(options Options) *configRule {
	c := &configRule{options: options, daemons: map[string]*daemonState{}}
	for _, d := range options.Daemons {
		c.daemons[d] = &daemonState{up: true}
	}
	return c
}

func (c *configRule) promise() Promise { return Configuration }

func (c *configRule) observe(e Event) []string {
	out := c.checkOverdue(e.At)
	switch e.Kind {
	case Accepted:
		out = append(out, c.recordAccepted(e)...)
	case InForce:
		out = append(out, c.checkInForce(e)...)
	case Started, Healed:
		d := c.daemon(e.Daemon)
		d.up, d.upSince = true, e.At
	case Crashed, Stopped, Partitioned:
		c.daemon(e.Daemon).up = false
	}
	return out
}

func (c *configRule) daemon(name string) *daemonState {
	d, ok := c.daemons[name]
	if !ok {
		d = &daemonState{}
		c.daemons[name] = d
	}
	return d
}

// recordAccepted adds a version. Several replicas may report the same one.
func (c *configRule) recordAccepted(e Event) []string {
	for _, a := range c.accepted {
		if a.version != e.Version {
			continue
		}
		if a.digest != e.Digest {
			return []string{fmt.Sprintf("version %d was accepted before with digest %q", e.Version, a.digest)}
		}
		return nil
	}
	if n := len(c.accepted); n > 0 && e.Version < c.accepted[n-1].version {
		return []string{fmt.Sprintf("version %d was accepted after version %d", e.Version, c.accepted[n-1].version)}
	}
	c.accepted = append(c.accepted, acceptedVersion{version: e.Version, digest: e.Digest, at: e.At})
	return nil
}

func (c *configRule) checkInForce(e Event) []string {
	d := c.daemon(e.Daemon)
	if !d.up && d.version == 0 {
		d.up, d.upSince = true, e.At
	}
	if e.Version < d.version {
		return []string{fmt.Sprintf("%s reverted from version %d", e.Daemon, d.version)}
	}
	d.version = e.Version
	i := slices.IndexFunc(c.accepted, func(a acceptedVersion) bool { return a.version == e.Version })
	if i < 0 {
		if c.options.Partial || e.Version == 0 {
			return nil
		}
		return []string{fmt.Sprintf("version %d was never accepted", e.Version)}
	}
	if c.accepted[i].digest != e.Digest {
		return []string{fmt.Sprintf("version %d was accepted with digest %q", e.Version, c.accepted[i].digest)}
	}
	return nil
}

// checkOverdue reports each version that is not in force on a daemon after
// activationTimeout, once per daemon.
func (c *configRule) checkOverdue(now time.Duration) []string {
	out := []string{}
	for name, d := range c.daemons {
		if !d.up {
			continue
		}
		for _, a := range c.accepted {
			due := max(a.at, d.upSince) + activationTimeout
			if a.version > max(d.version, d.reportedVersion) && now > due {
				d.reportedVersion = a.version
				out = append(out, fmt.Sprintf("version %d was not in force on %s by %v", a.version, name, due))
			}
		}
	}
	slices.Sort(out)
	return out
}

func (c *configRule) finish(end time.Duration) []string { return c.checkOverdue(end) }
