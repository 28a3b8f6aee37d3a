package daisysession

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/config/daisyspec"
	"github.com/daisyglade/daisyglade/internal/domain/daisyorder"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/session/daisyfreshness"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

const (
	// defaultIdle is how long a transaction may be idle before it is rolled back
	// if the desired state sets no limit.
	defaultIdle = 30 * time.Second
	// maxTokenWait is how long an operation may wait for its workspace's tokens:
	// time for four grant requests of the host, and no more than a quarter of the
	// usual latency objective, 0.8 s.
	maxTokenWait = 200 * time.Millisecond
)

// Environment holds what all sessions of a host share.
type Environment struct {
	Index     func() *daisyspec.Index // Returns the index of the current desired state; nil before the first.
	Router    *daisyrouter.Router
	Forwarder Forwarder
	Admission *daisyadmission.Controller
	Control   Control // May be nil for a host that never loses control.
	Count     Counter
	OnWait    func(place, class string, wait time.Duration) // Called when an operation has its token; may be nil.
	Log       log.Interface
}

// Counter counts statements by outcome.
type Counter interface {
	// RecordStatement counts an answered statement of a profile.
	RecordStatement(profile string, code daisystatement.Code, took time.Duration)
}

// prepared is a prepared statement of the session.
type prepared struct {
	readOnly bool
	shape    string
}

// Session is one client session. It is not safe for concurrent use.
type Session struct {
	env       *Environment
	database  string
	key       string
	workspace string
	weight    float64 // The workspace's weight in the fair queues of backend servers.
	values    map[string]string
	prepared  map[string]prepared
	// lastWrites are by service: the logs of two services have nothing in common, though
	// their epochs may have the same number.
	lastWrites map[string]daisyfreshness.WritePosition
	tx         *transaction
	client     context.Context // Ends when the client has left; nil if that is not known.
	ended      bool            // The key or the profile was withdrawn.
	// homeRegions are the workspace's, from the last desired state that had its key.
	homeRegions []string
}

// Open starts a session for a database with a client's key.
func (e *Environment) Open(database, key string) (*Session, *daisystatement.Failure) {
	s := &Session{env: e, database: database, key: key, lastWrites: make(map[string]daisyfreshness.WritePosition)}
	if _, failure := s.authorize(); failure != nil {
		return nil, failure
	}
	return s, nil
}

// authorize returns the current profile of the session's database and sets the
// session's workspace from its key.
func (s *Session) authorize() (daisyspec.Profile, *daisystatement.Failure) {
	index := s.env.Index()
	if index == nil {
		return daisyspec.Profile{}, failure(daisystatement.CodeBusy, "no desired state is known yet")
	}
	p, ok := index.Profile(s.database)
	if !ok {
		return p, s.env.unknown(daisystatement.CodeNoDatabase, "no profile serves the database")
	}
	w, ok := index.Owner(s.key)
	if !ok && !p.Public {
		return p, s.env.unknown(daisystatement.CodeDenied, "the key opens no workspace")
	}
	s.workspace, s.weight, s.homeRegions = w.Name, w.Rate, w.Regions
	return p, nil
}

// ownsKey reports whether the session's key is still that of its workspace. It is while no
// desired state is known.
func (s *Session) ownsKey() bool {
	index := s.env.Index()
	if index == nil {
		return true
	}
	w, ok := index.Owner(s.key)
	return ok && w.Name == s.workspace
}

func failure(c daisystatement.Code, text string) *daisystatement.Failure {
	return &daisystatement.Failure{Code: c, Text: text}
}

// Ended reports whether the session is to be closed: its key or its profile has
// been withdrawn.
func (s *Session) Ended() bool { return s.ended }

// InTransaction reports whether the session is in a transaction.
func (s *Session) InTransaction() bool { return s.tx != nil }

// IdleLimit returns how long the session may be idle before its transaction is
// rolled back.
func (s *Session) IdleLimit() time.Duration {
	if index := s.env.Index(); index != nil && index.TransactionIdle > 0 {
		return index.TransactionIdle
	}
	return defaultIdle
}

