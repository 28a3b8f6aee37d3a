package daisystream

import "errors"

// ErrNotSent is wrapped by the error of a request that was certainly not sent.
var ErrNotSent = errors.New("request was not sent")
