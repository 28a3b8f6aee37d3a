package daisycontrolhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/config/daisynode"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
)

// pipes is a network in memory.
type pipes struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

type pipeListener struct {
	network  *pipes
	addr     netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipes) Listen(_ context.Context, addr netip.AddrPort) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{network: p, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[addr] = l
	return l, nil
}

func (p *pipes) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[addr]
	p.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

const (
	fleetSize = 5
	tolerated = 2 // Control hosts that may be lost at once with their disks.
)

// diskFleet is a fleet of control hosts that keep their logs in files. All are told to
// bootstrap the fleet at each start.
type diskFleet struct {
	t         *testing.T
	network   *pipes
	random    *rand.Rand
	folders   []string
	hosts     []*ControlHost // Nil for one that is stopped.
	confirmed uint64         // The version of the latest desired state that was confirmed.
	proposed  uint64
}

func newDiskFleet(t *testing.T, seed uint64, folder string) *diskFleet {
	f := &diskFleet{
		t: t, network: &pipes{listeners: make(map[netip.AddrPort]*pipeListener)}, random: rand.New(rand.NewPCG(seed, 1)),
		hosts: make([]*ControlHost, fleetSize),
	}
	for i := range fleetSize {
		f.folders = append(f.folders, filepath.Join(folder, fmt.Sprint(seed, "-", i)))
		f.start(i)
	}
	return f
}

func fleetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (f *diskFleet) settings(i int) daisynode.Settings {
	s := daisynode.Settings{
		Host: fmt.Sprint("c", i+1), FailureDomain: "a", Regions: map[string]string{"a": "r"}, Link: fleetAddr(i),
		Bootstrap: true, DataFolder: f.folders[i], ToleratedLosses: tolerated, GracePeriod: time.Second,
	}
	for j := range fleetSize {
		s.Seeds = append(s.Seeds, fleetAddr(j))
	}
	return s
}

func (f *diskFleet) start(i int) {
	c, err := Open(Options{
		Settings: f.settings(i), Network: f.network, Log: &log.Logger{Handler: text.New(io.Discard)},
		Parse: func([]byte) (*daisyspec.Document, error) { return &daisyspec.Document{}, nil },
	})
	assert.NilError(f.t, err)
	f.hosts[i] = c
}

func (f *diskFleet) stop(i int) {
	if f.hosts[i] != nil {
		assert.NilError(f.t, f.hosts[i].Close())
		f.hosts[i] = nil
	}
}

func (f *diskFleet) close() {
	for i := range f.hosts {
		f.stop(i)
	}
	time.Sleep(time.Minute) // Let the abandoned attempts to connect end.
}

// damage damages the log of a stopped host, so that what it has confirmed is lost.
func (f *diskFleet) damage(i int) {
	path := filepath.Join(f.folders[i], "control.log")
	content, err := os.ReadFile(path)
	assert.NilError(f.t, err)
	switch f.random.IntN(3) {
	case 0:
		clear(content)
	case 1:
		content = nil
	default: // In the first record, which holds the snapshot.
		content[f.random.IntN(40)] ^= 1 << f.random.IntN(8)
	}
	assert.NilError(f.t, os.WriteFile(path, content, 0o600))
}

// put has the next desired state confirmed, unless no host does so within the time.
func (f *diskFleet) put(within time.Duration) bool {
	f.proposed++
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, c := range f.hosts {
			if c == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
			err := c.Put(ctx, f.proposed, fmt.Append(nil, f.proposed))
			cancel()
			if err == nil {
				f.confirmed = f.proposed
				return true
			}
		}
	}
	return false
}

// read checks that no host returns a desired state that is older than the confirmed one.
// It returns false if none returns one.
func (f *diskFleet) read() (read bool) {
	for i, c := range f.hosts {
		if c == nil {
			continue
		}
		content, err := c.Document(f.t.Context())
		if errors.Is(err, errNoDesiredState) {
			assert.Equal(f.t, f.confirmed, uint64(0), "host %d knows no desired state", i)
		}
		if err != nil {
			continue
		}
		var version uint64
		_, err = fmt.Sscan(string(content), &version)
		assert.NilError(f.t, err)
		assert.Assert(f.t, version >= f.confirmed, "host %d returns %d, older than %d", i, version, f.confirmed)
		read = true
	}
	return read
}

// await waits until the condition holds, for a minute at most.
func (f *diskFleet) await(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); !holds(); time.Sleep(50 * time.Millisecond) {
		f.read()
		assert.Assert(f.t, time.Now().Before(end), "%s within a minute", what)
	}
}

// allVote reports whether all hosts run and have a vote.
func (f *diskFleet) allVote() bool {
	for _, c := range f.hosts {
		if c == nil || !c.node.IsVoter() || len(c.node.Configuration()) != fleetSize {
			return false
		}
	}
	return true
}

// Guards against control hosts whose logs are damaged and which end at each start, and
// against confirmed changes that are lost when they come back.
func TestDamagedLogsOneAfterAnother(t *testing.T) {
	const (
		seeds    = 12
		episodes = 6
	)
	folder := t.TempDir()
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newDiskFleet(t, seed, folder)
			defer f.close()
			for range episodes {
				assert.Assert(t, f.put(time.Minute), "a desired state before the damage")
				damaged := f.random.Perm(fleetSize)[:1+f.random.IntN(tolerated)]
				for _, i := range damaged {
					f.stop(i)
				}
				if f.random.IntN(2) == 0 {
					assert.Assert(t, f.put(time.Minute), "a desired state beside stopped hosts")
				}
				for _, i := range damaged {
					f.damage(i)
					f.start(i)
					f.put(time.Duration(f.random.IntN(1000)) * time.Millisecond)
				}
				f.await("all hosts vote", f.allVote)
				assert.Assert(t, f.put(time.Minute), "a desired state after the damage")
				f.await("it is read", f.read)
			}
		})
		assert.Assert(t, !t.Failed(), "seed %d", seed)
	}
}

// Guards against a fleet that goes on without confirmed changes after more logs were
// damaged at once than it tolerates, such as one that is bootstrapped anew.
func TestTooManyDamagedLogs(t *testing.T) {
	const (
		seeds    = 6
		duration = 30 * time.Second
	)
	folder := t.TempDir()
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newDiskFleet(t, seed, folder)
			defer f.close()
			assert.Assert(t, f.put(time.Minute))
			damaged := f.random.Perm(fleetSize)[:tolerated+1+f.random.IntN(fleetSize-tolerated)]
			for _, i := range damaged {
				f.stop(i)
			}
			for _, i := range damaged {
				f.damage(i)
				f.start(i)
			}
			for end := time.Now().Add(duration); time.Now().Before(end); {
				assert.Assert(t, !f.put(time.Second), "a desired state is confirmed")
				assert.Assert(t, !f.read(), "a desired state is read")
			}
		})
		assert.Assert(t, !t.Failed(), "seed %d", seed)
	}
}
