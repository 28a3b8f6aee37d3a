// Package daisyquota decides how the limit of a workspace, a rate and a
// burst, is shared by many hosts of which each may be cut off at any time.
//
// A part of the rate belongs to the hosts in equal shares, which they spend
// without asking. The rest is a pool at the control leader, from which a
// host draws what its demand lacks with its heartbeats. A host that is cut off
// keeps serving on its part; one without demand draws nothing.
//
// In every window of length w the fleet takes at most
//
//	rate × w + (hostStock + poolStock) × burst
//
// however many hosts restart, since a process begins without tokens.
package daisyquota
