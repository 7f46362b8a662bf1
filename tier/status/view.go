package status

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/feed"
)

// readView subscribes until the first update has come.
func readView(ctx context.Context, addresses []string) (*feed.View, error) {
	view := feed.NewView()
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	subscriber := &feed.Subscriber{View: view, Addresses: func() []string { return addresses }, OnChange: func([]feed.Item) { cancel() }}
	subscriber.Run(reading)
	if view.Revision() == 0 {
		return nil, codes.Unavailable
	}
	return view, nil
}
