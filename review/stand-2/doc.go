// Command review-stand-2 starts a small deployment of the serving tier on loopback, with stand-ins for its hosts and its clients, plays
// one case of the review in real time and judges what the clients and the hosts have seen. It uses the standard library only.
//
// Usage: review-stand-2 CASE FOLDER. The record of the run is written to FOLDER/record.txt. TROUBLE=0 leaves out the disruption. The
// exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main
