// Package daisystandin implements a stand-in for a replicated database group. It
// speaks the PostgreSQL v3 protocol, keeps its rows in memory and replicates them
// asynchronously with a configurable lag, so that daisyglade can be tried and
// tested without a database.
//
// A member supports a few statements on tables of two text columns, key and
// value, and the functions through which daisyglade controls a group:
//
//	platform.member_status()
//	platform.fence(term)
//	platform.promote(term)
//	platform.follow(term, address)
//	platform.await(received, applied, milliseconds)
//
// After each commit that wrote rows, a session reports the log position of the
// commit as the parameter platform.position.
package daisystandin
