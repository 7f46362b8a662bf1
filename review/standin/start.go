package main

import (
	"net/http"
	"time"
)

// firstStart: all processes of the core are killed at the same moment, a quarter of a second after the first machine started, and are
// back within a second.
func firstStart(b *Bench) error {
	c := b.Cluster
	var core []*Machine
	for _, m := range c.Machines {
		if m.class == "core" {
			core = append(core, m)
			continue
		}
		if err := c.Start(m); err != nil {
			return err
		}
	}
	for i, m := range core {
		if i > 0 {
			time.Sleep(110 * time.Millisecond)
		}
		if err := c.Start(m); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Millisecond)
	if b.Trouble {
		for _, m := range core {
			c.Kill(m)
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range core {
			if err := c.Start(m); err != nil {
				return err
			}
		}
	}
	began := time.Now()
	status := c.ReplaceConfig(0, 1, 30*time.Second)
	took := time.Since(began).Seconds()
	b.Record.Event("the first configuration: status %d after %.1f s", status, took)
	b.Record.Event("status:\n%s", c.Status())
	if status != http.StatusOK {
		b.Judge.breach("Acks", "the first configuration was not acknowledged in %.0f s", took)
	}
	return nil
}
