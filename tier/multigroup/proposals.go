package multigroup

// pendingProposals are commands of a group that were proposed here and wait to be committed, by their index. Node.mu guards them.
type pendingProposals map[uint64]chan any

// add waits for the command at an index. The result comes on the channel, which is closed if the outcome can't be known.
func (p pendingProposals) add(index uint64) <-chan any {
	result := make(chan any, 1)
	p[index] = result
	return result
}

// resolve hands a result to whoever waits for it.
func (p pendingProposals) resolve(index uint64, result any) {
	if waiter, found := p[index]; found {
		delete(p, index)
		waiter <- result
	}
}

// abandon ends the wait for a command.
func (p pendingProposals) abandon(index uint64) { delete(p, index) }

// failAll ends all waits without a result.
func (p pendingProposals) failAll() {
	for index, waiter := range p {
		close(waiter)
		delete(p, index)
	}
}
