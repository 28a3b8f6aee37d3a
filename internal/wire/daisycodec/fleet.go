package daisycodec

import (
	"errors"
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// fromValue sets the field of the wire object that matches the type of v.
func fromValue(v daisyfleet.Value, w *daisywire.Object) {
	switch v := v.(type) {
	case daisyfleet.Profile:
		w.Profile = &daisywire.Profile{
			Database: v.Database, ReadOnly: v.ReadOnly, MaxAge: int64(v.MaxAge),
			Acknowledge: string(v.Acknowledge), Cost: v.Cost, Wait: int64(v.Wait), Objective: v.Objective,
			Latency: int64(v.Latency), Session: string(v.Session),
		}
	case daisyfleet.Workspace:
		w.Workspace = &daisywire.Workspace{Home: v.Home, Rate: v.Rate, Burst: v.Burst}
	case daisyfleet.Key:
		w.Key = &daisywire.Key{Workspace: v.Workspace, Hash: v.Hash[:]}
	case daisyfleet.Database:
		w.Database = &daisywire.Database{Connections: int64(v.Connections), Members: int64(v.Members)}
	case daisyfleet.Member:
		w.Member = &daisywire.Member{Database: v.Database, Address: v.Address.String(), FailureDomain: v.FailureDomain, Leaving: v.Leaving}
	case daisyfleet.Host:
		w.Host = &daisywire.Host{
			Incarnation: v.Incarnation, Address: v.Address.String(), FailureDomain: v.FailureDomain,
			Region: v.Region, Up: v.Up, Leaving: v.Leaving,
		}
	case daisyfleet.Ownership:
		w.Tenure = &daisywire.Tenure{
			Term: v.Term, Holder: v.Holder, Incarnation: v.Incarnation,
			Primary: v.Primary, Last: v.Last, Avoid: v.Avoid, Revoked: v.Revoked,
		}
	default:
		fromServiceValue(v, w)
	}
}

func toValue(w *daisywire.Object) (daisyfleet.Value, error) {
	switch daisyfleet.Kind(w.Kind) {
	case daisyfleet.KindProfile:
		if p := w.Profile; p != nil {
			return daisyfleet.Profile{
				Database: p.Database, ReadOnly: p.ReadOnly, MaxAge: time.Duration(p.MaxAge),
				Acknowledge: daisyfleet.Acknowledge(p.Acknowledge), Cost: p.Cost, Wait: time.Duration(p.Wait), Objective: p.Objective,
				Latency: time.Duration(p.Latency), Session: toSessionScope(p.Session),
			}, nil
		}
	case daisyfleet.KindWorkspace:
		if v := w.Workspace; v != nil {
			return daisyfleet.Workspace{Home: v.Home, Rate: v.Rate, Burst: v.Burst}, nil
		}
	case daisyfleet.KindKey:
		return toKey(w.Key)
	case daisyfleet.KindDatabase:
		if v := w.Database; v != nil {
			return daisyfleet.Database{Connections: int(v.Connections), Members: int(v.Members)}, nil
		}
	case daisyfleet.KindMember:
		return toMember(w.Member)
	case daisyfleet.KindHost:
		return toHost(w.Host)
	case daisyfleet.KindOwnership:
		if v := w.Tenure; v != nil {
			return daisyfleet.Ownership{
				Term: v.Term, Holder: v.Holder, Incarnation: v.Incarnation,
				Primary: v.Primary, Last: v.Last, Avoid: v.Avoid, Revoked: v.Revoked,
			}, nil
		}
	default:
		return toServiceValue(w)
	}
	return nil, errors.New(w.Kind + " object has no value")
}

// toSessionScope returns the session scope of a profile, SessionKey if s is empty.
func toSessionScope(s string) daisyfleet.SessionScope {
	if s == "" {
		return daisyfleet.SessionKey
	}
	return daisyfleet.SessionScope(s)
}

func toKey(w *daisywire.Key) (daisyfleet.Value, error) {
	if w == nil {
		return nil, errors.New("Key object has no value")
	}
	k := daisyfleet.Key{Workspace: w.Workspace}
	if len(w.Hash) != len(k.Hash) {
		return nil, errors.New("Key object has a hash of the wrong length")
	}
	copy(k.Hash[:], w.Hash)
	return k, nil
}

func toMember(w *daisywire.Member) (daisyfleet.Value, error) {
	if w == nil {
		return nil, errors.New("Member object has no value")
	}
	addr, err := netip.ParseAddrPort(w.Address)
	return daisyfleet.Member{Database: w.Database, Address: addr, FailureDomain: w.FailureDomain, Leaving: w.Leaving}, err
}

func toHost(w *daisywire.Host) (daisyfleet.Value, error) {
	if w == nil {
		return nil, errors.New("Host object has no value")
	}
	addr, err := netip.ParseAddrPort(w.Address)
	return daisyfleet.Host{
		Incarnation: w.Incarnation, Address: addr, FailureDomain: w.FailureDomain,
		Region: w.Region, Up: w.Up, Leaving: w.Leaving,
	}, err
}

// FromObject maps an object to its wire type.
func FromObject(o daisyfleet.Object) daisywire.Object {
	w := daisywire.Object{Kind: string(o.Kind), Name: o.Name, Revision: o.Revision, Deleted: o.Deleted()}
	fromValue(o.Value, &w)
	return w
}

// ToObject maps a wire object to its domain type.
func ToObject(w daisywire.Object) (o daisyfleet.Object, err error) {
	o = daisyfleet.Object{ID: daisyfleet.ID{Kind: daisyfleet.Kind(w.Kind), Name: w.Name}, Revision: w.Revision}
	if !w.Deleted {
		o.Value, err = toValue(&w)
	}
	return o, err
}

func fromObjects(objects []daisyfleet.Object) []daisywire.Object {
	ws := make([]daisywire.Object, 0, len(objects))
	for _, o := range objects {
		ws = append(ws, FromObject(o))
	}
	return ws
}

func toObjects(ws []daisywire.Object) ([]daisyfleet.Object, error) {
	objects := make([]daisyfleet.Object, 0, len(ws))
	for _, w := range ws {
		o, err := ToObject(w)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

// FromChange maps a change to its wire type.
func FromChange(c daisyfleet.Change) daisywire.Change {
	w := daisywire.Change{ID: c.ID, Reason: c.Reason, At: fromTime(c.At)}
	for _, op := range c.Operations {
		object := FromObject(daisyfleet.Object{ID: op.ID, Value: op.Value})
		w.Operations = append(w.Operations, daisywire.Operation{Against: op.ExpectedRevision, Object: object})
	}
	return w
}

// ToChange maps a wire change to its domain type.
func ToChange(w daisywire.Change) (daisyfleet.Change, error) {
	c := daisyfleet.Change{ID: w.ID, Reason: w.Reason, At: toTime(w.At)}
	for _, op := range w.Operations {
		o, err := ToObject(op.Object)
		if err != nil {
			return daisyfleet.Change{}, err
		}
		c.Operations = append(c.Operations, daisyfleet.Operation{ID: o.ID, ExpectedRevision: op.Against, Value: o.Value})
	}
	return c, nil
}

// FromOutcome maps an outcome to its wire type.
func FromOutcome(o daisyfleet.Outcome) daisywire.Outcome {
	return daisywire.Outcome{ID: o.ID, Accepted: o.Accepted, Revision: o.Revision, Message: o.Message}
}

// ToOutcome maps a wire outcome to its domain type.
func ToOutcome(w daisywire.Outcome) daisyfleet.Outcome {
	return daisyfleet.Outcome{ID: w.ID, Accepted: w.Accepted, Revision: w.Revision, Message: w.Message}
}

func fromDelta(d *daisyfleet.Delta) *daisywire.Delta {
	if d == nil {
		return nil
	}
	return &daisywire.Delta{From: d.From, To: d.To, Objects: fromObjects(d.Objects)}
}

func toDelta(w *daisywire.Delta) (*daisyfleet.Delta, error) {
	if w == nil {
		return nil, nil
	}
	objects, err := toObjects(w.Objects)
	return &daisyfleet.Delta{From: w.From, To: w.To, Objects: objects}, err
}

// FromEvent maps an event to its wire type.
func FromEvent(e daisyfleet.Event) daisywire.Event {
	return daisywire.Event{Revision: e.Revision, At: fromTime(e.At), Reason: e.Reason, Refused: e.Refused}
}

// ToEvent maps a wire event to its domain type.
func ToEvent(w daisywire.Event) daisyfleet.Event {
	return daisyfleet.Event{Revision: w.Revision, At: toTime(w.At), Reason: w.Reason, Refused: w.Refused}
}

func fromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func toTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}
