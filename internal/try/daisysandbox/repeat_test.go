package daisysandbox_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/standin/daisystandin"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

// repeater makes members send some of their answers twice.
type repeater struct {
	mu      sync.Mutex
	random  *rand.Rand
	share   float64       // Of the answers that are sent twice.
	atOnce  float64       // Of these, those that are sent again at once.
	longest time.Duration // Until the others are.
}

func (r *repeater) repeat() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.random.Float64() >= r.share:
		return 0, false
	case r.random.Float64() < r.atOnce:
		return 0, true
	}
	return time.Duration(r.random.Int64N(int64(r.longest))) + 1, true
}

// tally is what the callers of a run observe.
type tally struct {
	mu              sync.Mutex
	served, foreign int
	refused         map[string]int // By SQLSTATE.
	acknowledged    []string       // Keys of the writes that were committed.
	notKept         []string       // Keys of the writes that were reported as not run.
	first           string
}

func (c *tally) read(sent, got string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, pgx.ErrNoRows), err == nil && got != sent:
		c.foreign++
		c.first = fmt.Sprintf("sent %s, got %s, %v", sent, got, err)
	case err == nil:
		c.served++
	default:
		c.refuse(err)
	}
}

func (c *tally) refuse(err error) {
	code := "other"
	var e *pgconn.PgError
	if errors.As(err, &e) {
		code = e.Code
	}
	c.refused[code]++
}

// readAll reads texts that no other statement asks for until ctx ends.
func (c *tally) readAll(ctx context.Context, f *fleet, id int) {
	mode := []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec}[id%3]
	profile := []string{daisysandbox.ProfileWrite, daisysandbox.ProfileRead}[id%2]
	f.repeatOnConn(ctx, id, profile, func(ctx context.Context, conn *pgx.Conn, n int) {
		sent := fmt.Sprintf("r%d-%d", id, n)
		var got string
		err := conn.QueryRow(ctx, "SELECT '"+sent+"'", mode).Scan(&got)
		c.read(sent, got, err)
	})
}

// transactAll runs transactions of reads and a write, some of which fail, until ctx ends.
func (c *tally) transactAll(ctx context.Context, f *fleet, id int) {
	f.repeatOnConn(ctx, id, daisysandbox.ProfileWrite, func(ctx context.Context, conn *pgx.Conn, n int) {
		key := fmt.Sprintf("t%d-%d", id, n)
		err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			for i := range 3 {
				sent := fmt.Sprintf("%s-%d", key, i)
				var got string
				err := tx.QueryRow(ctx, "SELECT '"+sent+"'", pgx.QueryExecModeSimpleProtocol).Scan(&got)
				c.read(sent, got, err)
				if err != nil {
					return err
				}
			}
			inserts := 1
			if n%5 == 0 {
				inserts = 2 // The second one fails, and with it the transaction.
			}
			for range inserts {
				_, err := tx.Exec(ctx, "INSERT INTO bookings VALUES ('"+key+"', 'once')", pgx.QueryExecModeSimpleProtocol)
				if err != nil {
					return err
				}
			}
			return nil
		})
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil {
			c.acknowledged = append(c.acknowledged, key)
			return
		}
		c.refuse(err)
		if outcomeFor(err) == notRun {
			c.notKept = append(c.notKept, key)
		}
	})
}

