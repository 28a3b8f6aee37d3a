package daisycodec

import (
	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// Record is one record of the write-ahead log file.
type Record struct {
	Replica   daisylog.ReplicaID
	HardState *daisylog.HardState
	Snapshot  *daisylog.Snapshot
	Entries   []daisylog.Entry
}

// EncodeRecord encodes a record of the write-ahead log file.
func EncodeRecord(r Record) []byte {
	w := &daisywire.Record{Replica: uint64(r.Replica), Image: fromSnapshot(r.Snapshot), Entries: fromEntries(r.Entries)}
	if r.HardState != nil {
		w.Ballot = &daisywire.Ballot{Term: r.HardState.Term, Vote: uint64(r.HardState.Vote), Won: r.HardState.Won}
	}
	return encode(daisywire.Frame{Record: w})
}

// DecodeRecord decodes a record of the write-ahead log file.
func DecodeRecord(b []byte) (r Record, err error) {
	defer daisyerror.Annotate(&err, "decode record")
	f, err := decode(b)
	if err != nil {
		return r, err
	}
	w := f.Record
	if w == nil {
		return r, ErrKind
	}
	r.Replica = daisylog.ReplicaID(w.Replica)
	if w.Ballot != nil {
		r.HardState = &daisylog.HardState{Term: w.Ballot.Term, Vote: daisylog.ReplicaID(w.Ballot.Vote), Won: w.Ballot.Won}
	}
	if r.Snapshot, err = toSnapshot(w.Image); err != nil {
		return r, err
	}
	r.Entries, err = toEntries(w.Entries)
	return r, err
}

// EncodeLogMessage encodes a message between replicas of the control log.
func EncodeLogMessage(m daisylog.Message) []byte {
	w := &daisywire.Consensus{
		Kind: string(m.Kind), From: uint64(m.From), Address: formatAddr(m.Address), To: uint64(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Entries: fromEntries(m.Entries),
		Reject: m.Reject, Round: m.Round, Image: fromSnapshot(m.Snapshot),
	}
	if m.Peer != nil {
		peer := fromPeer(*m.Peer)
		w.Seat = &peer
	}
	return encode(daisywire.Frame{Consensus: w})
}

// DecodeLogMessage decodes a message between replicas of the control log. It returns an
// error for one that no replica sends.
func DecodeLogMessage(b []byte) (m daisylog.Message, err error) {
	defer daisyerror.Annotate(&err, "decode log message")
	f, err := decode(b)
	if err != nil {
		return m, err
	}
	w := f.Consensus
	if w == nil {
		return m, ErrKind
	}
	m = daisylog.Message{
		Kind: daisylog.MessageKind(w.Kind), From: daisylog.ReplicaID(w.From), To: daisylog.ReplicaID(w.To), Term: w.Term,
		Index: w.Index, LogTerm: w.LogTerm, Commit: w.Commit, Reject: w.Reject, Round: w.Round,
	}
	if m.Address, err = parseAddr(w.Address); err != nil {
		return m, err
	}
	if m.Entries, err = toEntries(w.Entries); err != nil {
		return m, err
	}
	if w.Seat != nil {
		peer, err := toPeer(*w.Seat)
		if err != nil {
			return m, err
		}
		m.Peer = &peer
	}
	if m.Snapshot, err = toSnapshot(w.Image); err != nil {
		return m, err
	}
	return m, m.Check()
}

func fromPeer(p daisylog.Peer) daisywire.Seat {
	return daisywire.Seat{Replica: uint64(p.Replica), Name: p.Name, Address: formatAddr(p.Address), Voting: p.Voting}
}

func toPeer(w daisywire.Seat) (daisylog.Peer, error) {
	addr, err := parseAddr(w.Address)
	return daisylog.Peer{Replica: daisylog.ReplicaID(w.Replica), Name: w.Name, Address: addr, Voting: w.Voting}, err
}

func fromPeers(peers []daisylog.Peer) []daisywire.Seat {
	var ws []daisywire.Seat
	for _, p := range peers {
		ws = append(ws, fromPeer(p))
	}
	return ws
}

func toPeers(ws []daisywire.Seat) ([]daisylog.Peer, error) {
	var peers []daisylog.Peer
	for _, w := range ws {
		p, err := toPeer(w)
		if err != nil {
			return nil, err
		}
		peers = append(peers, p)
	}
	return peers, nil
}

func fromEntries(entries []daisylog.Entry) []daisywire.Entry {
	var ws []daisywire.Entry
	for _, e := range entries {
		w := daisywire.Entry{Index: e.Index, Term: e.Term, Seats: fromPeers(e.Configuration)}
		if e.Change != nil {
			c := FromChange(*e.Change)
			w.Change = &c
		}
		ws = append(ws, w)
	}
	return ws
}

func toEntries(ws []daisywire.Entry) ([]daisylog.Entry, error) {
	var entries []daisylog.Entry
	for _, w := range ws {
		e := daisylog.Entry{Index: w.Index, Term: w.Term}
		var err error
		if e.Configuration, err = toPeers(w.Seats); err != nil {
			return nil, err
		}
		if w.Change != nil {
			c, err := ToChange(*w.Change)
			if err != nil {
				return nil, err
			}
			e.Change = &c
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func fromSnapshot(s *daisylog.Snapshot) *daisywire.Image {
	if s == nil {
		return nil
	}
	w := &daisywire.Image{
		Index: s.Index, Term: s.Term, Seats: fromPeers(s.Configuration),
		Objects: fromObjects(s.State.Objects), Horizon: s.State.CompactedRevision,
	}
	for _, o := range s.State.Outcomes {
		w.Outcomes = append(w.Outcomes, FromOutcome(o))
	}
	for _, e := range s.State.Events {
		w.Events = append(w.Events, FromEvent(e))
	}
	return w
}

func toSnapshot(w *daisywire.Image) (*daisylog.Snapshot, error) {
	if w == nil {
		return nil, nil
	}
	peers, err := toPeers(w.Seats)
	if err != nil {
		return nil, err
	}
	objects, err := toObjects(w.Objects)
	if err != nil {
		return nil, err
	}
	s := &daisylog.Snapshot{Index: w.Index, Term: w.Term, Configuration: peers}
	s.State = daisyfleet.Snapshot{Revision: w.Index, CompactedRevision: w.Horizon, Objects: objects}
	for _, o := range w.Outcomes {
		s.State.Outcomes = append(s.State.Outcomes, ToOutcome(o))
	}
	for _, e := range w.Events {
		s.State.Events = append(s.State.Events, ToEvent(e))
	}
	return s, nil
}
