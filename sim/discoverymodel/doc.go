// Package discoverymodel models service discovery, which publishes the list of hosts to the api gateways. Each gateway receives the
// changes with a delay and in order, and a gateway that starts has the list as last received. The model must not depend on whether a
// host works.
package discoverymodel
