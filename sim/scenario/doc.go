// Package scenario defines the file format of simulation scenarios: a deployment, its load and its faults, written in TOML. The
// documentation and the command line call a scenario a day. The package reads, validates, samples and writes scenarios, and must
// never run one.
//
// The struct tags of Scenario and of its nested types describe the file format:
//
//   - day: the key
//   - unit: the unit of a number: s, /s, share, n (a whole number) or x (any number)
//   - min, max: the bounds of a number
//   - one: the allowed strings, separated by |
//   - def: the default; a key without a default is required
//   - about: the description in the table of keys (docs/laboratory.md)
package scenario
