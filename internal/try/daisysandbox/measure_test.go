package daisysandbox_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

var measureFile = flag.String("measure", "", "file to write the measurements to")

// deployment models one of the users' two deployments with a single database group.
type deployment struct {
	name               string
	hosts              int
	interRegionLatency time.Duration // One way between regions.
	largeWorkspaces    []int         // Indexes of the workspaces with the large rate.
}

var deployments = []deployment{
	{"Pegwen", 6, 12 * time.Millisecond, []int{0}},
	{"Dulang", 9, 8 * time.Millisecond, []int{0, 1}},
}

const (
	measuredWorkspaces = 8
	smallRate          = 10.0 // Tokens per second.
	largeRate          = 60.0
	intraRegionLatency = 500 * time.Microsecond
	clientLatency      = time.Millisecond
	profileConnection  = "lookup-connection"
	floodFactor        = 5 // How many times its rate the flooding workspace sends.
)

// latency returns the one-way latency between two nodes. The hosts are assigned to three
// regions in turn.
func (d deployment) latency(from, to string) time.Duration {
	switch {
	case from == clientNode || to == clientNode:
		return clientLatency
	case from == groupNode || to == groupNode:
		return intraRegionLatency
	}
	var a, b int
	_, _ = fmt.Sscanf(from, "h%d", &a)
	_, _ = fmt.Sscanf(to, "h%d", &b)
	if a%3 != b%3 {
		return d.interRegionLatency
	}
	return intraRegionLatency
}

func (d deployment) rate(workspace int) float64 {
	if slices.Contains(d.largeWorkspaces, workspace) {
		return largeRate
	}
	return smallRate
}

func workspaceName(i int) string { return fmt.Sprint("workspace", i) }

func workspaceKey(i int) string { return fmt.Sprintf("key%d.secret%d", i, i) }

// populate creates the workspaces of the deployment with their keys, and a read-only
// profile whose sessions are single connections.
func (d deployment) populate(f *fleet) {
	var change daisyfleet.Change
	change.ID = "measure"
	add := func(name string, v daisyfleet.Value) {
		change.Operations = append(change.Operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: v.Kind(), Name: name}, Value: v})
	}
	for i := range measuredWorkspaces {
		add(workspaceName(i), daisyfleet.Workspace{Home: daisysandbox.Database, Rate: d.rate(i), Burst: d.rate(i) / 2})
		add(fmt.Sprint("key", i), daisyfleet.Key{Workspace: workspaceName(i), Hash: sha256.Sum256([]byte(workspaceKey(i)))})
	}
	add(profileConnection, daisyfleet.Profile{
		Database: daisysandbox.Database, ReadOnly: true, Acknowledge: daisyfleet.AcknowledgeMajority, Session: daisyfleet.SessionConnection,
		Cost: 1, Wait: 5 * time.Second, Objective: 0.999,
	})
	assert.NilError(f.t, f.plan.Operator().Change(f.t.Context(), change))
	time.Sleep(2 * time.Second)
}

// open opens a session of a workspace through a host.
func (f *fleet) open(ctx context.Context, workspace, host int, profile string) (*pgx.Conn, error) {
	text := f.plan.ConnString(host, profile)
	text = strings.Replace(text, daisysandbox.Workspace+":"+f.plan.Key, workspaceName(workspace)+":"+workspaceKey(workspace), 1)
	return f.dialConnString(ctx, text)
}

// requestStats counts the requests of one workspace.
type requestStats struct {
	mu                sync.Mutex
	sent              int
	served            int
	refused           int
	reads             int
	servableByReplica int // Reads whose row some replica held when the result arrived.
	acks              []time.Time
}

func (s *requestStats) record(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // The run has ended and canceled the request.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	var refusal *pgconn.PgError
	switch {
	case err == nil || errors.Is(err, pgx.ErrNoRows):
		s.served++
		s.acks = append(s.acks, time.Now())
	case errors.As(err, &refusal) && refusal.Code == "53400":
		s.refused++
	}
}

// sendTraffic sends requests of a workspace at the given rate, in sessions of
// requestsPerSession requests through random hosts. The argument bookings is the share of
// requests that write.
func (f *fleet) sendTraffic(ctx context.Context, stats *requestStats, workspace int, rate, bookings float64, profile string) {
	random := rand.New(rand.NewPCG(uint64(workspace), 11))
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		// Sessions start at the rate divided by the requests per session.
		time.Sleep(time.Duration(random.ExpFloat64() * requestsPerSession / rate * float64(time.Second)))
		host, seed := random.IntN(len(f.hosts)), random.Uint64()
		wait.Go(func() {
			f.runSession(ctx, stats, clientSession{workspace: workspace, number: n, host: host, bookings: bookings, profile: profile, seed: seed})
		})
	}
	wait.Wait()
}