// readLargeAll reads, in transactions, answers that are passed on in several parts. Their
// rows differ from those of the answer before.
func (c *tally) readLargeAll(ctx context.Context, f *fleet, id int) {
	f.repeatOnConn(ctx, id, daisysandbox.ProfileRead, func(ctx context.Context, conn *pgx.Conn, n int) {
		_ = pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			for i := range 4 {
				sent := strings.Repeat(string('a'+rune(n+i/2)%26), 900+id)
				rows, err := tx.Query(ctx, fmt.Sprintf("SELECT repeat('%s', %d) FROM generate_series(1, 100)", sent[:1], len(sent)), pgx.QueryExecModeSimpleProtocol)
				if err != nil {
					c.read(sent, "", err)
					return err
				}
				err = c.readRows(rows, sent)
				if err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// readRows checks that all 100 rows are the text that was asked for, also those of an
// answer that is cut off.
func (c *tally) readRows(rows pgx.Rows, sent string) error {
	got, n := sent, 0
	for ; rows.Next(); n++ {
		if text := string(rows.RawValues()[0]); text != sent {
			got = text
		}
	}
	err := rows.Err()
	if err == nil && n != 100 {
		got = fmt.Sprintf("%d rows", n)
	}
	if got != sent {
		c.read(sent, got, nil)
		return err
	}
	c.read(sent, got, err)
	return err
}

// repeatOnConn calls do on a connection until ctx ends. It opens another when one is
// closed.
func (f *fleet) repeatOnConn(ctx context.Context, id int, profile string, do func(ctx context.Context, conn *pgx.Conn, n int)) {
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = f.connect(ctx, id%f.hostCount, profile); err != nil {
				conn = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		opCtx, cancel := context.WithTimeout(ctx, clientTimeout)
		do(opCtx, conn, n)
		cancel()
		time.Sleep(time.Millisecond)
	}
	if conn != nil {
		f.closeConn(conn)
	}
}

// TestSecondAnswersReachNoOtherStatement lets servers send answers twice, at once and
// late. It guards against an answer that is taken for that of a later statement, of the
// same transaction or of another session, and against a COMMIT that is so acknowledged.
func TestSecondAnswersReachNoOtherStatement(t *testing.T) {
	tests := []struct {
		name     string
		repeater *repeater
		served   int // Least number of reads.
		commits  int // Least number of transactions.
	}{
		{"None", &repeater{longest: 1}, 2000, 200},
		{"AtOnce", &repeater{share: 0.2, atOnce: 1, longest: 1}, 1000, 50},
		{"Late", &repeater{share: 0.2, longest: 60 * time.Millisecond}, 500, 20},
		{"SomeLate", &repeater{share: 0.02, atOnce: 0.5, longest: 60 * time.Millisecond}, 1000, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.close()
				test.repeater.random = rand.New(rand.NewPCG(1, 2))
				f.eachMember(func(m *daisystandin.Member) { m.RepeatAnswers(test.repeater.repeat) })
				c := &tally{refused: make(map[string]int)}
				ctx, cancel := context.WithCancel(context.Background())
				var wait sync.WaitGroup
				for i := range 6 {
					wait.Go(func() { c.readAll(ctx, f, i) })
					wait.Go(func() { c.transactAll(ctx, f, i) })
				}
				wait.Go(func() { c.readLargeAll(ctx, f, 0) })
				wait.Go(func() { c.readLargeAll(ctx, f, 1) })
				time.Sleep(5 * time.Second)
				cancel()
				ended := make(chan struct{})
				go func() {
					wait.Wait()
					close(ended)
				}()
				select {
				case <-ended:
				case <-time.After(2 * clientTimeout):
					t.Error("callers wait for an answer that never comes")
					return
				}
				f.eachMember(func(m *daisystandin.Member) { m.RepeatAnswers(nil) })
				rows := f.primaryRows()
				lost, kept := 0, 0
				for _, key := range c.acknowledged {
					if rows[key] == "" {
						lost++
					}
				}
				for _, key := range c.notKept {
					if rows[key] != "" {
						kept++
					}
				}
				t.Logf("%d reads served, %d foreign, %d commits acknowledged, %d of them lost, %d of %d not run kept, refused %v; %s",
					c.served, c.foreign, len(c.acknowledged), lost, kept, len(c.notKept), c.refused, c.first)
				assert.Check(t, c.foreign == 0, "%d reads got the answer of another statement", c.foreign)
				assert.Check(t, lost == 0, "%d acknowledged transactions are lost", lost)
				assert.Check(t, kept == 0, "%d transactions that were reported as not run are kept", kept)
				assert.Check(t, c.served >= test.served, "%d reads were served", c.served)
				assert.Check(t, len(c.acknowledged) >= test.commits, "%d transactions were committed", len(c.acknowledged))
			})
		})
	}
}

func (f *fleet) eachMember(do func(m *daisystandin.Member)) {
	for _, m := range f.group.Members() {
		do(m)
	}
}

// TestLateCancelReachesNoOtherSession cancels statements at about the time at which they
// end. It guards against a cancel request that stops the next statement on the server's
// connection, which is another session's.
func TestLateCancelReachesNoOtherSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		var mu sync.Mutex
		cancelled, ended, others := 0, 0, 0
		for i := range 4 {
			random := rand.New(rand.NewPCG(uint64(i), 3))
			wait.Go(func() {
				f.repeatOnConn(ctx, i, daisysandbox.ProfileWrite, func(ctx context.Context, conn *pgx.Conn, _ int) {
					sent := make(chan struct{})
					time.AfterFunc(time.Duration(random.Int64N(int64(12*time.Millisecond))), func() {
						defer close(sent)
						_ = conn.PgConn().CancelRequest(ctx)
					})
					_, err := conn.Exec(ctx, "SELECT pg_sleep(0.004)")
					<-sent
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						cancelled++
						return
					}
					ended++
				})
			})
			wait.Go(func() {
				f.repeatOnConn(ctx, i, daisysandbox.ProfileWrite, func(_ context.Context, conn *pgx.Conn, _ int) {
					_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.002)")
					mu.Lock()
					defer mu.Unlock()
					others++
					assert.Check(t, err, "a session that sent no cancel request")
				})
			})
		}
		time.Sleep(3 * time.Second)
		cancel()
		wait.Wait()
		t.Logf("%d statements cancelled, %d ended before, %d of other sessions", cancelled, ended, others)
		assert.Check(t, cancelled > 50 && ended > 50 && others > 500)
	})
}
