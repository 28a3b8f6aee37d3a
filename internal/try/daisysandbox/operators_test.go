package daisysandbox_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// counter is a workspace whose rate operators increment concurrently, each with the
// revision that it has read. The final rate must match the number of accepted changes:
// none may be lost, reverted or applied twice.
type counter struct {
	f               *fleet
	id              daisyfleet.ID
	ctx             context.Context
	cancel          context.CancelFunc
	wait            sync.WaitGroup
	mu              sync.Mutex
	accepted        int
	unknownOutcomes int // Changes whose outcome the operator did not learn in time.
}

func newCounter(f *fleet) *counter {
	c := &counter{f: f, id: daisyfleet.ID{Kind: daisyfleet.KindWorkspace, Name: "counter"}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	assert.NilError(f.t, f.plan.Operator().Change(c.ctx, daisyfleet.Change{
		ID: "counter", Operations: []daisyfleet.Operation{{ID: c.id, Value: daisyfleet.Workspace{Home: daisysandbox.Database, Rate: 1, Burst: 1}}},
	}))
	return c
}

// start starts operators that change the counter until stop.
func (c *counter) start(operators int) {
	for i := range operators {
		c.wait.Go(func() { c.runOperator(i) })
	}
}

func (c *counter) runOperator(operator int) {
	client := c.f.plan.Operator()
	client.HTTP.Timeout = time.Second
	for n := 0; c.ctx.Err() == nil; n++ {
		if o, ok := c.read(); ok {
			c.increment(client, o, fmt.Sprintf("operator%d-%d", operator, n))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// read returns the counter from a running host, whose state may be stale.
func (c *counter) read() (daisyfleet.Object, bool) {
	for _, h := range c.f.running() {
		var o daisyfleet.Object
		var ok bool
		h.View().Read(func(s *daisyfleet.State) { o, ok = s.Get(c.id) })
		if ok {
			return o, true
		}
	}
	return daisyfleet.Object{}, false
}

// increment submits a change that adds one, and repeats it until its outcome is known
// or 20 s have passed.
func (c *counter) increment(client *daisysandbox.OperatorClient, o daisyfleet.Object, id string) {
	w, _ := o.Value.(daisyfleet.Workspace)
	w.Rate++
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	out, err := client.Submit(ctx, daisyfleet.Change{ID: id, Operations: []daisyfleet.Operation{{ID: c.id, ExpectedRevision: o.Revision, Value: w}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.unknownOutcomes++
	case out.Accepted:
		c.accepted++
	}
}

func (c *counter) stop() {
	c.cancel()
	c.wait.Wait()
}

func (c *counter) check() {
	time.Sleep(time.Second)
	assert.Equal(c.f.t, c.unknownOutcomes, 0, "changes without an outcome")
	for _, h := range c.f.running() {
		w, _ := h.View().Workspace(c.id.Name)
		assert.Check(c.f.t, int(w.Rate) == 1+c.accepted, "%d changes were accepted, the counter is at %d", c.accepted, int(w.Rate)-1)
	}
	assert.Check(c.f.t, c.accepted > 10, "only %d changes were accepted", c.accepted)
}