const requestsPerSession = 10

// clientSession is a client that uses one connection for writes and another for reads.
type clientSession struct {
	workspace, number, host int
	bookings                float64 // The share of requests that write.
	profile                 string  // Of the connection for reads.
	seed                    uint64
}

func (f *fleet) runSession(ctx context.Context, stats *requestStats, s clientSession) {
	random := rand.New(rand.NewPCG(s.seed, 1))
	writes, err := f.open(ctx, s.workspace, s.host, daisysandbox.ProfileWrite)
	if err != nil {
		return
	}
	defer f.closeConn(writes)
	reads, err := f.open(ctx, s.workspace, random.IntN(len(f.hosts)), s.profile)
	if err != nil {
		return
	}
	defer f.closeConn(reads)
	last := ""
	for i := 0; i < requestsPerSession && ctx.Err() == nil; i++ {
		if random.Float64() < s.bookings {
			key := fmt.Sprintf("%s-%d-%d-%d", s.profile, s.workspace, s.number, i)
			_, err := writes.Exec(ctx, "INSERT INTO bookings VALUES ($1, $2)", pgx.QueryExecModeExec, key, "once")
			stats.record(ctx, err)
			if err == nil {
				last = key
			}
			continue
		}
		var value string
		stats.record(ctx, reads.QueryRow(ctx, "SELECT value FROM bookings WHERE key = $1", pgx.QueryExecModeExec, last).Scan(&value))
		stats.mu.Lock()
		stats.reads++
		if f.replicaHolds(last) {
			stats.servableByReplica++
		}
		stats.mu.Unlock()
	}
}

// replicaHolds reports whether some replica has the row. An empty key stands for a session
// that has not written yet and is always held.
func (f *fleet) replicaHolds(key string) bool {
	for _, m := range f.group.Members() {
		if m == f.group.Primary() {
			continue
		}
		if _, ok := m.Row("bookings", key); ok || key == "" {
			return true
		}
	}
	return false
}

// replicaShare returns the share of requests under the profile that replicas served.
func (f *fleet) replicaShare(profile string) float64 {
	var all, replica uint64
	for _, h := range f.hosts {
		for _, s := range h.Burn().Series {
			if s.Profile == profile {
				all += s.Requests
				replica += s.Replica
			}
		}
	}
	return float64(replica) / math.Max(1, float64(all))
}

// peak describes a period in which all workspaces send requests.
type peak struct {
	duration time.Duration
	bookings float64
	profile  string // Of the connections for reads.
	flood    bool   // The first large workspace sends floodFactor times its rate.
}

// runPeak sends the requests of all workspaces, and calls inject in the middle.
func (d deployment) runPeak(f *fleet, p peak, inject func()) []*requestStats {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var allStats []*requestStats
	for i := range measuredWorkspaces {
		stats := &requestStats{}
		allStats = append(allStats, stats)
		rate := 0.7 * d.rate(i)
		if p.flood && i == d.largeWorkspaces[0] {
			rate = floodFactor * d.rate(i)
		}
		wait.Go(func() { f.sendTraffic(ctx, stats, i, rate, p.bookings, p.profile) })
	}
	time.Sleep(p.duration / 2)
	inject()
	time.Sleep(p.duration / 2)
	cancel()
	wait.Wait()
	return allStats
}