// Expire rolls back the transaction because the session reached its idle limit.
func (s *Session) Expire() {
	if s.tx != nil && !s.tx.failed {
		s.env.Log.WithFields(log.Fields{"Workspace": s.workspace, "Database": s.database}).Info("session: idle transaction rolled back")
		s.tx.fail()
	}
}

// Close ends the session. Its transaction is rolled back.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.end()
		s.tx = nil
	}
}

// Do runs one statement that arrived at the given time.
func (s *Session) Do(st daisystatement.Statement, arrived time.Time) (a daisystatement.Answer) {
	defer func() { s.report(st, arrived, a) }()
	if s.tx != nil && s.tx.failed && st.Kind != daisystatement.KindCommit && st.Kind != daisystatement.KindRollback {
		return daisystatement.Fail(daisystatement.StateFailed, s.tx.code(), "the transaction has failed; end it")
	}
	switch st.Kind {
	case daisystatement.KindSet:
		s.set(st.Name, st.Value)
		return daisystatement.Done(s.state())
	case daisystatement.KindPrepare:
		s.prepare(st)
		return daisystatement.Done(s.state())
	case daisystatement.KindDeallocate:
		s.deallocate(st.Name)
		return daisystatement.Done(s.state())
	case daisystatement.KindBegin:
		return s.begin(st, arrived)
	case daisystatement.KindCommit, daisystatement.KindRollback:
		return s.finish(st, arrived)
	case daisystatement.KindRead, daisystatement.KindWrite, daisystatement.KindExecute:
		return s.run(st, arrived)
	}
	return daisystatement.Fail(s.state(), daisystatement.CodeMalformed, "the statement is not understood")
}

func (s *Session) state() daisystatement.State {
	switch {
	case s.tx == nil:
		return daisystatement.StateIdle
	case s.tx.failed:
		return daisystatement.StateFailed
	}
	return daisystatement.StateOpen
}

// set changes a session value. The maps of a session are replaced, not modified,
// since hedged reads that are still running may use the old ones.
func (s *Session) set(name, value string) {
	values := maps.Clone(s.values)
	if values == nil {
		values = make(map[string]string)
	}
	values[name] = value
	s.values = values
}

func (s *Session) prepare(st daisystatement.Statement) {
	all := maps.Clone(s.prepared)
	if all == nil {
		all = make(map[string]prepared)
	}
	all[st.Name] = prepared{readOnly: st.ReadOnly, shape: st.Shape}
	s.prepared = all
}

func (s *Session) deallocate(name string) {
	s.prepared = maps.Clone(s.prepared)
	delete(s.prepared, name)
}

// admit authorizes an operation and takes a token of its workspace's rate limit.
func (s *Session) admit(st daisystatement.Statement) (daisyspec.Profile, *daisystatement.Failure) {
	p, refused := s.authorize()
	if refused != nil {
		s.ended = refused.Code != daisystatement.CodeBusy // What is busy may serve the session later.
		return p, refused
	}
	if s.env.controlLost() && s.needsPrimary(p, st) {
		return p, lostControlFailure()
	}
	if p.Public && s.workspace == "" {
		return p, nil
	}
	if refused := s.takeToken(p); refused != nil {
		return p, s.overRate(st, refused)
	}
	return p, nil
}

// placeTokens is the place where operations wait for rate limit tokens, for OnWait.
const placeTokens = "tokens"

// takeToken takes a token for an operation that has just arrived.
func (s *Session) takeToken(p daisyspec.Profile) *daisyadmission.Refusal {
	arrived := time.Now()
	order := daisyorder.Order{Priority: p.Priority, Class: p.Name, StartBy: daisyorder.StartBy(objective(p, arrived.Add(p.Timeout)), 0)}
	refused := s.env.Admission.Decide(s.clientContext(), s.workspace, order, maxTokenWait)
	if refused == nil && s.env.OnWait != nil {
		s.env.OnWait(placeTokens, p.Name, time.Since(arrived))
	}
	return refused
}

