package daisypromotion

import (
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// markLifetime is how long replicas have to receive what a primary had, before a later
// position is asked of them: as long as a succession waits for that.
const markLifetime = catchUpTimeout

// mark is a position that a primary had, by which the leader judges whether its replicas
// have caught up.
type mark struct {
	epoch    uint64
	at       time.Time // When the probe that brought it was issued.
	position daisystatement.Position
}

// updateMark sets the service's mark to the position of its primary if it has none in the
// epoch, or an old one.
func (l *Leader) updateMark(now time.Time, service string, leadership daisyfleet.Leadership) {
	status, ok := l.statusOf(now, leadership.Server)
	if !ok || status.Role != RolePrimary {
		return
	}
	if old := l.marks[service]; old.epoch != leadership.Epoch || now.Sub(old.at) > markLifetime {
		l.marks[service] = mark{epoch: leadership.Epoch, at: l.probes[leadership.Server].answeredProbeAt, position: status.Received}
	}
}

// caughtUp returns the replicas that have received all that the primary had at the mark, and
// when that was. It returns none if there is no mark in the epoch.
func (l *Leader) caughtUp(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) (replicas []member, at time.Time) {
	m := l.marks[service]
	if m.epoch != leadership.Epoch {
		return nil, time.Time{}
	}
	replicas = slices.DeleteFunc(members(s, service), func(r member) bool {
		status, ok := l.statusOf(now, r.name)
		return r.name == leadership.Server || !ok || status.Received.Compare(m.position) < 0
	})
	return replicas, m.at
}
