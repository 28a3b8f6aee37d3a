package daisyspec

import (
	"fmt"
	"math"
	"time"
)

// Cold limits what the servers of a service get while they are cold: after their start
// their caches are empty, and a server that gets its whole load then answers late.
type Cold struct {
	Duration time.Duration // For how long a server is cold after its start; 0 if never.
	Rate     float64       // Requests per second of a cold server from all hosts together; 0 sets no limit.
}

// Limited reports whether a cold server's requests are limited.
func (c Cold) Limited() bool { return c.Rate > 0 }

func (c Cold) check(service string) error {
	if c.Duration < 0 || c.Rate < 0 || math.IsNaN(c.Rate) || math.IsInf(c.Rate, 0) {
		return fmt.Errorf("service %q has an invalid duration or rate of cold servers", service)
	}
	return nil
}
