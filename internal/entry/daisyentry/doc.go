// Package daisyentry serves client connections: it speaks the PostgreSQL v3
// protocol, checks API keys, collects the messages of each request, sends the
// request to the holder of the database and writes the answer back.
//
// The user name is the workspace, the password is the API key and the database
// name selects the profile. The secret of the key never leaves this package.
package daisyentry
