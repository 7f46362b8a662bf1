package network

// The methods below begin a fault, or end one that began with the same argument. Faults may overlap and end in any order.

// IsolateZone partitions a zone from all others.
func (n *Network) IsolateZone(zone int, begin bool) {
	if begin {
		n.isolations[zone]++
	} else {
		n.isolations[zone]--
	}
}

// ScaleDelays multiplies all delays by a factor.
func (n *Network) ScaleDelays(factor float64, begin bool) { n.delayFactors.Toggle(factor, begin) }

// ResetConnections resets the connections of a share of the attempts.
func (n *Network) ResetConnections(share float64, begin bool) { n.resetShares.Toggle(share, begin) }

// LoseAnswers loses a share of the answers, as half-open connections do.
func (n *Network) LoseAnswers(share float64, begin bool) { n.lossShares.Toggle(share, begin) }
