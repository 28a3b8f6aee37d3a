// Package daisypool keeps a host's connections to backend servers.
//
// A connection belongs to one workspace. Connections to a server are scarce: all
// hosts share its limit, and opening one costs the server time. So connections
// are reused for sessions of the same workspace. When no more may be opened, the
// least recently used idle connection of another workspace is closed to make
// room. Among waiting workspaces, the one with the fewest connections in use is
// served first. One with up to orderCredit more goes before it if its request does in the
// order of package daisyorder.
//
// An answer names no statement, and a server may send one again. So a connection keeps what
// it has received, passes over an answer that it knows, and is used only for statements
// whose answers can be told from the earlier ones: for another transaction or change of the
// session values once the server's log has gone on, for one request for the status, and after a
// failure for reads only.
//
// If a server refuses a connection since it has too many, as hosts with different states
// of the fleet use it, the pool closes idle ones, opens none for a while, and the request
// waits.
package daisypool
