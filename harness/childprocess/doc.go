// Package childprocess runs programs as child processes of a test or an experiment. It owns their folder, their log file, the
// signals sent to them and their end. It must never signal a process that it has not started, nor leave one behind.
package childprocess
