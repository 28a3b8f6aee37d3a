package daisyforwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against statements that a gateway runs though their callers have given up:
// the time for which a call is held up on its way counts against its deadlines.
func TestTransitDelay(t *testing.T) {
	type message struct{ sent, received, delay time.Duration }
	tests := []struct {
		name     string
		messages []message
	}{
		{"Punctual", []message{{0, 0, 0}, {time.Second, time.Second, 0}}},
		{"HeldUp", []message{{0, 0, 0}, {time.Second, 1700 * time.Millisecond, 700 * time.Millisecond}}},
		{"FirstHeldUp", []message{{0, 300 * time.Millisecond, 0}, {time.Second, time.Second, 0}, {2 * time.Second, 2300 * time.Millisecond, 300 * time.Millisecond}}},
		{"SlowerClock", []message{{0, 0, 0}, {59 * time.Second, time.Minute, 0}, {59500 * time.Millisecond, 60600 * time.Millisecond, 100 * time.Millisecond}}},
		{"BaselineOfPeriodBefore", []message{{0, 0, 0}, {11 * time.Second, 11500 * time.Millisecond, 500 * time.Millisecond}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d transit
			began := time.Unix(1000, 0)
			for _, m := range test.messages {
				assert.Equal(t, d.delay(m.sent, began.Add(m.received)), m.delay, "sent at %v", m.sent)
			}
		})
	}
}
