package scenario

import (
	"fmt"
	"strconv"
	"strings"
)

// The kinds of processes that a link can end at, as scripts name them.
const (
	endClients   = "clients"
	endCounter   = "counter"
	endDiscovery = "discovery"
	endGateway   = "edge"
	endStore     = "keeper"
	endHost      = "host"
)

// maxStores is how many quota stores a script can have.
const maxStores = 9

// ParseNumbers reads numbers such as "0,2"; "*", "all" and "" are all of count. Numbers from count on are an error.
func ParseNumbers(text string, count int) ([]int, error) {
	var numbers []int
	if text == "*" || text == "all" || text == "" {
		for number := range count {
			numbers = append(numbers, number)
		}
		return numbers, nil
	}
	for _, part := range strings.Split(text, ",") {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return nil, fmt.Errorf("%q: numbers such as 0,2 are wanted, or *", text)
		}
		if number >= count {
			return nil, fmt.Errorf("%q: there are %d, from 0", text, count)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// ParseLinkEnd reads one end of a link: the kind of its processes, and which of them. There are so many api gateways and hosts.
func ParseLinkEnd(text string, gateways, hosts int) (kind string, numbers []int, err error) {
	kind, which, _ := strings.Cut(text, " ")
	switch kind {
	case endCounter, endDiscovery, endClients:
		if which != "" {
			return kind, nil, fmt.Errorf("%q: there is one %s", text, kind)
		}
		return kind, nil, nil
	case endStore:
		numbers, err = ParseNumbers(which, maxStores)
	case endGateway:
		numbers, err = ParseNumbers(which, gateways)
	case endHost:
		numbers, err = ParseNumbers(which, hosts)
	default:
		return kind, nil, fmt.Errorf("%q is no end of a link: clients, counter, discovery, edge N, keeper N or host N", text)
	}
	return kind, numbers, err
}
