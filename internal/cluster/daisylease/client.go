// Package daisylease is a host's lease client. It sends heartbeats to the control
// leader, reconnects when the leader changes, and merges the deltas of the control
// state. The lease is extended only if the host has the revision that the leader had
// when it granted it, so while the lease is valid, every change that was accepted
// before is in force on this host.
package daisylease

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/base/daisyclock"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/limit/daisyquota"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

const (
	// replyTimeout is how long a control host may take to reply to a heartbeat.
	replyTimeout = 750 * time.Millisecond
	// eagerReplyTimeout is the same for an eager client whose messages are not held up:
	// the shortest election timeout. A leader that is silent for that long is being
	// replaced.
	eagerReplyTimeout = 450 * time.Millisecond
	// minNoLeaderTimeout is how long the client first stays with a control host that knows
	// no leader: several times what a new link takes, but less than an election. The time
	// doubles with each such host, up to maxNoLeaderTimeout. A control host names a leader
	// as soon as it knows one, so to ask others helps only if this one is cut off.
	minNoLeaderTimeout = 300 * time.Millisecond
	maxNoLeaderTimeout = 2400 * time.Millisecond
	// progressTimeout is how long bytes that arrive count as an answer of a control host
	// that answers no heartbeat. The whole state of a fleet with thousands of servers fills
	// a narrow network link for seconds; to leave then starts the same transfer again
	// elsewhere.
	progressTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a link to a control host. A machine without
	// power does not answer a SYN, and TCP repeats it only after 1 s.
	dialTimeout = 250 * time.Millisecond
	// minRedialPause is the pause before the next control host is tried. It doubles with
	// each one in a row that did not answer, up to maxRedialPause, and is jittered: what
	// makes one host fail makes all hosts fail, and their attempts would keep control
	// hosts busy that could serve them.
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = time.Second
	// minEagerInterval is the first heartbeat interval of an eager client that has no
	// lease or no leader. It doubles with each heartbeat, up to maxEagerInterval; the
	// control host pushes what the client waits for.
	minEagerInterval = 60 * time.Millisecond
	maxEagerInterval = 240 * time.Millisecond
	// maxRoundTrip is the time after which an unanswered heartbeat counts as delayed:
	// six round trips between regions.
	maxRoundTrip = 150 * time.Millisecond
	// silenceMemory is how long a client does not return to a control host that did not
	// answer or could not be reached because another names it as the leader: longer than
	// an election takes.
	silenceMemory = time.Second
	// delayMemory is how long a delay is remembered after its end.
	delayMemory = time.Second
	// proposeRetryInterval is the pause before a change is proposed again.
	proposeRetryInterval = 100 * time.Millisecond
)

// Link is a connection to a control host.
type Link interface {
	Send(ctx context.Context, message []byte) error
	Receive(ctx context.Context) ([]byte, error)
	Close()
}

// Dial opens a link to a control host.
type Dial func(ctx context.Context, addr netip.AddrPort) (Link, error)

// Options configure a Client.
type Options struct {
	Hosts  []netip.AddrPort                // The control hosts.
	Dial   Dial                            // Opens a link to a control host.
	Report func() daisyheartbeat.Heartbeat // Returns the next heartbeat; the client sets ID and Revision.
	Probe  func([]daisyheartbeat.Probe)    // Called with the primaries to probe.
	// Grant is called with granted tokens, unless they were requested more than
	// daisyquota.MaxGrantAge ago; may be nil.
	Grant func([]daisyheartbeat.Demand)
	// Eager sends heartbeats more often while there is no lease or no leader. It is
	// for fleets in which a new process of a host need not wait until the lease of
	// the previous one expires.
	Eager bool
	View  *daisyfleet.View
	Log   log.Interface
}

// maxDoublings bounds the doublings of a pause, far above its maximum.
const maxDoublings = 10

var (
	// errSilent is returned if a control host no longer answers heartbeats.
	errSilent = errors.New("control host stopped answering heartbeats")
	// errDial is returned if no link to a control host could be opened.
	errDial = errors.New("control host cannot be reached")
)

