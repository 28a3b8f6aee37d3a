// Package daisyforwarder brings errands to the gateway of their backend server,
// on this host or another.
//
// Which host is a server's gateway follows from the fleet's state: hosts that
// are up and not leaving are ranked by how near they are to the server and then
// by rendezvous hashing (Thaler and Ravishankar, 1998), so that all hosts agree
// without a message and a lost host moves only what it had. An errand that the
// first cannot send, because it or the server is out of its reach, goes to the
// next.
package daisyforwarder