// run runs a read or a write.
func (s *Session) run(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	if st.Kind == daisystatement.KindExecute {
		if _, ok := s.prepared[st.Name]; !ok {
			if s.tx != nil {
				s.tx.fail()
				s.tx.failureReported = true
			}
			return daisystatement.Fail(s.state(), daisystatement.CodeNoStatement, "the statement is not prepared")
		}
	}
	if s.tx != nil {
		return s.tx.run(st, arrived)
	}
	p, refused := s.admit(st)
	if refused != nil {
		return daisystatement.Answer{State: daisystatement.StateIdle, Failure: refused}
	}
	if p.UsesReplicas(s.reads(st)) {
		return s.read(p, st, arrived)
	}
	a, _ := s.direct(p, st, arrived)
	return a
}

// reads reports whether the statement only reads.
func (s *Session) reads(st daisystatement.Statement) bool {
	if st.Kind == daisystatement.KindExecute {
		return s.prepared[st.Name].readOnly
	}
	return st.Kind == daisystatement.KindRead
}

func (s *Session) begin(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	if s.tx != nil {
		return daisystatement.Fail(s.state(), daisystatement.CodeMalformed, "a transaction is open")
	}
	p, refused := s.admit(st)
	if refused != nil {
		return daisystatement.Answer{State: daisystatement.StateIdle, Failure: refused}
	}
	s.tx = &transaction{session: s, profile: p, readOnly: st.ReadOnly, began: arrived}
	return daisystatement.Done(daisystatement.StateOpen)
}

func (s *Session) finish(st daisystatement.Statement, arrived time.Time) daisystatement.Answer {
	if s.tx == nil {
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeMalformed, "no transaction is open")
	}
	tx := s.tx
	if st.Kind == daisystatement.KindCommit && !tx.failed {
		a := tx.commit(st, arrived)
		if a.State == daisystatement.StateIdle {
			s.tx = nil
		}
		return a
	}
	s.tx = nil
	tx.end()
	if st.Kind == daisystatement.KindCommit {
		return daisystatement.Fail(daisystatement.StateIdle, daisystatement.CodeAborted, "the transaction has failed and is rolled back")
	}
	return daisystatement.Done(daisystatement.StateIdle)
}

// report counts the statement and logs it if it failed or took longer than the
// latency objective.
func (s *Session) report(st daisystatement.Statement, arrived time.Time, a daisystatement.Answer) {
	code := daisystatement.CodeNone
	took := time.Since(arrived)
	if a.Failure != nil {
		code = a.Failure.Code
		s.logger(st).WithFields(log.Fields{"Code": code.String(), "Reason": a.Failure.Text, "Took": took.String()}).
			Info("session: statement not served")
	} else if p, ok := s.profile(); ok && took > p.Latency {
		s.logger(st).WithFields(log.Fields{"Took": took.String(), "Objective": p.Latency.String()}).Info("session: statement served late")
	}
	if s.env.Count != nil {
		s.env.Count.RecordStatement(s.database, code, took)
	}
}

func (s *Session) profile() (p daisyspec.Profile, ok bool) {
	if index := s.env.Index(); index != nil {
		p, ok = index.Profile(s.database)
	}
	return p, ok
}

// logger returns a logger with fields for the request and for the state that
// decides how it is served.
func (s *Session) logger(st daisystatement.Statement) *log.Entry {
	fields := log.Fields{"Request": st.ID, "Workspace": s.workspace, "Database": s.database}
	if index := s.env.Index(); index != nil {
		fields["Version"] = index.Version
	}
	if p, ok := s.profile(); ok {
		l, leads := s.env.Router.Leader(p.Service)
		fields["Service"], fields["Round"], fields["Primary"], fields["Usable"] = p.Service, l.Epoch, l.Server, leads
	}
	if s.tx != nil {
		fields["Server"], fields["Wrote"] = s.tx.server, s.tx.wrote
	}
	return s.env.Log.WithFields(fields)
}
