package daisystream

import "errors"

// ErrNotSent is wrapped by errors of requests that were certainly not sent.
var ErrNotSent = errors.New("request was not sent")
