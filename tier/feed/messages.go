package feed

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// The kinds of messages of a subscription.
const (
	// KindSubscribe is a call of a Subscriber with a SubscribeRequest. The Publisher answers it with codes.OK and no body when it
	// accepts the subscription, with codes.SubscriptionStale when it is not fresh, and with codes.DiskForeign when the subscriber
	// belongs to another cluster.
	KindSubscribe rpc.Kind = 60
	// KindUpdate is a one-way message of a Publisher with an Update, to each of its subscribers.
	KindUpdate rpc.Kind = 61
)

// SubscribeRequest tells a publisher where a subscriber stands.
type SubscribeRequest struct {
	Revision  uint64 // that the subscriber has; 0 asks for a snapshot
	ClusterID uint64 // that the subscriber belongs to; 0 as long as it knows none
}

// Encode is the request's form on the wire.
func (r SubscribeRequest) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.Revision)
	e.Uint64(r.ClusterID)
	return e.Bytes
}

// DecodeSubscribeRequest reads a request.
func DecodeSubscribeRequest(message []byte) (SubscribeRequest, error) {
	d := codec.NewDecoder(message)
	r := SubscribeRequest{Revision: d.Uint64(), ClusterID: d.Uint64()}
	return r, d.Err()
}
