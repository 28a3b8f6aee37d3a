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

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/try/daisysandbox"
)

var measureFile = flag.String("measure", "", "file to write the measurements to")

// deployment is one of the two that the users run, as far as one database
// group shows it.
type deployment struct {
	name    string
	hosts   int
	regions time.Duration // One way between regions.
	large   []int         // The workspaces that are large.
}

var deployments = []deployment{
	{"Pegwen", 6, 12 * time.Millisecond, []int{0}},
	{"Dulang", 9, 8 * time.Millisecond, []int{0, 1}},
}

const (
	measuredWorkspaces = 8
	smallRate          = 10.0 // Tokens a second.
	largeRate          = 60.0
	domainLatency      = 500 * time.Microsecond
	clientLatency      = time.Millisecond
	profileConnection  = "lookup-connection"
	overload           = 5 // Times its rate that a workspace sends.
)

// latency returns the one-way latencies: hosts lie in three places in turn.
func (d deployment) latency(from, to string) time.Duration {
	switch {
	case from == callerPlace || to == callerPlace:
		return clientLatency
	case from == groupPlace || to == groupPlace:
		return domainLatency
	}
	var a, b int
	_, _ = fmt.Sscanf(from, "h%d", &a)
	_, _ = fmt.Sscanf(to, "h%d", &b)
	if a%3 != b%3 {
		return d.regions
	}
	return domainLatency
}

func (d deployment) rate(workspace int) float64 {
	if slices.Contains(d.large, workspace) {
		return largeRate
	}
	return smallRate
}

func workspaceName(i int) string { return fmt.Sprint("workspace", i) }

func workspaceKey(i int) string { return fmt.Sprintf("key%d.secret%d", i, i) }

// populate creates the workspaces of the deployment with their keys.
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

// open opens a session of a workspace.
func (f *fleet) open(ctx context.Context, workspace, host int, profile string) (*pgx.Conn, error) {
	text := f.plan.ConnString(host, profile)
	text = strings.Replace(text, daisysandbox.Workspace+":"+f.plan.Key, workspaceName(workspace)+":"+workspaceKey(workspace), 1)
	return f.dialText(ctx, text)
}

// tally counts the requests of one workspace.
type tally struct {
	mu       sync.Mutex
	sent     int
	served   int
	refused  int
	reads    int
	possible int // Reads that some replica could serve by the time of the answer.
	acks     []time.Time
}

func (t *tally) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // The run is over; the request was cut off by the test.
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	var refusal *pgconn.PgError
	switch {
	case err == nil || errors.Is(err, pgx.ErrNoRows):
		t.served++
		t.acks = append(t.acks, time.Now())
	case errors.As(err, &refusal) && refusal.Code == "53400":
		t.refused++
	}
}

// traffic sends requests of a workspace at a rate: sessions of ten requests
// through any host, of which bookings are the given share.
func (f *fleet) traffic(ctx context.Context, t *tally, workspace int, rate, bookings float64, profile string) {
	random := rand.New(rand.NewPCG(uint64(workspace), 11))
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		// A session's connections take the time of ten requests.
		time.Sleep(time.Duration(random.ExpFloat64() * sessionRequests / rate * float64(time.Second)))
		host, seed := random.IntN(len(f.hosts)), random.Uint64()
		wait.Go(func() {
			f.visit(ctx, t, visit{workspace: workspace, number: n, host: host, bookings: bookings, profile: profile, seed: seed})
		})
	}
	wait.Wait()
}

const sessionRequests = 10

// visit is one caller with a connection for writes and one for reads, which it
// uses in turn.
type visit struct {
	workspace, number, host int
	bookings                float64 // The share of requests that write.
	profile                 string  // Of the reads.
	seed                    uint64
}

func (f *fleet) visit(ctx context.Context, t *tally, v visit) {
	random := rand.New(rand.NewPCG(v.seed, 1))
	writes, err := f.open(ctx, v.workspace, v.host, daisysandbox.ProfileWrite)
	if err != nil {
		return
	}
	defer f.hangUp(writes)
	reads, err := f.open(ctx, v.workspace, random.IntN(len(f.hosts)), v.profile)
	if err != nil {
		return
	}
	defer f.hangUp(reads)
	last := ""
	for i := 0; i < sessionRequests && ctx.Err() == nil; i++ {
		if random.Float64() < v.bookings {
			key := fmt.Sprintf("%s-%d-%d-%d", v.profile, v.workspace, v.number, i)
			_, err := writes.Exec(ctx, "INSERT INTO bookings VALUES ($1, $2)", pgx.QueryExecModeExec, key, "once")
			t.note(ctx, err)
			if err == nil {
				last = key
			}
			continue
		}
		var value string
		t.note(ctx, reads.QueryRow(ctx, "SELECT value FROM bookings WHERE key = $1", pgx.QueryExecModeExec, last).Scan(&value))
		t.mu.Lock()
		t.reads++
		if f.replicaHolds(last) {
			t.possible++
		}
		t.mu.Unlock()
	}
}

// replicaHolds reports whether some replica has the row; every replica has "".
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

// peak is a time at which all workspaces send.
type peak struct {
	length   time.Duration
	bookings float64
	profile  string // Of the reads.
	flood    bool   // One workspace sends several times its rate.
}

