// Package retryafter computes the delay after which a rejected client should retry.
//
// It is pure: its inputs are the times at which a dependency of requests failed and worked again, and its output is the delay for
// Retry-After. It has no parameters specific to a deployment: it estimates the duration of outages from those that this process has
// seen.
//
// # Compared with gateway/policy
//
// The Retry-After of gateway/policy is the time at which a customer's quota is refilled, which follows from the customer's plan. It
// has no outage to estimate, so the packages share no code.
package retryafter
