// Package daisyentry serves callers: it speaks the PostgreSQL v3 protocol,
// checks keys, gathers each request and passes it to the holder of the
// database, and writes the answer back.
//
// The user name is the workspace, the password is the key and the database
// name picks the profile. The key goes no further than this package.
package daisyentry
