// Package assets finds the files that are built into a program by their names, and other files by their paths.
package assets
