package daisygateway

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/holder/daisyqueue"
)

// Places where a request waits, for OnWait.
const (
	placeQueue      = "queue"      // For a slot.
	placeConnection = "connection" // For a connection, which may have to be opened.
)

// hopelessFactor is by how much the expected wait must exceed the time that is left before
// a waiting request is refused. The estimate counts on the order at the moment, and a
// request that waits costs nothing.
const hopelessFactor = 2

// runTime returns the mean run time of the request's class.
func (s *serverState) runTime(req daisyrequest.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run, ok := s.classRunTimes[req.QueueClass()]; ok {
		return run
	}
	return initialRunTime
}

// order returns the place of the request among those that wait.
func (s *serverState) order(req daisyrequest.Request) daisyorder.Order {
	run := s.runTime(req)
	return daisyorder.Order{
		Priority: req.Priority, Class: req.Class, StartBy: daisyorder.StartBy(req.Objective, run),
		Deadline: req.SendDeadline, RunTime: run.Truncate(time.Millisecond),
	}
}

// slotRequest returns the request for a slot of the server.
func (s *serverState) slotRequest(req daisyrequest.Request, o daisyorder.Order) daisyqueue.SlotRequest {
	return daisyqueue.SlotRequest{
		Workspace: req.Workspace, Weight: req.Weight, Urgent: req.Statement.Kind == daisystatement.KindStatus,
		Priority: o.Priority, Class: o.Class, StartBy: o.StartBy, Deadline: o.Deadline, RunTime: o.RunTime,
		Hopeless: func(ahead int) bool {
			return s.waitFor(ahead) > hopelessFactor*time.Until(req.SendDeadline)
		},
	}
}

// expectedWait returns how long a request would wait if it came now.
func (s *serverState) expectedWait(r daisyqueue.SlotRequest) time.Duration {
	return s.waitFor(s.queue.Ahead(r))
}

// servesOthers reports whether a request like it of a workspace of which none waits could be
// sent in its time, so that only the share of the request's own workspace is used up.
func (s *serverState) servesOthers(req daisyrequest.Request, o daisyorder.Order) bool {
	other := s.slotRequest(req, o)
	other.Workspace = ""
	return s.expectedWait(other) <= time.Until(req.SendDeadline)
}

// waitFor returns the time in which the server runs the number of statements.
func (s *serverState) waitFor(ahead int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(ahead) * s.meanRunTime / time.Duration(s.slots)
}

// recordWait reports the wait of a request at a place since the given time.
func (g *Gateway) recordWait(place string, req daisyrequest.Request, since time.Time) {
	if g.OnWait != nil {
		g.OnWait(place, req.Class, time.Since(since))
	}
}
