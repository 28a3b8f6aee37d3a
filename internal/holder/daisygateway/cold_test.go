package daisygateway_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
)

// coldBackend is a server that records when it got statements.
type coldBackend struct {
	*backend
	mu  sync.Mutex
	got []time.Time
}

func (b *coldBackend) Dial(ctx context.Context, t daisypool.Target) (daisypool.Link, error) {
	l, err := b.backend.Dial(ctx, t)
	c, _ := l.(*connection)
	return &coldConn{connection: c, cold: b}, err
}

type coldConn struct {
	*connection
	cold *coldBackend
}

func (c *coldConn) Send(s []daisystatement.Statement) error {
	c.cold.mu.Lock()
	c.cold.got = append(c.cold.got, time.Now())
	c.cold.mu.Unlock()
	return c.connection.Send(s)
}

// coldGateway is a host that is a gateway of the server.
type coldGateway struct {
	*daisygateway.Gateway
	pool *daisypool.Pool
}

func newColdGateway(b *coldBackend) coldGateway {
	p := daisypool.New(b)
	p.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: connections, MaxOpen: connections})
	return coldGateway{daisygateway.New(p, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}), p}
}

func (g coldGateway) close(t assert.TestingT) {
	assert.NilError(t, g.pool.Close())
}

func coldRequest(k daisystatement.Kind) daisyrequest.Request {
	now := time.Now()
	return daisyrequest.Request{
		Server: serverName, Workspace: "w", SendDeadline: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
		Statement: daisystatement.Statement{ID: "1", Kind: k}, Pin: k == daisystatement.KindBegin,
	}
}

// flood sends reads, transactions and position requests until the time, more than a
// cold server may get, and returns when all have ended.
func (g coldGateway) flood(until time.Time, pause time.Duration, transactions bool) {
	var wait sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		wait.Go(func() {
			switch {
			case transactions && i%3 == 0:
				if _, conn, err := g.Run(coldRequest(daisystatement.KindBegin)); err == nil && conn != nil {
					_, _ = conn.Do(coldRequest(daisystatement.KindRead))
					conn.Close()
				}
			case i%50 == 1:
				_, _, _ = g.Run(coldRequest(daisystatement.KindStatus))
			default:
				_, _, _ = g.Run(coldRequest(daisystatement.KindRead))
			}
		})
		time.Sleep(pause)
	}
	wait.Wait()
}

// Guards against a cold server that gets more than its rate x 1.5 + 5 requests in a second
// from two hosts that both believe to be its first gateway, one of which has just
// started, in whichever way the requests come: reads, transactions and their ends.
func TestTwoFirstGatewaysStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 4.5, 12, 40}).Draw(r, "rate")
		pause := time.Duration(rapid.SampledFrom([]int{10, 20, 50}).Draw(r, "pause")) * time.Millisecond
		transactions := rapid.Bool().Draw(r, "transactions")
		joins := time.Duration(rapid.SampledFrom([]int{0, 500, 2500}).Draw(r, "joins")) * time.Millisecond
		b := &coldBackend{}
		synctest.Test(t, func(*testing.T) {
			b.backend = newBackend()
			end := time.Now().Add(6 * time.Second)
			var wait sync.WaitGroup
			for _, start := range []time.Duration{0, joins} {
				wait.Go(func() {
					time.Sleep(start)
					g := newColdGateway(b)
					g.SetCold(serverName, daisygateway.ColdLimit{Rate: rate, Cold: true})
					g.flood(end, pause, transactions)
					g.close(r)
				})
			}
			wait.Wait()
		})
		first := 0
		for i, at := range b.got {
			for at.Sub(b.got[first]) >= time.Second {
				first++
			}
			assert.Assert(r, float64(i-first+1) <= 1.5*rate+5, "%d in a second at a rate of %v", i-first+1, rate)
		}
		assert.Assert(r, len(b.got) > 0)
	})
}

