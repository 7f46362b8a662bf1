// Package operatorconfig reads the operator's file: what an installation wants of its gateways beyond the settings that all of them
// share, that is what is enabled and how much of a resource it may use. The package knows nothing of what the parts do with it.
package operatorconfig
