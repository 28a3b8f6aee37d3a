// Package daisylayers holds the test that the project's packages import each other in
// one direction only.
package daisylayers
