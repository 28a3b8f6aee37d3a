package daisysandbox_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// callerTimeout is how long a caller waits for an answer before it gives up.
const callerTimeout = 6 * time.Second

// callers book through the hosts of a fleet.
type callers struct {
	count   int   // Hosts of the fleet.
	only    []int // The hosts that callers use; all if empty.
	connect func(ctx context.Context, host int, profile string) (*pgx.Conn, error)
}

// fate is what a caller learned of a request.
type fate int

const (
	acknowledged fate = iota
	notRun            // Refused with the word that it was not run.
	unknown
	recorded // The name was recorded before.
)

const (
	settleAttempts = 40
	settleInterval = 500 * time.Millisecond
)

// failer is told of what must not be.
type failer interface {
	Errorf(format string, args ...any)
}

// witness sees what callers saw and checks it against what the members hold.
type witness struct {
	t       failer
	mu      sync.Mutex
	fate    map[string]fate
	settled int // Outcomes that were unknown at first.
	acks    []time.Time
	lost    []string // Acknowledged writes that a later read did not find.
}

func newWitness(t failer) *witness { return &witness{t: t, fate: make(map[string]fate)} }

func (w *witness) note(key string, f fate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fate[key] == unknown {
		w.settled++
	}
	w.fate[key] = f
	if f == acknowledged {
		w.acks = append(w.acks, time.Now())
	}
}

func (w *witness) stale(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = append(w.lost, key)
}

func (w *witness) count(f fate) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, g := range w.fate {
		if g == f {
			n++
		}
	}
	return n
}

// gap returns the longest time without an acknowledged write up to the end.
func (w *witness) gap(end time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for i, at := range w.acks {
		next := end
		if i+1 < len(w.acks) {
			next = w.acks[i+1]
		}
		longest = max(longest, next.Sub(at))
	}
	return longest
}

// check compares what callers saw with the rows of the group's primary.
func (w *witness) check(rows map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, f := range w.fate {
		value, stored := rows[key]
		switch {
		case f == acknowledged && !stored:
			w.t.Errorf("write %s was acknowledged and is gone", key)
		case f == notRun && stored:
			w.t.Errorf("write %s was refused as not run and is stored", key)
		case stored && value != "once":
			w.t.Errorf("write %s is stored as %q", key, value)
		}
	}
	for _, key := range w.lost {
		w.t.Errorf("write %s was acknowledged and not read by its session", key)
	}
}

// caller books through random hosts until ctx ends: each booking is inserted
// once and, when acknowledged, read back through another host and a replica.
func (c *callers) caller(ctx context.Context, w *witness, id int) {
	random := rand.New(rand.NewPCG(uint64(id), 7))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("c%d-%d", id, n)
		w.note(key, c.book(ctx, random, w, key))
		if w.fateOf(key) == acknowledged {
			c.readBack(ctx, random, w, key)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *witness) fateOf(key string) fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fate[key]
}

// anyHost returns a host as the platform's balancer would choose it.
func (c *callers) anyHost(random *rand.Rand) int {
	if len(c.only) > 0 {
		return c.only[random.IntN(len(c.only))]
	}
	return random.IntN(c.count)
}

// book inserts a booking under its name. If the outcome is unknown the caller
// settles it, so that in the end it knows.
func (c *callers) book(ctx context.Context, random *rand.Rand, w *witness, key string) fate {
	statement := fmt.Sprintf("/* daisyglade.request=%s */ INSERT INTO bookings VALUES ($1, $2)", key)
	result := c.execute(ctx, random, statement, key, "once")
	if result != unknown {
		return result
	}
	w.note(key, unknown)
	again := statement
	if random.IntN(2) == 0 {
		// Recording the name in the request's place settles that it never runs.
		again = "INSERT INTO daisyglade_requests VALUES ($1, $2)"
	}
	for range settleAttempts {
		time.Sleep(settleInterval)
		result = c.execute(ctx, random, again, key, "once")
		switch {
		case result == recorded:
			return acknowledged
		case result == acknowledged && again == statement:
			return acknowledged
		case result == acknowledged:
			return notRun
		}
	}
	return unknown
}

// execute runs one statement through any host.
func (c *callers) execute(ctx context.Context, random *rand.Rand, statement string, args ...any) fate {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	conn, err := c.connect(ctx, c.anyHost(random), daisysandbox.ProfileWrite)
	if err != nil {
		return notRun
	}
	defer c.hangUp(conn)
	_, err = conn.Exec(ctx, statement, append([]any{pgx.QueryExecModeExec}, args...)...)
	return fateFor(err)
}

// hangUp closes a session without waiting for a host that may be gone.
func (c *callers) hangUp(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

func fateFor(err error) fate {
	var refusal *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &refusal) && (refusal.Code == "DG001" || refusal.Code == "23505"):
		return recorded
	case errors.As(err, &refusal) && len(refusal.Message) > 7 && refusal.Message[:7] == "not run":
		return notRun
	}
	return unknown
}

func (c *callers) readBack(ctx context.Context, random *rand.Rand, w *witness, key string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	conn, err := c.connect(ctx, c.anyHost(random), daisysandbox.ProfileRead)
	if err != nil {
		return
	}
	defer c.hangUp(conn)
	var value string
	err = conn.QueryRow(ctx, "SELECT value FROM bookings WHERE key = $1", key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		w.stale(key)
	}
}

// load runs callers for the duration and calls strike in between.
func (c *callers) load(w *witness, n int, before, after time.Duration, strike func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { c.caller(ctx, w, i) })
	}
	time.Sleep(before)
	strike()
	time.Sleep(after)
	cancel()
	wait.Wait()
}
