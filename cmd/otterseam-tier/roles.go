package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/agent"
	"otterseam/tier/control"
	"otterseam/tier/proxy"
	"otterseam/tier/settings"
	"otterseam/tier/store"
)

// agentMargin is how long before the platform would kill it the agent ends.
const agentMargin = 600 * time.Millisecond

// Each of these runs a role until it ends by itself, fails, or has ended after ctx was cancelled.

func runProxy(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	p, err := proxy.New(s, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

// runAgent keeps the agent up for as long as the proxy may need it: until shortly before the grace period is over.
func runAgent(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	a, err := agent.New(s, log)
	if err != nil {
		return err
	}
	outlive, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(s.Bounds.Grace-agentMargin, cancel) })
	return a.Run(outlive)
}

func runControl(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	c, err := control.New(s, log)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

// runStore hands the store's shards over before it ends.
func runStore(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	server, err := store.New(s, log)
	if err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		server.Drain(serving)
		cancel()
	}()
	return server.Run(serving)
}