// TestMeasurements measures the users' four metrics on both deployments in virtual time
// and writes them as a Markdown page: the share of reads served by replicas, the gap in
// service, the worst-served workspace and wrongful refusals.
func TestMeasurements(t *testing.T) {
	if *measureFile == "" {
		t.Skip("measurement; run with -measure FILE")
	}
	var b strings.Builder
	commit, err := exec.CommandContext(t.Context(), "git", "rev-parse", "--short", "HEAD").Output()
	assert.NilError(t, err)
	fmt.Fprintf(&b, "Run at commit %s by `go test ./internal/try/daisysandbox -run TestMeasurements -timeout 30m -measure FILE`.\n\n", strings.TrimSpace(string(commit)))
	b.WriteString("### Share of reads served by replicas\n\n| deployment | peak | replication lag | sessions by key | sessions by connection | all reads to the primary | reads whose row some replica held |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range deployments {
		for _, period := range []struct {
			name     string
			bookings float64
		}{{"morning, 30% bookings", 0.3}, {"evening, 5% bookings", 0.05}} {
			for _, lag := range []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
				synctest.Test(t, func(t *testing.T) { d.measureShare(t, &b, period.name, period.bookings, lag) })
			}
		}
	}
	b.WriteString("\n### Gap in service when the primary is lost at the morning peak\n\n| deployment | runs | median | largest | without promotion |\n| --- | --- | --- | --- | --- |\n")
	for _, d := range deployments {
		d.measureGap(t, &b)
	}
	b.WriteString("\n### Worst-served workspace and wrongful refusals, one workspace sending 5 times its rate\n\n| deployment | worst-served of the others: served of sent | refused of the others' requests | the flooding workspace: served per second, of its rate |\n| --- | --- | --- | --- |\n")
	for _, d := range deployments {
		synctest.Test(t, func(t *testing.T) { d.measureFlood(t, &b) })
	}
	t.Log("\n" + b.String())
	assert.NilError(t, os.WriteFile(*measureFile, []byte(b.String()), 0o600))
}

func (d deployment) measureShare(t *testing.T, b *strings.Builder, period string, bookings float64, lag time.Duration) {
	f := newFleetWithLatency(t, d.hosts, d.latency)
	defer f.close()
	d.populate(f)
	f.setLag(0, lag)
	var shares []float64
	reads, servableByReplica := 0, 0
	for _, profile := range []string{daisysandbox.ProfileRead, profileConnection} {
		for _, stats := range d.runPeak(f, peak{duration: 20 * time.Second, bookings: bookings, profile: profile}, func() {}) {
			reads += stats.reads
			servableByReplica += stats.servableByReplica
		}
		shares = append(shares, 100*f.replicaShare(profile))
	}
	fmt.Fprintf(b, "| %s | %s | %s | %.1f%% | %.1f%% | 0%% | %.1f%% |\n", d.name, period, lag, shares[0], shares[1], 100*float64(servableByReplica)/float64(reads))
}

func (d deployment) measureGap(t *testing.T, b *strings.Builder) {
	const runs = 10
	var gaps []time.Duration
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetWithLatency(t, d.hosts, d.latency)
			defer f.close()
			d.populate(f)
			// Each run stops the primary at a different time relative to the probes.
			time.Sleep(time.Duration(len(gaps)) * 27 * time.Millisecond)
			var stoppedAt time.Time
			allStats := d.runPeak(f, peak{duration: 8 * time.Second, bookings: 1, profile: daisysandbox.ProfileRead}, func() {
				stoppedAt = time.Now()
				f.group.Stop(f.group.Primary())
			})
			firstAck := time.Time{}
			for _, stats := range allStats {
				for _, at := range stats.acks {
					if at.After(stoppedAt.Add(50*time.Millisecond)) && (firstAck.IsZero() || at.Before(firstAck)) {
						firstAck = at
					}
				}
			}
			gaps = append(gaps, firstAck.Sub(stoppedAt))
		})
	}
	slices.Sort(gaps)
	fmt.Fprintf(b, "| %s | %d | %s | %s | unbounded |\n", d.name, runs, gaps[runs/2].Round(time.Millisecond), gaps[runs-1].Round(time.Millisecond))
}

func (d deployment) measureFlood(t *testing.T, b *strings.Builder) {
	const duration = 30 * time.Second
	f := newFleetWithLatency(t, d.hosts, d.latency)
	defer f.close()
	d.populate(f)
	allStats := d.runPeak(f, peak{duration: duration, bookings: 0.3, profile: daisysandbox.ProfileRead, flood: true}, func() {})
	worst, refused, sent := 1.0, 0, 0
	for i, stats := range allStats {
		if i == d.largeWorkspaces[0] {
			continue
		}
		worst = math.Min(worst, float64(stats.served)/float64(stats.sent))
		refused += stats.refused
		sent += stats.sent
	}
	flood := allStats[d.largeWorkspaces[0]]
	fmt.Fprintf(b, "| %s | %.1f%% | %d of %d | %.1f of %.1f |\n", d.name, 100*worst, refused, sent, float64(flood.served)/duration.Seconds(), largeRate)
}
