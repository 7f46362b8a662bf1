// Package retryafter works out when a rejected client had best retry.
//
// It is pure: when a dependency of requests failed and worked again goes in, with the time, and the delay for Retry-After comes
// out. Nothing in it is tuned to a deployment: it learns how long outages last from those that this process has seen.
//
// # Compared with gateway/policy
//
// The gateway's Retry-After says when a customer's quota is refilled, which its plan tells; it has no outage to estimate. Nothing is
// shared.
package retryafter
