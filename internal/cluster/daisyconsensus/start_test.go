package daisyconsensus_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// recorder collects the lines that are logged and the messages that are sent.
type recorder struct {
	mu    sync.Mutex
	lines []string
	sent  []daisylog.Message
}

func (r *recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, e.Message)
	return nil
}

func (r *recorder) Open(netip.AddrPort) {}

func (r *recorder) Send(_ netip.AddrPort, m daisylog.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, m)
}

// take returns what was recorded since the last call.
func (r *recorder) take() (lines []string, sent []daisylog.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines, sent = r.lines, r.sent
	r.lines, r.sent = nil, nil
	return lines, sent
}

// openWithout starts a node whose storage is not open, and returns what it records.
func openWithout(t *testing.T, reopen func() (daisyconsensus.Storage, daisylog.PersistedState, error)) (*daisyconsensus.Node, *recorder) {
	r := &recorder{}
	n, err := daisyconsensus.Open(daisyconsensus.Options{
		Self: daisylog.Peer{Name: "c1", Address: nodeAddr(0)}, Peers: []netip.AddrPort{nodeAddr(1)}, Transport: r,
		Reopen: reopen, View: daisyfleet.NewView(), Random: rand.New(rand.NewPCG(1, 1)), Log: &log.Logger{Handler: r, Level: log.InfoLevel},
	})
	assert.NilError(t, err)
	return n, r
}

// A node whose storage cannot be opened at the start takes no part and says why, but not at
// each attempt. Once the storage opens it starts with the saved identity.
func TestStartBeforeStorageOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			failure = "quorum: opening the storage failed; retrying"
			phase   = 100 * time.Millisecond // No timer of the node is due when the test looks.
		)
		var mu sync.Mutex
		refusal := errFull
		n, r := openWithout(t, func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
			mu.Lock()
			defer mu.Unlock()
			return &discardStorage{}, daisylog.PersistedState{Replica: 7}, refusal
		})
		time.Sleep(9*time.Second + phase)
		lines, sent := r.take()
		assert.DeepEqual(t, lines, []string{failure})
		assert.Equal(t, len(sent), 0)
		assert.ErrorIs(t, n.Failed(), errFull)
		_, err := n.Propose(t.Context(), change("a", 0))
		assert.ErrorIs(t, err, errFull)
		time.Sleep(10 * time.Second)
		lines, _ = r.take()
		assert.DeepEqual(t, lines, []string{failure})

		mu.Lock()
		refusal = errors.New("input/output error")
		mu.Unlock()
		time.Sleep(time.Second)
		lines, _ = r.take()
		assert.DeepEqual(t, lines, []string{failure})

		mu.Lock()
		refusal = nil
		mu.Unlock()
		time.Sleep(time.Second)
		lines, sent = r.take()
		assert.DeepEqual(t, lines, []string{"quorum: storage reopened; the replica restarts from it"})
		assert.NilError(t, n.Failed())
		assert.Assert(t, len(sent) > 0)
		for _, m := range sent {
			assert.Equal(t, m.Kind, daisylog.KindJoin)
			assert.Equal(t, m.From, daisylog.ReplicaID(7))
		}
		assert.NilError(t, n.Close())
	})
}

// A node whose disk does not answer says so and can be closed.
func TestCloseWhileDiskHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		n, r := openWithout(t, func() (daisyconsensus.Storage, daisylog.PersistedState, error) {
			<-answer
			return nil, daisylog.PersistedState{}, errFull
		})
		time.Sleep(15 * time.Second)
		assert.Assert(t, n.Failed() != nil)
		assert.Assert(t, !n.Leader().IsValid())
		lines, _ := r.take()
		const hangs = "quorum: the disk does not answer; the replica waits for it"
		assert.DeepEqual(t, lines, []string{hangs, hangs})
		closed := time.Now()
		assert.NilError(t, n.Close())
		assert.Assert(t, time.Since(closed) < time.Second)
		close(answer)
	})
}
