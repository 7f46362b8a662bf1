// Package periodic runs work at intervals until a context ends.
//
// The work runs on the caller's goroutine, one call after the other, so it needs no lock against itself and its owner knows that it
// has ended once the function returns. A context that ends does not interrupt a call; work that takes long looks at it itself.
package periodic
