// Package daisyquota shares the limit of a workspace, a rate and a burst, among many
// hosts, each of which may lose its connection to the others at any time.
//
// A part of the rate is divided equally among the hosts, which spend it without
// coordination. The rest is a pool on the control leader. A host requests the tokens
// that its demand needs beyond its own part with its heartbeats. A host without a
// connection keeps serving on its own part; one without demand requests nothing.
//
// In any window of length w the fleet takes at most
//
//	rate × w + (hostBurstRatio + poolBurstRatio) × burst
//
// regardless of how many hosts restart, since a process starts without tokens.
//
// Entry hosts use this package. Hosts that hold databases use package daisybucket
// instead, in which one host owns the token bucket and its local buckets hold only
// granted tokens.
package daisyquota
