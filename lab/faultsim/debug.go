package faultsim

var debug = func(string, ...any) {}
