package daisycoordinator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/cluster/daisyconsensus"
	"github.com/daisyglade/daisyglade/internal/control/daisycontroller"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
)

// discardStorage saves nothing.
type discardStorage struct{}

func (discardStorage) Append(*daisylog.HardState, []daisylog.Entry) error { return nil }
func (discardStorage) Replace(daisylog.HardState, daisylog.Snapshot, []daisylog.Entry) error {
	return nil
}

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Open(netip.AddrPort) {}

func (discardTransport) Send(netip.AddrPort, daisylog.Message) {}

// Heartbeats are answered while the log applies changes: the two do not deadlock on
// the locks of the node and the view.
func TestHeartbeatsDuringChanges(t *testing.T) {
	const (
		senders = 4
		changes = 3000
		limit   = time.Minute // Only a deadlock reaches it.
	)
	addr := netip.MustParseAddrPort("127.0.0.1:7000")
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	peer := daisylog.Peer{Replica: 1, Name: "c1", Address: addr}
	view := daisyfleet.NewView()
	node, err := daisyconsensus.Open(daisyconsensus.Options{
		Self: peer, Saved: daisylog.Bootstrap(peer), Storage: discardStorage{}, Transport: discardTransport{}, View: view,
		Random: rand.New(rand.NewPCG(1, 1)), Log: logger,
	})
	assert.NilError(t, err)
	c := New(Options{
		Node: node, View: view, Self: addr, Log: logger,
		NewDecider: func(started time.Time, _ uint64) Decider { return daisycontroller.NewLeader(started) },
	})
	for {
		if _, leads := node.Leads(); leads {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	var work sync.WaitGroup
	stop := make(chan struct{})
	for i := range senders {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.answerHeartbeat(daisyheartbeat.Heartbeat{Host: fmt.Sprint("h", i), Incarnation: 1, Address: addr})
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range changes {
			id := daisyfleet.ID{Kind: daisyfleet.KindDatabase, Name: fmt.Sprint("d", i)}
			change := daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, Value: daisyfleet.Database{Connections: 20, Members: 3}}}}
			if _, err := node.Propose(t.Context(), change); err != nil {
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatal("heartbeats and changes wait for each other")
	}
	close(stop)
	work.Wait()
	assert.NilError(t, c.Close())
	assert.NilError(t, node.Close())
}
