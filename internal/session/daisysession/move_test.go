package daisysession_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// otherServiceName is a service beside serviceName, with the primary m3 and the replica m4.
// Its log has fewer entries, and its leadership the same epoch.
const otherServiceName = "rounds"

// movingFleet is a fleet with a profile that moves between its two services.
type movingFleet struct {
	*fleet
}

func newMovingFleet(t *testing.T) movingFleet {
	t.Helper()
	f := movingFleet{newFleet(t)}
	for i, name := range []string{"m3", "m4"} {
		f.servers[name] = &server{name: name, primary: i == 0, position: daisystatement.Position{Term: 1, Number: 5}}
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7100+i))
		f.put(daisyfleet.KindServer, name, daisyfleet.Server{Service: otherServiceName, Address: addr})
		f.pool.Set(daisypool.Target{Server: name, Service: otherServiceName, Address: addr}, daisypool.Share{KeepOpen: 3, MaxOpen: 3})
	}
	f.put(daisyfleet.KindLeadership, otherServiceName, daisyfleet.Leadership{Epoch: 1, Server: "m3", Term: 1})
	f.router.Refresh()
	// The positions known to the gateways are older than all writes of the test.
	f.env.Forwarder = &positionGateway{Gateway: f.gateway, position: daisystatement.Position{Term: 1, Number: 1}}
	f.addProfile(daisyspec.Profile{
		Name: "moving", Database: "moving", Service: serviceName, Freshness: daisyspec.FreshSession,
		MaxAge: 1500 * time.Millisecond, Timeout: time.Second, Latency: 500 * time.Millisecond,
	})
	return f
}

func (f movingFleet) move(service string) {
	f.profiles[0].Service = service
	f.setKeys(keyText)
}

// Guards against a session that forgets its write on one service when it writes on another,
// and compares positions in the logs of both, after its route has moved (review/10).
func TestSessionReadsItsWritesAfterRouteMoves(t *testing.T) {
	const write, commit, moveHome, moveAway, read = "Write", "Commit", "MoveHome", "MoveAway", "Read"
	tests := []struct {
		name  string
		steps []string
		reads []string // The servers that run the reads, in order.
	}{
		{"There", []string{write, moveAway, read}, []string{"m4"}},
		{"ThereAndBack", []string{write, moveAway, read, moveHome, read}, []string{"m4", "m1"}},
		{"WrittenThere", []string{write, moveAway, write, read, moveHome, read}, []string{"m3", "m1"}},
		{"CommittedThere", []string{commit, moveAway, commit, read, moveHome, read}, []string{"m3", "m1"}},
		{"ReadFirst", []string{read, moveAway, write, moveHome, read, moveAway, read}, []string{"m2", "m2", "m3"}},
		{"SeveralTimes", []string{
			write, moveAway, write, moveHome, write, moveAway, moveHome, read, moveAway, write, moveHome, read, moveAway, read,
		}, []string{"m1", "m1", "m3"}},
		{"MovedInTransaction", []string{"Begin", write, moveAway, "End", write, moveHome, read, moveAway, read}, []string{"m1", "m3"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMovingFleet(t)
				defer f.close()
				s := f.session("moving")
				ok := func(kind daisystatement.Kind) {
					assert.Equal(t, code(do(s, statement(kind, "s"))), daisystatement.CodeNone)
				}
				var reads []string
				for _, step := range test.steps {
					switch step {
					case moveHome:
						f.move(serviceName)
					case moveAway:
						f.move(otherServiceName)
					case write:
						ok(daisystatement.KindWrite)
					case commit:
						ok(daisystatement.KindBegin)
						ok(daisystatement.KindWrite)
						ok(daisystatement.KindCommit)
					case "Begin":
						ok(daisystatement.KindBegin)
					case "End":
						ok(daisystatement.KindCommit)
					case read:
						before := f.countReads()
						ok(daisystatement.KindRead)
						for name, n := range f.countReads() {
							if n > before[name] {
								reads = append(reads, name)
							}
						}
						time.Sleep(4 * time.Second) // No sample and no hold-off of a lagging replica remains.
					}
				}
				assert.DeepEqual(t, reads, test.reads)
			})
		})
	}
}

// countReads returns how many reads each server has run.
func (f movingFleet) countReads() map[string]int {
	counts := make(map[string]int)
	for name, s := range f.servers {
		counts[name] = len(s.ran(daisystatement.KindRead))
	}
	return counts
}
