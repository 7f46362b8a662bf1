package multigroup

// pendingProposals maps the index of each command that was proposed on this node and is not committed yet to the channel for its
// result. Node.mu guards it.
type pendingProposals map[uint64]chan any

// add registers the command at index and returns the channel that receives its result. The channel is closed without a result if
// the outcome cannot be determined.
func (p pendingProposals) add(index uint64) <-chan any {
	result := make(chan any, 1)
	p[index] = result
	return result
}

// resolve sends the result of the command at index to the caller that waits for it, if there is one.
func (p pendingProposals) resolve(index uint64, result any) {
	if waiter, found := p[index]; found {
		delete(p, index)
		waiter <- result
	}
}

// abandon removes the command at index because its caller no longer waits.
func (p pendingProposals) abandon(index uint64) { delete(p, index) }

// failAll closes all channels without a result and removes all commands.
func (p pendingProposals) failAll() {
	for index, waiter := range p {
		close(waiter)
		delete(p, index)
	}
}
