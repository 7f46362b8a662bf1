package controlclient

import "otterseam/tier/rpc"

// The kinds of calls that control processes answer. A number is never reused for another kind.
const (
	// KindLocate asks a control process for its identity and the record that it knows. Control processes without a primary and package
	// status send it without payload. The primary sends it with the record of the group to seeds that are not members. The answer is a
	// LocateResponse.
	KindLocate rpc.Kind = 20
	// KindPrepare asks an acceptor to promise a proposal number (phase 1 of Paxos). Sent by a proposer (see package control/election);
	// answered by every member.
	KindPrepare rpc.Kind = 21
	// KindAccept asks an acceptor to accept a record (phase 2 of Paxos). Sent by a proposer (see package control/election); answered by
	// every member.
	KindAccept rpc.Kind = 22
	// KindSubmit submits a command of the state machine, encoded by package control/state, to the primary. Sent by backups that received
	// an operator's request; answered with the command's result.
	KindSubmit rpc.Kind = 23
	// KindStoreHeartbeat renews a store's session with a StoreHeartbeat. Sent by stores; answered by the primary.
	KindStoreHeartbeat rpc.Kind = 24
	// KindInSyncChange asks for an InSyncChange of a shard. Sent by the store that is the shard's primary; answered by the primary of
	// control.
	KindInSyncChange rpc.Kind = 25
	// KindMemberHeartbeat renews a control process's session with a MemberHeartbeat. Sent by control processes; answered by the
	// primary.
	KindMemberHeartbeat rpc.Kind = 26
	// KindRetirementState asks for the progress of the retirement of a store machine; the payload is the machine's name. Sent by backups
	// that received an operator's request; answered by the primary with the state as text.
	KindRetirementState rpc.Kind = 27
	// KindHostHeartbeat renews a host's session with a HostHeartbeat. Sent by backups that received the heartbeat over HTTP; answered by
	// the primary.
	KindHostHeartbeat rpc.Kind = 28
	// KindDeregisterHost deregisters a host; the payload is its ID. Sent by backups that received the request over HTTP; answered by the
	// primary.
	KindDeregisterHost rpc.Kind = 29
	// KindHeartbeatReport reports the hosts whose heartbeats a backup acknowledged, with a HeartbeatReport. Sent by backups; answered by
	// the primary with a HeartbeatReportResponse.
	KindHeartbeatReport rpc.Kind = 31
	// KindPreVote asks a voter whether it would vote to replace the primary, without a promise. Sent by a candidate (see package
	// control/election); answered by every voter.
	KindPreVote rpc.Kind = 32
	// KindHostObservations carries a gateway's observations of hosts, an outlier.Window. Sent by proxies to their agent, which forwards
	// it to the primary.
	KindHostObservations rpc.Kind = 33
)
