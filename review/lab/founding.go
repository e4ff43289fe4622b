package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// wipeDelay is the time from the start of the system to the loss of a disk.
	wipeDelay = 300 * time.Millisecond
	// foundingTime is how long the operator and the clients try.
	foundingTime = 60 * time.Second
	// operatorPause is the time between two calls of the operator, or two requests to an entry.
	operatorPause = 500 * time.Millisecond
)

// playFounding has the first machine of the core lose its disk right after the first start of the
// whole system.
func playFounding(l *lab) error {
	c := &crashingCase{lab: l, crashDelay: crashDelay, patience: orderDeadline}
	if err := l.startSystem(); err != nil {
		return err
	}
	controls := l.ofRole("control")
	if l.trouble {
		l.sleep(wipeDelay)
		if err := l.loseDisk(controls[0]); err != nil {
			return err
		}
	}
	for i, m := range controls {
		if err := c.newRunner(i, m).startRunner(); err != nil {
			return err
		}
	}
	acked, served, sent := c.tryToServe()
	l.note("configurations sent: %d, acknowledged: %d; requests sent: %d, served: %d", sent, acked, sent*len(l.ofRole("entry")), served)
	if served == 0 {
		return fmt.Errorf("%w: Fault: no request is served", errBroken)
	}
	return nil
}

// loseDisk kills the process of a machine, empties its disk and starts it again.
func (l *lab) loseDisk(m machine) error {
	p := l.processOf(m)
	if p == nil {
		return l.ctx.Err()
	}
	l.signal(m, syscall.SIGKILL)
	<-p.ended
	if err := os.RemoveAll(filepath.Join(l.folder, m.name)); err != nil {
		return err
	}
	l.note("platform: %s has lost its disk", m.name)
	l.sleep(restartDelay)
	return l.start(m, false)
}

// tryToServe sends the configuration to each control daemon in turn and requests to each entry,
// until some requests are served or foundingTime is over.
func (c *crashingCase) tryToServe() (acked, served, sent int) {
	controls, entries := c.ofRole("control"), c.ofRole("entry")
	for end := time.Now().Add(foundingTime); time.Now().Before(end) && served < len(entries); sent++ {
		m := controls[sent%len(controls)]
		status, _ := c.call(http.MethodPut, m.address(portControl), "/config", orderConfig)
		c.note("operator: configuration sent to %s, answer %d", m.name, status)
		if status == http.StatusOK {
			acked++
		}
		for _, e := range entries {
			a := send(newClient(e, orderDeadline), e, http.MethodPost, pathOrder, "sound", orderDeadline, nil)
			c.note("client: request %s at %s: %s", a.id, e.name, a.outcome())
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		}
		c.sleep(operatorPause)
	}
	return acked, served, sent
}
