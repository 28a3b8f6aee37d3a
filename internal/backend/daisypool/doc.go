// Package daisypool keeps a host's connections to backend servers.
//
// A connection belongs to one workspace, and the number of connections to a
// server is scarce: it is shared by all hosts, and opening one takes the
// server's time. So connections are reused for sessions of the same workspace,
// the least recently used of another workspace is given up when none may be
// opened, and waiting workspaces are served by how few connections they hold.
package daisypool
