// Package daisyholder serves the database groups that this host owns. When the
// control log assigns a new term to the host, it takes the group over; while
// the host owns the group, it keeps connections to the group's members and
// chooses a member for each transaction. It releases an answer only if the host
// still owns the group, the host's lease is valid and the profile's
// acknowledgement rule is met.
package daisyholder
