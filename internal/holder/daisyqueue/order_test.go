package daisyqueue_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// Guards against requests that miss their objective behind others that have time, and
// against time spent on requests that have missed theirs while others may still meet it.
func TestOrderOfOneWorkspace(t *testing.T) {
	type request struct {
		name     string
		priority int
		startBy  time.Duration // From now on; 0 states none.
		run      time.Duration
	}
	tests := []struct {
		name     string
		requests []request
		want     string
	}{
		{"Priority", []request{{"a", 2, 10, 1}, {"b", 1, 900, 9}, {"c", 0, 0, 0}}, "[c b a]"},
		{"Slack", []request{{"a", 1, 300, 1}, {"b", 1, 100, 5}, {"c", 1, 200, 0}}, "[b c a]"},
		{"LateLast", []request{{"a", 1, 1, 1}, {"b", 1, 300, 5}, {"c", 1, 0, 0}}, "[b c a]"},
		{"RunTimeWithoutObjective", []request{{"a", 1, 0, 30}, {"b", 1, 0, 5}, {"c", 1, 0, 5}}, "[b c a]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := daisyqueue.New(1)
				held, err := q.Acquire(t.Context(), "w")
				assert.NilError(t, err)
				var mu sync.Mutex
				var served []string
				var wait sync.WaitGroup
				for _, r := range test.requests {
					slot := daisyqueue.SlotRequest{Workspace: "w", Priority: r.priority, Class: r.name, RunTime: r.run}
					if r.startBy > 0 {
						slot.StartBy = time.Now().Add(r.startBy * time.Millisecond)
					}
					wait.Go(func() {
						s, err := q.AcquireSlot(t.Context(), slot)
						assert.Check(t, err)
						mu.Lock()
						served = append(served, r.name)
						mu.Unlock()
						s.Release()
					})
					synctest.Wait()
				}
				time.Sleep(5 * time.Millisecond) // What must start within 1 ms is late.
				held.Release()
				wait.Wait()
				assert.Equal(t, fmt.Sprint(served), test.want)
			})
		})
	}
}

// Guards against classes of a low priority that get nothing while higher ones take every
// slot: they get one within 2 s, and hardly more.
func TestNoClassIsWithoutProgress(t *testing.T) {
	const run, span = 20 * time.Millisecond, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		q := daisyqueue.New(2)
		served, longest := make([]int, 3), make([]time.Duration, 3)
		last := [3]time.Time{time.Now(), time.Now(), time.Now()}
		var mu sync.Mutex
		var wait sync.WaitGroup
		end := time.Now().Add(span)
		for i := range 12 { // Four of each class are always waiting or running.
			wait.Go(func() {
				for time.Now().Before(end) {
					s, err := q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: "w", Priority: i % 3, Class: fmt.Sprint(i % 3)})
					if err != nil {
						return
					}
					time.Sleep(run)
					s.Release()
					mu.Lock()
					served[i%3]++
					longest[i%3], last[i%3] = max(longest[i%3], time.Since(last[i%3])), time.Now()
					mu.Unlock()
				}
			})
		}
		time.Sleep(span)
		wait.Wait()
		for class := range served {
			assert.Assert(t, longest[class] < 2*time.Second, "%v %v", served, longest)
		}
		assert.Assert(t, served[0] > 19*(served[1]+served[2]), "%v", served)
	})
}

// Guards against a workspace within its share whose request misses its objective behind
// those of others with more slack, and against a workspace far ahead of its share that
// uses the order to stay there.
func TestSlackOrdersWorkspacesWithinTheirCredit(t *testing.T) {
	for _, test := range []struct {
		name  string
		ahead time.Duration // The service of the hurried request's workspace.
		first string
	}{{"WithinCredit", 200 * time.Millisecond, "hurried"}, {"WithinHurryCredit", 400 * time.Millisecond, "hurried"}, {"BeyondCredit", 600 * time.Millisecond, "patient"}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := daisyqueue.New(1)
				held, err := q.Acquire(t.Context(), "hurried")
				assert.NilError(t, err)
				time.Sleep(test.ahead)
				var mu sync.Mutex
				var first string
				var wait sync.WaitGroup
				for name, left := range map[string]time.Duration{"hurried": 80 * time.Millisecond, "patient": time.Second} {
					wait.Go(func() {
						s, err := q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: name, StartBy: time.Now().Add(left)})
						assert.Check(t, err)
						mu.Lock()
						if first == "" {
							first = name
						}
						mu.Unlock()
						s.Release()
					})
				}
				synctest.Wait()
				held.Release()
				wait.Wait()
				assert.Equal(t, first, test.first)
			})
		})
	}
}

// Guards against requests that wait until their deadline though it is known that they
// cannot be served, and against a full queue that refuses what goes first.
func TestRequestsThatCannotBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := daisyqueue.New(1)
		held, err := q.Acquire(t.Context(), "w")
		assert.NilError(t, err)
		began := time.Now()
		_, err = q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: "w", Hopeless: func(int) bool { return time.Since(began) > 250*time.Millisecond }})
		assert.ErrorIs(t, err, daisyqueue.ErrTooLate)
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
		var wait sync.WaitGroup
		var mu sync.Mutex
		full := 0
		for range 512 { // The value of maxWaiting.
			wait.Go(func() {
				_, err := q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: "w", Priority: 1})
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, daisyqueue.ErrFull) {
					full++
				}
			})
		}
		synctest.Wait()
		served := make(chan error, 1)
		go func() {
			s, err := q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: "w"})
			served <- err
			if err == nil {
				s.Release()
			}
		}()
		synctest.Wait()
		held.Release()
		assert.NilError(t, <-served)
		q.Close()
		wait.Wait()
		assert.Equal(t, full, 1)
	})
}

// Guards against requests that are refused for the load of another workspace: of that,
// only as many are expected to go first as its fair share allows.
func TestExpectedNumberAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := daisyqueue.New(1)
		_, err := q.Acquire(t.Context(), "hot")
		assert.NilError(t, err)
		var wait sync.WaitGroup
		for range 100 {
			wait.Go(func() { _, _ = q.AcquireSlot(t.Context(), daisyqueue.SlotRequest{Workspace: "hot", Priority: 1}) })
		}
		synctest.Wait()
		assert.Equal(t, q.Ahead(daisyqueue.SlotRequest{Workspace: "hot", Priority: 1}), 100)
		assert.Equal(t, q.Ahead(daisyqueue.SlotRequest{Workspace: "calm", Priority: 1}), 1)
		assert.Equal(t, q.Ahead(daisyqueue.SlotRequest{Workspace: "calm", Priority: 2}), 100)
		assert.Equal(t, q.Ahead(daisyqueue.SlotRequest{Workspace: "calm", Priority: 0}), 0)
		assert.Equal(t, q.AllWaiting(), 100)
		q.Close()
		wait.Wait()
	})
}
