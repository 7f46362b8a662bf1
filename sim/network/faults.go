package network

// The faults of the network. Each method begins one, or ends one that began with the same argument; faults overlap and end in
// any order.

// IsolateZone cuts a zone off from all others.
func (n *Network) IsolateZone(zone int, begin bool) {
	if begin {
		n.isolations[zone]++
	} else {
		n.isolations[zone]--
	}
}

// ScaleDelays multiplies all delays by a factor.
func (n *Network) ScaleDelays(factor float64, begin bool) { n.delayFactors.Toggle(factor, begin) }

// ResetConnections resets the connection under a share of the attempts.
func (n *Network) ResetConnections(share float64, begin bool) { n.resetShares.Toggle(share, begin) }

// LoseAnswers loses a share of the answers, as half-open connections do.
func (n *Network) LoseAnswers(share float64, begin bool) { n.lossShares.Toggle(share, begin) }
