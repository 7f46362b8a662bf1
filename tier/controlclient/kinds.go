package controlclient

import "otterseam/tier/rpc"

// The kinds of calls that control processes take. A number is never used again for another kind.
const (
	// KindLocate asks any control process who it is and what it knows. It is sent by control processes without a primary, with no
	// payload; by the primary to seeds that are no members, with the record of the group; and by package status. The answer is a
	// LocateResponse.
	KindLocate rpc.Kind = 20
	// KindPrepare asks a witness to promise a proposal number (phase 1 of Paxos). Sent by a proposer, see package
	// control/election; answered by every member.
	KindPrepare rpc.Kind = 21
	// KindAccept asks a witness to accept a record (phase 2 of Paxos). Sent by a proposer, see package control/election; answered by
	// every member.
	KindAccept rpc.Kind = 22
	// KindSubmit hands the primary a command of the state machine, as package control/state encodes it. Sent by backups that took
	// an operator's request; answered with the command's result.
	KindSubmit rpc.Kind = 23
	// KindStoreHeartbeat keeps a store's session with a StoreHeartbeat. Sent by stores; answered by the primary.
	KindStoreHeartbeat rpc.Kind = 24
	// KindInSyncChange asks to change the in-sync set of a shard with an InSyncChange. Sent by the store that is the shard's
	// primary; answered by the primary of control.
	KindInSyncChange rpc.Kind = 25
	// KindMemberHeartbeat keeps a control process's session with a MemberHeartbeat. Sent by control processes; answered by the
	// primary.
	KindMemberHeartbeat rpc.Kind = 26
	// KindRetirementState asks how far the retirement of a store machine is; the payload is its name. Sent by backups that took an
	// operator's request; answered by the primary with the state as text.
	KindRetirementState rpc.Kind = 27
	// KindHostHeartbeat keeps a host's session with a HostHeartbeat. Sent by backups that took the heartbeat over HTTP; answered by
	// the primary.
	KindHostHeartbeat rpc.Kind = 28
	// KindDeregisterHost takes a host off the list; the payload is its ID. Sent by backups that took the request over HTTP;
	// answered by the primary.
	KindDeregisterHost rpc.Kind = 29
	// KindHeartbeatReport names hosts whose sessions a backup keeps, with a HeartbeatReport. Sent by backups; answered by the
	// primary with UnregisteredHosts.
	KindHeartbeatReport rpc.Kind = 31
	// KindPreVote asks a voter whether it would help to replace the primary; nothing is promised. Sent by a candidate, see package
	// control/election; answered by every voter.
	KindPreVote rpc.Kind = 32
	// KindHostObservations carries what a gateway observed of hosts, an outlier.Window. Sent by proxies to their agent, which passes
	// it on to the primary.
	KindHostObservations rpc.Kind = 33
)
