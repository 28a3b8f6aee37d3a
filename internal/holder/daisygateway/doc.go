// Package daisygateway runs statements on backend servers for the whole fleet.
//
// Connections to a server are scarce, belong to one workspace each, and cost
// the server's time to open. So the hosts agree, by rank, on one host near the
// server through which they use it: its gateway. A gateway shares the server's
// slots between workspaces by their weight and keeps the queue on its own side,
// where it is ordered: what is refused there has certainly not run.
//
// Nothing depends on there being one gateway. Two that believe to be it share
// the server's connections less well, until the fleet's state says the same to
// both.
package daisygateway
