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

// clientTimeout is how long a client waits for the result of a request.
const clientTimeout = 6 * time.Second

// workload runs clients that insert bookings through the hosts of a fleet.
type workload struct {
	hostCount int
	targets   []int // The hosts that clients connect to; all if empty.
	connect   func(ctx context.Context, host int, profile string) (*pgx.Conn, error)
}

// outcome is what a client knows about a request.
type outcome int

const (
	acknowledged outcome = iota
	notRun               // Refused with a message that says it was not run.
	unknown
	alreadyRecorded // Refused because its request ID was recorded before.
)

const (
	resolveAttempts = 40
	resolveInterval = 500 * time.Millisecond
)

// errorReporter receives violations of the guarantees.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// history records the outcomes that clients observe and checks them against the
// rows that the primary holds.
type history struct {
	t          errorReporter
	mu         sync.Mutex
	outcomes   map[string]outcome // By booking key.
	resolved   int                // Outcomes that were unknown at first.
	acks       []time.Time
	staleReads []string // Acknowledged writes that a later read did not find.
}

func newHistory(t errorReporter) *history {
	return &history{t: t, outcomes: make(map[string]outcome)}
}

func (h *history) record(key string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcomes[key] == unknown {
		h.resolved++
	}
	h.outcomes[key] = o
	if o == acknowledged {
		h.acks = append(h.acks, time.Now())
	}
}

func (h *history) recordStaleRead(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staleReads = append(h.staleReads, key)
}

func (h *history) count(o outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, other := range h.outcomes {
		if other == o {
			n++
		}
	}
	return n
}

// longestGap returns the longest time without an acknowledged write, from the
// first acknowledgement to the end.
func (h *history) longestGap(end time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var longest time.Duration
	for i, at := range h.acks {
		next := end
		if i+1 < len(h.acks) {
			next = h.acks[i+1]
		}
		longest = max(longest, next.Sub(at))
	}
	return longest
}

// check compares the outcomes with the rows of the group's primary and reports
// reads that missed a write of their session.
func (h *history) check(rows map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, o := range h.outcomes {
		value, stored := rows[key]
		switch {
		case o == acknowledged && !stored:
			h.t.Errorf("write %s was acknowledged and is lost", key)
		case o == notRun && stored:
			h.t.Errorf("write %s was refused as not run and is stored", key)
		case stored && value != "once":
			h.t.Errorf("write %s is stored as %q", key, value)
		}
	}
	for _, key := range h.staleReads {
		h.t.Errorf("write %s was acknowledged and a later read of its session did not find it", key)
	}
}

// runClient inserts bookings through random hosts until ctx ends. Each booking is
// inserted once and, if acknowledged, read back through a random host with the
// read-only profile, which replicas may serve.
func (w *workload) runClient(ctx context.Context, hist *history, id int) {
	random := rand.New(rand.NewPCG(uint64(id), 7))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("c%d-%d", id, n)
		hist.record(key, w.book(ctx, random, hist, key))
		if hist.outcomeOf(key) == acknowledged {
			w.readBack(ctx, random, hist, key)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (h *history) outcomeOf(key string) outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcomes[key]
}

// randomHost returns a random host, as the platform's load balancer selects one.
func (w *workload) randomHost(random *rand.Rand) int {
	if len(w.targets) > 0 {
		return w.targets[random.IntN(len(w.targets))]
	}
	return random.IntN(w.hostCount)
}

// book inserts a booking with its key as the request ID. If the outcome is unknown,
// it sends further requests with that ID until it learns the outcome.
func (w *workload) book(ctx context.Context, random *rand.Rand, hist *history, key string) outcome {
	statement := fmt.Sprintf("/* daisyglade.request=%s */ INSERT INTO bookings VALUES ($1, $2)", key)
	result := w.execute(ctx, random, statement, key, "once")
	if result != unknown {
		return result
	}
	hist.record(key, unknown)
	retry := statement
	if random.IntN(2) == 0 {
		// Recording the request ID by itself ensures that the request never runs later.
		retry = "INSERT INTO daisyglade_requests VALUES ($1, $2)"
	}
	for range resolveAttempts {
		time.Sleep(resolveInterval)
		result = w.execute(ctx, random, retry, key, "once")
		switch {
		case result == alreadyRecorded:
			return acknowledged
		case result == acknowledged && retry == statement:
			return acknowledged
		case result == acknowledged:
			return notRun
		}
	}
	return unknown
}

// execute runs one statement through a random host.
func (w *workload) execute(ctx context.Context, random *rand.Rand, statement string, args ...any) outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout)
	defer cancel()
	conn, err := w.connect(ctx, w.randomHost(random), daisysandbox.ProfileWrite)
	if err != nil {
		return notRun
	}
	defer w.closeConn(conn)
	_, err = conn.Exec(ctx, statement, append([]any{pgx.QueryExecModeExec}, args...)...)
	return outcomeFor(err)
}

// closeConn closes a session with a time limit, since its host may be unreachable.
func (w *workload) closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

func outcomeFor(err error) outcome {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &pgErr) && (pgErr.Code == "DG001" || pgErr.Code == "23505"):
		return alreadyRecorded
	case errors.As(err, &pgErr) && len(pgErr.Message) > 7 && pgErr.Message[:7] == "not run":
		return notRun
	}
	return unknown
}

func (w *workload) readBack(ctx context.Context, random *rand.Rand, hist *history, key string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout)
	defer cancel()
	conn, err := w.connect(ctx, w.randomHost(random), daisysandbox.ProfileRead)
	if err != nil {
		return
	}
	defer w.closeConn(conn)
	var value string
	err = conn.QueryRow(ctx, "SELECT value FROM bookings WHERE key = $1", key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		hist.recordStaleRead(key)
	}
}

// load runs n clients for the sum of both durations and calls inject between them.
func (w *workload) load(hist *history, n int, before, after time.Duration, inject func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { w.runClient(ctx, hist, i) })
	}
	time.Sleep(before)
	inject()
	time.Sleep(after)
	cancel()
	wait.Wait()
}