// peak lets all workspaces send, and strikes in the middle.
func (d deployment) peak(f *fleet, p peak, strike func()) []*tally {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var tallies []*tally
	for i := range measuredWorkspaces {
		t := &tally{}
		tallies = append(tallies, t)
		rate := 0.7 * d.rate(i)
		if p.flood && i == d.large[0] {
			rate = overload * d.rate(i)
		}
		wait.Go(func() { f.traffic(ctx, t, i, rate, p.bookings, p.profile) })
	}
	time.Sleep(p.length / 2)
	strike()
	time.Sleep(p.length / 2)
	cancel()
	wait.Wait()
	return tallies
}

// TestMeasurements measures the users' four measures on both deployments in
// virtual time and writes them as a page.
func TestMeasurements(t *testing.T) {
	if *measureFile == "" {
		t.Skip("measures; give -measure FILE")
	}
	var b strings.Builder
	commit, err := exec.CommandContext(t.Context(), "git", "rev-parse", "--short", "HEAD").Output()
	assert.NilError(t, err)
	fmt.Fprintf(&b, "Run at commit %s by `go test ./internal/try/daisysandbox -run TestMeasurements -timeout 30m -measure FILE`.\n\n", strings.TrimSpace(string(commit)))
	b.WriteString("### Share of reads served by replicas\n\n| deployment | peak | replicas apply after | sessions by key | sessions by connection | all to the primary | one who knows every position |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range deployments {
		for _, hour := range []struct {
			name     string
			bookings float64
		}{{"morning, 30% bookings", 0.3}, {"evening, 5% bookings", 0.05}} {
			for _, lag := range []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
				synctest.Test(t, func(t *testing.T) { d.measureShare(t, &b, hour.name, hour.bookings, lag) })
			}
		}
	}
	b.WriteString("\n### Gap in service when the primary is lost at the morning peak\n\n| deployment | runs | median | largest | without promotion |\n| --- | --- | --- | --- | --- |\n")
	for _, d := range deployments {
		d.measureGap(t, &b)
	}
	b.WriteString("\n### Worst-served workspace and wrongful refusals, one workspace sending 5 times its rate\n\n| deployment | worst-served of the others: served of sent | refused of the others' requests | the flooding workspace: served a second, of its rate |\n| --- | --- | --- | --- |\n")
	for _, d := range deployments {
		synctest.Test(t, func(t *testing.T) { d.measureFlood(t, &b) })
	}
	t.Log("\n" + b.String())
	assert.NilError(t, os.WriteFile(*measureFile, []byte(b.String()), 0o600))
}

func (d deployment) measureShare(t *testing.T, b *strings.Builder, hour string, bookings float64, lag time.Duration) {
	f := newFleetOver(t, d.hosts, d.latency)
	defer f.close()
	d.populate(f)
	f.lag(0, lag)
	var shares []float64
	reads, possible := 0, 0
	for _, profile := range []string{daisysandbox.ProfileRead, profileConnection} {
		for _, tally := range d.peak(f, peak{length: 20 * time.Second, bookings: bookings, profile: profile}, func() {}) {
			reads += tally.reads
			possible += tally.possible
		}
		shares = append(shares, 100*f.replicaShare(profile))
	}
	fmt.Fprintf(b, "| %s | %s | %s | %.1f%% | %.1f%% | 0%% | %.1f%% |\n", d.name, hour, lag, shares[0], shares[1], 100*float64(possible)/float64(reads))
}

func (d deployment) measureGap(t *testing.T, b *strings.Builder) {
	const runs = 10
	var gaps []time.Duration
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOver(t, d.hosts, d.latency)
			defer f.close()
			d.populate(f)
			// The first run strikes at once, the others at other moments of the probes.
			time.Sleep(time.Duration(len(gaps)) * 27 * time.Millisecond)
			var struck time.Time
			tallies := d.peak(f, peak{length: 8 * time.Second, bookings: 1, profile: daisysandbox.ProfileRead}, func() {
				struck = time.Now()
				f.group.Stop(f.group.Primary())
			})
			first := time.Time{}
			for _, tally := range tallies {
				for _, at := range tally.acks {
					if at.After(struck.Add(50*time.Millisecond)) && (first.IsZero() || at.Before(first)) {
						first = at
					}
				}
			}
			gaps = append(gaps, first.Sub(struck))
		})
	}
	slices.Sort(gaps)
	fmt.Fprintf(b, "| %s | %d | %s | %s | for ever |\n", d.name, runs, gaps[runs/2].Round(time.Millisecond), gaps[runs-1].Round(time.Millisecond))
}

func (d deployment) measureFlood(t *testing.T, b *strings.Builder) {
	const length = 30 * time.Second
	f := newFleetOver(t, d.hosts, d.latency)
	defer f.close()
	d.populate(f)
	tallies := d.peak(f, peak{length: length, bookings: 0.3, profile: daisysandbox.ProfileRead, flood: true}, func() {})
	worst, refused, sent := 1.0, 0, 0
	for i, tally := range tallies {
		if i == d.large[0] {
			continue
		}
		worst = math.Min(worst, float64(tally.served)/float64(tally.sent))
		refused += tally.refused
		sent += tally.sent
	}
	flood := tallies[d.large[0]]
	fmt.Fprintf(b, "| %s | %.1f%% | %d of %d | %.1f of %.1f |\n", d.name, 100*worst, refused, sent, float64(flood.served)/length.Seconds(), largeRate)
}
