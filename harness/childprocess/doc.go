// Package childprocess runs programs as child processes of a test or an experiment. It manages their working folder, their log
// file, the signals sent to them and their termination. It must never signal a process that it has not started, and must never
// leave a process running.
package childprocess