// ErrNoLeader is returned if no control leader decided a change before the context
// ended.
var ErrNoLeader = errors.New("no control leader answered the proposal")

// Client keeps the lease of a host. Use New.
type Client struct {
	Lease

	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	wake    chan struct{}
	dials   atomic.Uint64
	contact contact

	mu            sync.Mutex
	link          Link // To the present control host, or nil.
	nextID        uint64
	host          string // The name of this host, as last reported.
	sentAt        map[uint64]time.Time
	decisions     map[uint64]chan daisycodec.Decision
	lastReply     time.Time
	delayedUntil  time.Time        // Until when a delayed reply is remembered.
	served        bool             // The present control host has extended the lease.
	failures      int              // Control hosts tried in a row that did not answer.
	leaderless    int              // Control hosts left in a row since they knew no leader.
	stayed        bool             // The last control host was left since it knew no leader.
	eagerInterval time.Duration    // Until the next heartbeat of an eager client without a lease or a leader.
	silent        netip.AddrPort   // The control host that was last left since it did not answer.
	silentUntil   time.Time        // Until when it is not returned to on the word of another.
	noLeaderSince time.Time        // Since when the present control host knows no leader; zero if it knows one.
	leaderHint    netip.AddrPort   // The leader named by the last control host; invalid if none was named.
	learnedHosts  []netip.AddrPort // The control hosts of the last reply that listed them; empty if none did.
}

