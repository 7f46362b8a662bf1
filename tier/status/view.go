package status

import (
	"context"

	"otterseam/tier/codes"
	"otterseam/tier/feed"
)

// readView returns the first view that a publisher at one of the addresses sends.
func readView(ctx context.Context, addresses []string) (*feed.View, error) {
	view := feed.NewView()
	subscribed, cancel := context.WithCancel(ctx)
	defer cancel()
	subscriber := &feed.Subscriber{View: view, Addresses: func() []string { return addresses }, OnChange: func([]feed.Item) { cancel() }}
	subscriber.Run(subscribed)
	if view.Revision() == 0 {
		return nil, codes.Unavailable
	}
	return view, nil
}
