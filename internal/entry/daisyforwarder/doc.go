// Package daisyforwarder forwards statement requests to the gateway host of
// their backend server, which may be this host or another.
//
// Package daisyplacement ranks the gateways of a server by the fleet's state, so that
// all hosts agree on them without exchanging messages. In a large fleet the requests of
// a server are spread over its gateways by workspace. A request that the first gateway
// in the workspace's order cannot send, because that host or the server is unreachable,
// goes to the next.
package daisyforwarder
