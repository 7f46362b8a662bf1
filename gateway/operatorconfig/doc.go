// Package operatorconfig reads the operator's file, which configures the gateways of an installation beyond the settings that all
// of them share: which optional features are enabled, and how much of a resource each may use. The package validates the file
// and implements none of the features.
package operatorconfig
