// Package daisyrequest defines the requests that entry hosts send to the gateways of
// backend servers, the errors with which gateways refuse them, and the connections
// that are kept for transactions.
package daisyrequest
