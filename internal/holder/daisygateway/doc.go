// Package daisygateway runs statements on backend servers for the whole fleet.
//
// Connections to a server are scarce, each serves one workspace, and opening one
// costs the server time. The hosts therefore rank themselves for each server and
// use it through the first of the ranking, hosts near the server: its gateways. In a
// large fleet each of them serves a part of the workspaces; in a small one the first
// serves all. A gateway shares the server's slots between workspaces by their weight. It queues
// statements itself instead of in the server, where it can order them; a
// statement that the queue refuses has certainly not run.
//
// Correctness does not depend on there being one gateway. Two hosts that both
// believe to be a server's gateway share its connections less well, until both
// have the same state of the fleet.
package daisygateway
