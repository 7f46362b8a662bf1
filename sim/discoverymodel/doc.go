// Package discoverymodel models service discovery: the list of hosts and its way to the api gateways. Each gateway learns of each
// change late and in order, and one that starts has the list as it was last told. It must never know whether a host works.
package discoverymodel
