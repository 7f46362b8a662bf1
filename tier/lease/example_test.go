package lease_test

import (
	"fmt"

	"otterseam/tier/lease"
)

// A primary may decide only until the TTL after its newest confirmation by a majority has passed.
func ExampleStatus_MayDecide() {
	status := lease.Status{Role: lease.Primary, Ready: true, ConfirmedSince: 10_000}
	fmt.Println(status.MayDecide(10_000 + lease.TTL - 1))
	fmt.Println(status.MayDecide(10_000 + lease.TTL))
	// Output:
	// <nil>
	// code 102 unavailable
}

// A backup takes over once the primary has been unconfirmed for longer than the election timeout. By then a voter grants its vote.
func ExampleFailoverInput_Next() {
	backup := lease.FailoverInput{InSync: true, PrimaryConfirmedAt: 10_000}
	backup.Now = 10_000 + lease.ElectionTimeout
	fmt.Println(backup.Next() == lease.ActionTakeOver)
	backup.Now++
	fmt.Println(backup.Next() == lease.ActionTakeOver)

	voter := lease.Voter{Now: backup.Now, KnownEpoch: 4, KnownPrimary: 1, PrimaryConfirmedAt: 10_000}
	fmt.Println(voter.Grants(lease.VoteRequest{Candidate: 2, Epoch: 4}))
	// Output:
	// false
	// true
	// true
}

// The session of a host expires when the host misses its heartbeats and the control process that received them is in contact with the
// primary.
func ExampleHostSessions() {
	const heartbeat = 300
	sessions := lease.NewHostSessions()
	sessions.RenewHolder(7, 0, 1000, 1000)
	sessions.Renew("host-1", 7, 1000)
	for now := int64(1200); now <= 2400; now += 200 {
		sessions.RenewHolder(7, 0, now, now)
		fmt.Println(now, sessions.Expired(heartbeat, now))
	}
	// Output:
	// 1200 []
	// 1400 []
	// 1600 []
	// 1800 []
	// 2000 []
	// 2200 []
	// 2400 [host-1]
}
