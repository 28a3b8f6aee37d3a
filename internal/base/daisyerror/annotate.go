// Package daisyerror adds context to the errors that functions return.
package daisyerror

import "fmt"

// Annotate prefixes *err with the formatted text if *err is not nil. It is
// deferred once, at the start of a function with a named error result.
func Annotate(err *error, format string, args ...any) {
	if *err == nil {
		return
	}
	*err = fmt.Errorf(format+": %w", append(args, *err)...)
}
