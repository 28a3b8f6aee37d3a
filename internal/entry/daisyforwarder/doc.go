// Package daisyforwarder forwards statement requests to the gateway host of
// their backend server, which may be this host or another.
//
// Which hosts are the gateways of a server follows from the fleet's state: hosts
// that are up and not leaving are ranked by their distance to the server and
// then by rendezvous hashing (Thaler and Ravishankar, 1998). So all hosts agree
// without exchanging messages, and the loss of a host moves only the servers
// that it was the gateway of. A request that the first gateway cannot send,
// because that host or the server is unreachable, goes to the next.
package daisyforwarder
