package server

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"otterseam/quotastore/protocol"
)

const (
	commandDialTimeout   = 2 * time.Second
	statusTimeout        = 2 * time.Second
	minBootstrapTimeout  = 5 * time.Second
	snapshotTimeout      = 30 * time.Second
	bootstrapRetryPeriod = 50 * time.Millisecond
)

// SendCommand sends an operator's command to the server at an address, and returns the answer. If the server reports that the
// command failed, SendCommand returns a *CommandError together with the answer.
func SendCommand(address string, command *protocol.Admin, timeout time.Duration) (*protocol.Admin, error) {
	conn, err := net.DialTimeout("tcp", address, min(timeout, commandDialTimeout))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	for _, frame := range []*protocol.Frame{protocol.ClientHello(), protocol.AdminFrame(command)} {
		encoded, err := frame.AppendTo(nil)
		if err != nil {
			return nil, err
		}
		if _, err := conn.Write(encoded); err != nil {
			return nil, err
		}
	}
	frame, err := protocol.ReadFrame(bufio.NewReader(conn), protocol.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	answer := frame.Admin
	if answer == nil {
		return nil, ErrUnexpectedAnswer
	}
	if answer.Failure != "" {
		return answer, &CommandError{Operation: command.Operation, Failure: answer.Failure}
	}
	return answer, nil
}

// Bootstrap creates a cluster. All its servers must answer within the timeout, and must not belong to a cluster. snapshots are
// the initial states by group; nil: all groups start empty. Bootstrap returns the ID of the cluster. An error that wraps
// ErrPartlyBootstrapped comes with the ID. All other errors wrap ErrNotBootstrapped.
func Bootstrap(config *ClusterConfig, snapshots map[int][]byte, timeout time.Duration) (cluster uint64, err error) {
	deadline := time.Now().Add(timeout)
	bootstrap := &protocol.Bootstrap{Groups: config.Groups, Replicas: config.Replicas, Snapshots: snapshots}
	random, err := randomUint64()
	if err != nil {
		return 0, err
	}
	bootstrap.Cluster = random | 1 // never 0, which means none
	for number, member := range config.Members {
		id, err := awaitMember(member.PeerAddress, number, deadline)
		if err != nil {
			return 0, notBootstrapped(member.Name, err)
		}
		bootstrap.Members = append(bootstrap.Members, id)
	}
	var missed []error
	for number, member := range config.Members {
		command := &protocol.Admin{Operation: protocol.OperationBootstrap, Bootstrap: bootstrap}
		if _, err := SendCommand(member.PeerAddress, command, max(minBootstrapTimeout, time.Until(deadline))); err != nil {
			if number == 0 {
				return 0, notBootstrapped(member.Name, err)
			}
			missed = append(missed, fmt.Errorf("%w; %w", &MemberError{Name: member.Name, Err: err}, ErrPartlyBootstrapped))
		}
	}
	return bootstrap.Cluster, errors.Join(missed...)
}

func notBootstrapped(member string, err error) error {
	return fmt.Errorf("%w; %w", &MemberError{Name: member, Err: err}, ErrNotBootstrapped)
}

// awaitMember requests the status of the server at an address until it answers or the deadline has passed. It returns the replica
// ID of a server that has the expected number and does not belong to a cluster.
func awaitMember(address string, number int, deadline time.Time) (protocol.ReplicaID, error) {
	var status *protocol.Admin
	for {
		var err error
		status, err = SendCommand(address, &protocol.Admin{Operation: protocol.OperationStatus}, statusTimeout)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return 0, err
		}
		time.Sleep(bootstrapRetryPeriod)
	}
	if status.Replica != number {
		return 0, fmt.Errorf("is number %d in its own configuration, not %d", status.Replica, number)
	}
	if status.Cluster != 0 {
		return 0, fmt.Errorf("already belongs to cluster %016x", status.Cluster)
	}
	return protocol.NewReplicaID(number, status.Incarnation), nil
}

// TakeSnapshot requests from each server the states of the groups that it leads. It returns a *MissingGroupsError if no leader
// answered for a group.
func TakeSnapshot(config *ClusterConfig, now time.Time) (*Snapshot, error) {
	snapshot := &Snapshot{Taken: now.Unix(), Groups: config.Groups, States: map[int][]byte{}}
	var failures []error
	for _, member := range config.Members {
		answer, err := SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationSnapshot}, snapshotTimeout)
		if err != nil {
			failures = append(failures, &MemberError{Name: member.Name, Err: err})
			continue
		}
		for group, state := range answer.Snapshots {
			snapshot.States[group] = state
		}
	}
	if missing := config.Groups - len(snapshot.States); missing > 0 {
		return nil, &MissingGroupsError{Missing: missing, Groups: config.Groups, Err: errors.Join(failures...)}
	}
	return snapshot, nil
}
