package feed

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// Message kinds of a subscription.
const (
	// KindSubscribe is a call from a Subscriber with a SubscribeRequest. The Publisher answers with codes.OK and no body if it accepts
	// the subscription, with codes.SubscriptionStale if its view is not fresh, with codes.DiskForeign if the subscriber belongs to
	// another cluster, and with codes.Malformed if the request can't be decoded.
	KindSubscribe rpc.Kind = 60
	// KindUpdate is a one-way message with an Update from a Publisher to one of its subscribers.
	KindUpdate rpc.Kind = 61
)

// SubscribeRequest states the revision and the cluster of a subscriber's view.
type SubscribeRequest struct {
	Revision  uint64 // revision of the subscriber's view; 0 requests a snapshot
	ClusterID uint64 // cluster of the subscriber; 0 if not known yet
}

// Encode returns the request's encoded form.
func (r SubscribeRequest) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.Revision)
	e.Uint64(r.ClusterID)
	return e.Bytes
}

// DecodeSubscribeRequest decodes a request.
func DecodeSubscribeRequest(message []byte) (SubscribeRequest, error) {
	d := codec.NewDecoder(message)
	r := SubscribeRequest{Revision: d.Uint64(), ClusterID: d.Uint64()}
	return r, d.Err()
}
