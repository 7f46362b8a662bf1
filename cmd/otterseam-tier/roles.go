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

// agentMargin is the time left after the agent ends until the end of the grace period, when the platform kills the process.
const agentMargin = 600 * time.Millisecond

// Each of the following functions runs a role until it fails or has stopped after ctx was cancelled.

func runProxy(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	p, err := proxy.New(s, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

// runAgent runs the agent. After ctx is cancelled, it keeps the agent running until agentMargin before the end of the grace period,
// because the proxy may still need it.
func runAgent(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	a, err := agent.New(s, log)
	if err != nil {
		return err
	}
	agentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(s.Bounds.Grace-agentMargin, cancel) })
	return a.Run(agentCtx)
}

func runControl(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	c, err := control.New(s, log)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

// runStore runs the store. After ctx is cancelled, it drains the store before it stops it.
func runStore(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	server, err := store.New(s, log)
	if err != nil {
		return err
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		server.Drain(serveCtx)
		cancel()
	}()
	return server.Run(serveCtx)
}
