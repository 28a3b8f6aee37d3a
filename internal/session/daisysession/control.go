package daisysession

import (
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
)

// Control is the host's contact with the control hosts.
type Control interface {
	// Valid reports whether the host's lease is valid, so that it may act on its copy of
	// the control state.
	Valid() bool
	// Lost reports whether no control host answers.
	Lost() bool
}

// errLostControl is returned for what a host cannot serve without control.
var errLostControl = errors.New("this host has lost control; connect again")

// leased reports whether the desired state that the host knows is the current one.
func (e *Environment) leased() bool { return e.Control == nil || e.Control.Valid() }

// controlLost reports whether the host can neither act on its copy of the control state
// nor expects to soon, so that waiting for a primary is of no use.
func (e *Environment) controlLost() bool { return !e.leased() && e.Control.Lost() }

// lostControlFailure returns the refusal of what the host cannot serve without control.
// Another host may serve it at once.
func lostControlFailure() *daisystatement.Failure {
	return failure(daisystatement.CodeBusy, errLostControl.Error()+"; "+retryIn(daisyadmission.LostControlRetry()))
}

// notLeading returns why a transaction that may write cannot go on.
func (e *Environment) notLeading() string {
	if e.controlLost() {
		return errLostControl.Error()
	}
	return "the primary is being replaced"
}

func retryIn(d time.Duration) string { return "retry in " + d.Round(time.Millisecond).String() }

// unknown returns the refusal of a database or key that the desired state does not have.
// Without a lease that state may be old, so that nothing is denied for it.
func (e *Environment) unknown(code daisystatement.Code, text string) *daisystatement.Failure {
	if !e.leased() {
		return lostControlFailure()
	}
	return failure(code, text)
}

// needsPrimary reports whether a statement can only run on the primary. A transaction is
// given by its BEGIN.
func (s *Session) needsPrimary(p daisyspec.Profile, st daisystatement.Statement) bool {
	if st.Kind == daisystatement.KindBegin {
		return !st.ReadOnly || p.Freshness == daisyspec.FreshPrimary
	}
	return !s.reads(st) || p.Freshness == daisyspec.FreshPrimary
}

// overRate logs and returns the refusal of an operation that got no token.
func (s *Session) overRate(st daisystatement.Statement, refused *daisyadmission.Refusal) *daisystatement.Failure {
	quota := s.env.Admission.State(s.workspace)
	l := s.env.Log.WithFields(log.Fields{
		"Request": st.ID, "Workspace": s.workspace, "Rate": quota.Rate, "Tokens": quota.Tokens, "Demand": quota.Demand, "Hosts": quota.Hosts,
		"RetryAfter": refused.RetryAfter.Milliseconds(),
	})
	switch refused.Cause {
	case daisyadmission.CauseClientLeft:
		return failure(daisystatement.CodeBusy, daisyrequest.ErrClientLeft.Error())
	case daisyadmission.CauseLostControl:
		l.Info("session: no token, and no control host answers")
		return failure(daisystatement.CodeBusy, errLostControl.Error()+"; "+retryIn(refused.RetryAfter))
	case daisyadmission.CauseUnanswered:
		l.Info("session: no answer to a request for a token")
		return failure(daisystatement.CodeBusy, "the control leader did not answer for the workspace's rate; "+retryIn(refused.RetryAfter))
	case daisyadmission.CauseOverRate:
	}
	l.Info("session: over the workspace's rate")
	return failure(daisystatement.CodeBusy, "over the workspace's rate; "+retryIn(refused.RetryAfter))
}