// New returns a client that does nothing before Start.
func New(o Options) *Client {
	c := &Client{
		options: o, wake: make(chan struct{}, 1),
		sentAt: make(map[uint64]time.Time), decisions: make(map[uint64]chan daisycodec.Decision),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Dials returns how many links to control hosts the client has tried to open.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Start starts sending heartbeats.
func (c *Client) Start() {
	c.contact.begin()
	c.wait.Go(c.run)
}

// Wake sends the next heartbeat at once, because there is something to report.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// runLink opens a link to a control host and sends heartbeats until the link fails
// or the control host does not lead.
func (c *Client) runLink(addr netip.AddrPort) error {
	c.dials.Add(1)
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	link, err := c.options.Dial(ctx, addr)
	cancel()
	if err != nil {
		return errors.Join(errDial, err)
	}
	ctx, cancel = context.WithCancel(c.ctx)
	defer cancel()
	c.setLink(link)
	var receiving sync.WaitGroup
	receiving.Go(func() {
		defer cancel()
		c.receive(ctx, link, addr)
	})
	err = c.sendHeartbeats(ctx, link)
	c.setLink(nil)
	link.Close()
	receiving.Wait()
	return err
}

func (c *Client) setLink(link Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = link
	if link != nil {
		c.served, c.eagerInterval = false, minEagerInterval
	}
	c.lastReply, c.noLeaderSince = daisyclock.Now(), time.Time{}
	clear(c.sentAt)
	for id, decision := range c.decisions {
		close(decision)
		delete(c.decisions, id)
	}
}

// sendHeartbeats sends heartbeats until the link fails or a reply is overdue.
func (c *Client) sendHeartbeats(ctx context.Context, link Link) error {
	for {
		if err := c.sendHeartbeat(ctx, link); err != nil {
			return err
		}
		if err := c.awaitNext(ctx); err != nil {
			return err
		}
	}
}

func (c *Client) sendHeartbeat(ctx context.Context, link Link) error {
	b := c.options.Report()
	b.Revision = c.options.View.Revision()
	b.Demands = understood(link, b.Demands)
	now := daisyclock.Now()
	c.mu.Lock()
	c.host = b.Host
	c.nextID++
	b.ID = c.nextID
	c.sentAt[b.ID] = now
	c.mu.Unlock()
	return link.Send(ctx, daisycodec.EncodeHeartbeat(b))
}

func (c *Client) receive(ctx context.Context, link Link, addr netip.AddrPort) {
	for {
		message, err := link.Receive(ctx)
		if err != nil {
			return
		}
		d, err := daisycodec.DecodeServerMessage(message)
		if err != nil {
			c.options.Log.WithError(err).Warn("keeper: cannot decode a message of the control host; closing the link")
			return
		}
		if d.Decision != nil {
			c.deliverDecision(*d.Decision)
			continue
		}
		if !c.handle(*d.Reply, addr) {
			return
		}
	}
}

// handle merges the reply's delta and extends the lease. It returns false if the
// client should leave the control host because it does not lead.
func (c *Client) handle(r daisyheartbeat.Reply, addr netip.AddrPort) bool {
	c.contact.heard(r)
	if r.Delta != nil {
		err := c.options.View.Update(func(s *daisyfleet.State) error { return s.Merge(*r.Delta) })
		if err != nil {
			return true // The next heartbeat carries the held revision, from which the leader sends a delta.
		}
		if hasSuccession(*r.Delta) || c.declares(*r.Delta) {
			c.Wake()
		}
	}
	if len(r.Probes) > 0 {
		c.options.Probe(r.Probes)
	}
	if r.ID == 0 {
		return !c.followElection(r.Leader, addr)
	}
	c.mu.Lock()
	sentAt, ok := c.sentAt[r.ID]
	delete(c.sentAt, r.ID)
	if now := daisyclock.Now(); ok && now.Sub(sentAt) > maxRoundTrip {
		c.delayedUntil = now.Add(delayMemory)
	}
	c.mu.Unlock()
	if len(r.Grants) > 0 && c.options.Grant != nil && ok && daisyclock.Now().Sub(sentAt) <= daisyquota.MaxGrantAge {
		c.options.Grant(r.Grants)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.Controls) > 0 {
		c.learnedHosts = r.Controls
	}
	now := daisyclock.Now()
	outdated := r.Leader == c.silent && now.Before(c.silentUntil) // Followers notice a silent leader later.
	if (!r.Leader.IsValid() || outdated) && c.options.Eager {
		return c.waitForLeader(now)
	}
	c.noLeaderSince = time.Time{}
	if r.Leader != addr {
		c.leaderHint = r.Leader
		return false
	}
	c.lastReply = daisyclock.Now()
	if ok && r.Lease > 0 && c.options.View.Revision() >= r.Revision {
		c.Extend(sentAt, r.Lease)
		c.served, c.leaderless = true, 0
	}
	return true
}

// followElection records the leader that a control host names without being asked, once
// it knows one. It reports whether to leave the control host for that leader.
func (c *Client) followElection(leader, addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leader.IsValid() || c.served && c.noLeaderSince.IsZero() {
		return false
	}
	if leader == addr {
		c.Wake() // The next heartbeat gets a lease.
		return false
	}
	c.leaderHint = leader
	return true
}

// declares reports whether the delta declares this host up or changes it. The control
// leader grants a lease only then, so the next heartbeat must not wait.
func (c *Client) declares(d daisyfleet.Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.Valid() && slices.ContainsFunc(d.Objects, func(o daisyfleet.Object) bool {
		return o.Kind == daisyfleet.KindHost && o.Name == c.host
	})
}

// waitForLeader records a reply that names no leader. It reports whether to stay with
// the control host, which may learn of a leader sooner than another link opens.
// c.mu is held.
func (c *Client) waitForLeader(now time.Time) bool {
	if c.noLeaderSince.IsZero() {
		c.noLeaderSince = now
	}
	c.lastReply, c.failures = now, 0
	timeout := min(minNoLeaderTimeout<<min(c.leaderless, maxDoublings), maxNoLeaderTimeout)
	if now.Sub(c.noLeaderSince) < timeout {
		return true
	}
	c.leaderless++
	c.stayed = true
	return false
}

// hasSuccession reports whether the delta puts a service into a succession, that is,
// leaves it without a primary. The control leader promotes a server only after all
// hosts hold that state, so the next heartbeat must not wait.
func hasSuccession(d daisyfleet.Delta) bool {
	return slices.ContainsFunc(d.Objects, func(o daisyfleet.Object) bool {
		leadership, ok := o.Value.(daisyfleet.Leadership)
		return ok && leadership.Server == ""
	})
}

// Close stops the client and waits until it has stopped. The lease is not released
// but expires.
func (c *Client) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}
