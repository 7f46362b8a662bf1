// Package scenario is the form of the scenarios that simulations run: a deployment, its load and its faults, as they stand in a TOML
// file, which the pages call a day. It reads, checks, draws and writes scenarios, and must never run one.
//
// The fields of Scenario say in their tags what a file may hold:
//
//   - day: the key
//   - unit: of a figure: s, /s, share, n (a whole number) or x (a number)
//   - min, max: the bounds of a figure
//   - one: the words that a text may be, with | between them
//   - def: the default; without it the key must be given
//   - about: the sentence in the table of keys (docs/laboratory.md)
package scenario
