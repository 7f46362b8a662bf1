package scenario

import (
	"fmt"
	"strconv"
	"strings"
)

// Names of the kinds of processes at the ends of a link, as used in scripts.
const (
	endClients   = "clients"
	endCounter   = "counter"
	endDiscovery = "discovery"
	endGateway   = "edge"
	endStore     = "keeper"
	endHost      = "host"
)

// maxStores is the maximum number of quota stores in a script.
const maxStores = 9

// ParseNumbers parses process numbers such as "0,2". The texts "*", "all" and "" stand for all numbers below count. A number of count or
// more is an error.
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
			return nil, fmt.Errorf("%q is neither a list of numbers such as 0,2 nor *", text)
		}
		if number >= count {
			return nil, fmt.Errorf("%q: there are %d, from 0", text, count)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// ParseLinkEnd parses one end of a link: the kind of its processes and their numbers. The parameters gateways and hosts are how many of
// each the script has.
func ParseLinkEnd(text string, gateways, hosts int) (kind string, numbers []int, err error) {
	kind, which, _ := strings.Cut(text, " ")
	switch kind {
	case endCounter, endDiscovery, endClients:
		if which != "" {
			return kind, nil, fmt.Errorf("%q: there is only one %s, so it takes no number", text, kind)
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
