// Package assets reads files that are embedded in a program by name, and other files by path.
package assets
