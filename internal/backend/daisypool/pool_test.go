package daisypool_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

const serverName = "m1"

// server accepts a number of connections and refuses more.
type server struct {
	mu      sync.Mutex
	limit   int
	open    int
	dialed  int
	refused int
	closes  bool // It has closed the connections that are idle.
}

func (s *server) Dial(context.Context, daisypool.Target) (daisypool.Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialed++
	if s.open >= s.limit {
		s.refused++
		return nil, &daisystatement.Failure{Code: daisystatement.CodeTooMany, Text: "too many connections"}
	}
	s.open++
	return &connection{server: s}, nil
}

func (s *server) Reach(context.Context, netip.AddrPort) error { return nil }

type connection struct{ server *server }

func (c *connection) Send([]daisystatement.Statement) error { return nil }
func (c *connection) Receive(time.Time) (daisystatement.Answer, error) {
	return daisystatement.Answer{}, nil
}
func (c *connection) Alive() (alive, unread bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !c.server.closes, false
}
func (c *connection) Close() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.open--
}

func newPool(s *server, share int) *daisypool.Pool {
	p := daisypool.New(s)
	p.Set(daisypool.Target{Server: serverName}, daisypool.Share{KeepOpen: share, MaxOpen: share})
	return p
}

// Guards against requests that fail, and dials that are repeated, while another host with
// an older state of the fleet holds connections of this host's share.
func TestRefusedConnectionYieldsAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{limit: 6}
		former, present := newPool(s, 4), newPool(s, 6)
		acquire := func(p *daisypool.Pool, n int) (conns []*daisypool.Conn) {
			for i := range n {
				c, err := p.Acquire(t.Context(), serverName, fmt.Sprint("w", i), daisypool.Use{}, daisyorder.Order{})
				assert.NilError(t, err)
				conns = append(conns, c)
			}
			return conns
		}
		held := acquire(former, 3)
		for _, c := range acquire(present, 3) {
			c.Release()
		}
		for _, c := range held {
			c.Release()
		}
		time.AfterFunc(100*time.Millisecond, func() { former.Set(daisypool.Target{Server: serverName}, daisypool.Share{}) })
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c, err := present.Acquire(ctx, serverName, "new", daisypool.Use{}, daisyorder.Order{})
		assert.NilError(t, err) // An idle connection of another workspace made room.
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond, "%v", time.Since(began))
		assert.Equal(t, s.refused, 1)
		assert.Equal(t, present.DialsRefused(), uint64(1))
		s.mu.Lock()
		s.limit = 0 // It stays full: the refusal is the answer.
		s.mu.Unlock()
		_, err = present.Acquire(ctx, serverName, "other", daisypool.Use{}, daisyorder.Order{})
		var refused *daisystatement.Failure
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Assert(t, s.refused <= 5, "%d dials were refused", s.refused)
		c.Release()
		assert.NilError(t, former.Close())
		assert.NilError(t, present.Close())
		assert.Equal(t, s.open, 0)
	})
}

// Guards against requests of a high class that wait for connections behind others, against
// a workspace that takes all connections by the priority of its requests, and against
// classes that never get one.
func TestWaitersAreServedInOrder(t *testing.T) {
	type request struct {
		workspace string
		order     daisyorder.Order
	}
	low, high := daisyorder.Order{Priority: 2, Class: "low"}, daisyorder.Order{Class: "high"}
	tests := []struct {
		name     string
		busy     []string // The workspaces that use the connections.
		wait     time.Duration
		requests []request
		want     string
	}{
		{"Priority", []string{"a", "b"}, 0, []request{{"c", low}, {"d", high}}, "[d c]"},
		{"FewestInUse", []string{"a", "b", "b"}, 0, []request{{"b", high}, {"a", high}}, "[a b]"},
		{"BeyondCredit", []string{"a", "a", "a", "a"}, 0, []request{{"a", high}, {"c", low}}, "[c a]"},
		{"Starved", []string{"a", "b"}, daisyorder.MaxClassWait, []request{{"c", low}, {"d", high}}, "[c d]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(&server{limit: 8}, len(test.busy))
				var held []*daisypool.Conn
				for _, workspace := range test.busy {
					c, err := p.Acquire(t.Context(), serverName, workspace, daisypool.Use{}, daisyorder.Order{})
					assert.NilError(t, err)
					held = append(held, c)
				}
				var mu sync.Mutex
				var served []string
				var wait sync.WaitGroup
				for _, r := range test.requests {
					wait.Go(func() {
						c, err := p.Acquire(t.Context(), serverName, r.workspace, daisypool.Use{}, r.order)
						assert.Check(t, err)
						mu.Lock()
						served = append(served, r.workspace)
						mu.Unlock()
						time.Sleep(time.Millisecond)
						c.Release()
					})
					synctest.Wait()
					time.Sleep(test.wait) // The first has waited that long when the second comes.
				}
				held[0].Release()
				wait.Wait()
				assert.Equal(t, fmt.Sprint(served), test.want)
				for _, c := range held[1:] {
					c.Release()
				}
				assert.NilError(t, p.Close())
			})
		})
	}
}
