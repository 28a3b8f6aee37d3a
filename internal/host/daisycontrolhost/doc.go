// Package daisycontrolhost assembles a control host of a fleet whose desired state is
// one document: the replicated control log, the leader's decisions, the
// execution of the leader's orders, and the calls of servers and operators.
package daisycontrolhost
