// Package agent is the process beside each proxy that keeps the link to control. It follows what control distributes and feeds it
// to the proxy over loopback, so that a proxy that starts finds a view at once and control serves one subscriber a machine.
//
// # The life of a change and of an observation
//
// A change comes from a publisher of control into the agent's view (feed.Subscriber) and goes on to the proxy (feed.Publisher). An
// observation of hosts comes the other way: the proxy sends it with controlclient.KindHostObservations, it waits in a bounded
// queue, and one call hands it to the primary of control.
//
// # Invariants
//
//   - The agent distributes whatever view it has, also while it cannot reach control: an old view is better for the proxy than none.
//   - It never makes a report of observations twice. Reports that find the queue full are dropped.
//
// # What it must not do
//
// It decides nothing and stores nothing; its loss costs a proxy only the news.
package agent
