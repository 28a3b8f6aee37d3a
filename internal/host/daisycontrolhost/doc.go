// Package daisycontrolhost assembles a control host of a fleet whose desired state is
// one document: the replicated log, the leader's decisions, the execution of
// its orders, and what servers and operators ask for.
package daisycontrolhost
