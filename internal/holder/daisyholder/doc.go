// Package daisyholder serves the databases whose tenure this host holds. It
// takes a group over when a new term is assigned to the host, keeps the
// group's connections, chooses a member for each transaction and releases an
// answer only when the tenure, the host's lease and the profile's rule for
// acknowledging allow it.
package daisyholder