// Guards against a gateway that floods a cold server since the control state calls it cold
// late, against one that limits warm servers, and against refusals that do not say that
// the statement was not sent.
func TestColdWithoutControlState(t *testing.T) {
	const duration = 20 * time.Second
	started := func(ago time.Duration) func() time.Time { return func() time.Time { return time.Now().Add(-ago) } }
	tests := []struct {
		name    string
		limit   daisygateway.ColdLimit
		started func() time.Time
		known   time.Duration // For how long this host has known the server.
		used    bool          // It has used the server for some seconds.
		limited bool
	}{
		{"SaidToBeCold", daisygateway.ColdLimit{Rate: 10, Cold: true}, started(time.Hour), time.Minute, true, true},
		{"New", daisygateway.ColdLimit{Rate: 10, Duration: duration}, started(0), 10 * time.Second, true, true},
		{"KnownForLong", daisygateway.ColdLimit{Rate: 10, Duration: duration}, started(0), 30 * time.Second, true, false},
		{"StartedLongAgo", daisygateway.ColdLimit{Rate: 10, Duration: duration}, started(time.Hour), 10 * time.Second, true, false},
		{"StartUnknown", daisygateway.ColdLimit{Rate: 10, Duration: duration}, func() time.Time { return time.Time{} }, 10 * time.Second, true, true},
		{"FirstUse", daisygateway.ColdLimit{Rate: 10, Duration: duration}, started(time.Hour), time.Minute, false, true},
		{"FirstUseAsNewThird", daisygateway.ColdLimit{Rate: 10, Duration: duration, Rank: 2}, started(time.Hour), time.Minute, false, false},
		{"ColdAsNewThird", daisygateway.ColdLimit{Rate: 10, Duration: duration, Rank: 2, Cold: true}, started(time.Hour), time.Minute, false, true},
		{"NoRate", daisygateway.ColdLimit{Duration: duration, Cold: true}, started(0), 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newColdGateway(&coldBackend{backend: newBackend()})
				defer g.close(t)
				test.limit.Started = test.started()
				first := test.limit
				if first.Rank > 0 {
					first.Rank = -1 // This host becomes a gateway only later.
				}
				g.SetCold(serverName, first)
				if test.used {
					time.Sleep(test.known - 5*time.Second)
					g.flood(time.Now().Add(time.Second), 100*time.Millisecond, false)
					time.Sleep(4 * time.Second)
				} else {
					time.Sleep(test.known)
				}
				g.SetCold(serverName, test.limit)
				refused, before := 0, g.Counts().OverBudget
				for range 20 {
					if _, _, err := g.Run(coldRequest(daisystatement.KindRead)); err != nil {
						assert.Assert(t, errors.Is(err, daisyrequest.ErrNotSent) && errors.Is(err, daisyrequest.ErrOverBudget), "%v", err)
						refused++
					}
				}
				assert.Equal(t, refused > 0, test.limited, "%d of 20 refused", refused)
				assert.Equal(t, g.Counts().OverBudget-before, uint64(refused))
			})
		})
	}
}

// Guards against a transaction that is lost since the server has become cold: its
// statements wait for the budget, before new ones.
func TestOpenTransactionWaitsForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newColdGateway(&coldBackend{backend: newBackend()})
		defer g.close(t)
		g.SetCold(serverName, daisygateway.ColdLimit{Rate: 10, Cold: true})
		time.Sleep(5 * time.Second)
		_, conn, err := g.Run(coldRequest(daisystatement.KindBegin))
		assert.NilError(t, err)
		go g.flood(time.Now().Add(2*time.Second), 5*time.Millisecond, false)
		for range 5 {
			_, err = conn.Do(coldRequest(daisystatement.KindRead))
			assert.NilError(t, err)
		}
		_, err = conn.Do(coldRequest(daisystatement.KindCommit))
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
	})
}

// Guards against transactions that hold a slot until their deadline on a host that is no
// gateway of the cold server any more.
func TestTransactionEndsOnFormerGatewayOfColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newColdGateway(&coldBackend{backend: newBackend()})
		defer g.close(t)
		limit := daisygateway.ColdLimit{Rate: 20, Duration: 10 * time.Second, Cold: true, Started: time.Now()}
		g.SetCold(serverName, limit)
		time.Sleep(5 * time.Second)
		_, conn, err := g.Run(coldRequest(daisystatement.KindBegin))
		assert.NilError(t, err)
		limit.Rank = -1
		g.SetCold(serverName, limit)
		_, _ = conn.Do(coldRequest(daisystatement.KindRead)) // May use the last token.
		began := time.Now()
		_, err = conn.Do(coldRequest(daisystatement.KindCommit))
		assert.Assert(t, errors.Is(err, daisyrequest.ErrNotSent), "%v", err)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "refused after %v", time.Since(began))
		conn.Close()
	})
}
