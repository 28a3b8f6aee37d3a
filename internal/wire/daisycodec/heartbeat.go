package daisycodec

import (
	"errors"
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// EncodeHeartbeat encodes a heartbeat.
func EncodeHeartbeat(h daisyheartbeat.Heartbeat) []byte {
	w := &daisywire.Beat{
		ID: h.ID, Host: h.Host, Incarnation: h.Incarnation, Address: h.Address.String(),
		FailureDomain: h.FailureDomain, Region: h.Region, Revision: h.Revision, Leaving: h.Leaving,
	}
	for _, t := range h.Released {
		w.Released = append(w.Released, daisywire.Tenancy(t))
	}
	for _, t := range h.HigherTerms {
		w.Outranked = append(w.Outranked, daisywire.Tenancy{Database: t.Database, Term: t.Term})
	}
	for _, r := range h.Takeovers {
		w.Claims = append(w.Claims, daisywire.Claimed{Database: r.Database, Term: r.Term, Primary: r.Primary, Note: r.Note})
	}
	for _, o := range h.Observations {
		w.Suspicions = append(w.Suspicions, daisywire.Suspicion{Database: o.Database, Term: o.Term, Member: o.Member, Answers: o.Answers})
	}
	for _, a := range h.Announcements {
		w.Announcements = append(w.Announcements, daisywire.Announcement{
			Database: a.Value.Database, Member: a.Member, Address: a.Value.Address.String(),
			FailureDomain: a.Value.FailureDomain, Leaving: a.Value.Leaving, Age: int64(a.Age),
		})
	}
	w.Demands = fromDemands(h.Demands)
	return encode(daisywire.Frame{Beat: w})
}

func toHeartbeat(w *daisywire.Beat) (h daisyheartbeat.Heartbeat, err error) {
	defer daisyerror.Annotate(&err, "beat")
	addr, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return h, err
	}
	if w.Host == "" || max(len(w.Host), len(w.FailureDomain), len(w.Region), len(w.Address)) > maxNameBytes {
		return h, errName
	}
	h = daisyheartbeat.Heartbeat{
		ID: w.ID, Host: w.Host, Incarnation: w.Incarnation, Address: addr,
		FailureDomain: w.FailureDomain, Region: w.Region, Revision: w.Revision, Leaving: w.Leaving,
	}
	for _, t := range w.Released {
		h.Released = append(h.Released, daisyheartbeat.OwnershipTerm(t))
	}
	for _, t := range w.Outranked {
		h.HigherTerms = append(h.HigherTerms, daisyheartbeat.OwnershipTerm{Database: t.Database, Term: t.Term})
	}
	for _, c := range w.Claims {
		h.Takeovers = append(h.Takeovers, daisyheartbeat.TakeoverReport{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: c.Database, Term: c.Term}, Primary: c.Primary, Note: c.Note})
	}
	for _, s := range w.Suspicions {
		h.Observations = append(h.Observations, daisyheartbeat.Observation{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: s.Database, Term: s.Term}, Member: s.Member, Answers: s.Answers})
	}
	for _, a := range w.Announcements {
		addr, err := netip.ParseAddrPort(a.Address)
		if err != nil {
			return h, err
		}
		h.Announcements = append(h.Announcements, daisyheartbeat.Announcement{
			Member: a.Member, Age: time.Duration(a.Age),
			Value: daisyfleet.Member{Database: a.Database, Address: addr, FailureDomain: a.FailureDomain, Leaving: a.Leaving},
		})
	}
	h.Demands, err = toDemands(w.Demands)
	return h, err
}

// EncodeHeartbeatReply encodes the answer to a heartbeat.
func EncodeHeartbeatReply(r daisyheartbeat.Reply) []byte {
	w := &daisywire.BeatReply{ID: r.ID, Lease: int64(r.Lease), Revision: r.Revision, Delta: fromDelta(r.Delta), Leader: formatAddr(r.Leader)}
	for _, p := range r.Probes {
		w.Probes = append(w.Probes, daisywire.Probe{Database: p.Database, Term: p.Term, Member: p.Member, Address: formatAddr(p.Address)})
	}
	for _, c := range r.Controls {
		w.Controls = append(w.Controls, c.String())
	}
	w.Grants = fromDemands(r.Grants)
	return encode(daisywire.Frame{BeatReply: w})
}

func toHeartbeatReply(w *daisywire.BeatReply) (r daisyheartbeat.Reply, err error) {
	defer daisyerror.Annotate(&err, "heartbeat reply")
	delta, err := toDelta(w.Delta)
	if err != nil {
		return r, err
	}
	r = daisyheartbeat.Reply{ID: w.ID, Lease: time.Duration(w.Lease), Revision: w.Revision, Delta: delta}
	for _, p := range w.Probes {
		addr, err := parseAddr(p.Address)
		if err != nil {
			return r, err
		}
		ownership := daisyheartbeat.OwnershipTerm{Database: p.Database, Term: p.Term}
		r.Probes = append(r.Probes, daisyheartbeat.Probe{OwnershipTerm: ownership, Member: p.Member, Address: addr})
	}
	for _, c := range w.Controls {
		addr, err := netip.ParseAddrPort(c)
		if err != nil {
			return r, err
		}
		r.Controls = append(r.Controls, addr)
	}
	if r.Grants, err = toDemands(w.Grants); err != nil {
		return r, err
	}
	r.Leader, err = parseAddr(w.Leader)
	return r, err
}

func fromDemands(demands []daisyheartbeat.Demand) []daisywire.Demand {
	var ws []daisywire.Demand
	for _, d := range demands {
		ws = append(ws, daisywire.Demand{
			Workspace: d.Workspace, Tokens: d.Tokens, After: int64(d.After), Denied: d.Denied, RetryAfter: int64(d.RetryAfter),
			Sequence: d.Sequence, Reserve: int64(d.Reserve), Held: int64(d.Held), Returned: int64(d.Returned), Lifetime: int64(d.Lifetime),
		})
	}
	return ws
}

// maxNameBytes bounds the names and the address of a host in a heartbeat. They become
// part of the control state.
const maxNameBytes = 1 << 10

var errName = errors.New("name of a host is missing, or a name or address too long")

// maxReserve bounds the numbers of tokens in reserve that a message may state, so that
// their sums do not overflow.
const maxReserve = 1 << 20

// checkReserves returns an error if a number of tokens in reserve is out of range.
func checkReserves(numbers ...int64) error {
	for _, n := range numbers {
		if n < 0 || n > maxReserve {
			return errAmount
		}
	}
	return nil
}

func toDemands(ws []daisywire.Demand) (demands []daisyheartbeat.Demand, err error) {
	for _, w := range ws {
		if err := errors.Join(checkAmounts(w.Tokens, w.Denied), checkDurations(w.After, w.RetryAfter, w.Lifetime), checkReserves(w.Reserve, w.Held, w.Returned)); err != nil {
			return nil, err
		}
		demands = append(demands, daisyheartbeat.Demand{
			Workspace: w.Workspace, Tokens: w.Tokens, After: time.Duration(w.After), Denied: w.Denied, RetryAfter: time.Duration(w.RetryAfter),
			Sequence: w.Sequence, Reserve: int(w.Reserve), Held: int(w.Held), Returned: int(w.Returned), Lifetime: time.Duration(w.Lifetime),
		})
	}
	return demands, nil
}

// Proposal asks the control leader to accept or refuse a change.
type Proposal struct {
	ID     uint64
	Change daisyfleet.Change
}

// Decision answers a Proposal.
type Decision struct {
	ID      uint64
	Outcome *daisyfleet.Outcome // Nil if no outcome is known.
	Leader  netip.AddrPort      // The host to ask instead; invalid if unknown.
	Message string              // Why no outcome is known.
}

// EncodeProposal encodes a proposal.
func EncodeProposal(p Proposal) []byte {
	return encode(daisywire.Frame{Propose: &daisywire.Propose{ID: p.ID, Change: FromChange(p.Change)}})
}

// EncodeDecision encodes a decision.
func EncodeDecision(d Decision) []byte {
	w := &daisywire.ProposeReply{ID: d.ID, Leader: formatAddr(d.Leader), Message: d.Message}
	if d.Outcome != nil {
		outcome := FromOutcome(*d.Outcome)
		w.Outcome = &outcome
	}
	return encode(daisywire.Frame{ProposeReply: w})
}

func toDecision(w *daisywire.ProposeReply) (d Decision, err error) {
	d = Decision{ID: w.ID, Message: w.Message}
	if w.Outcome != nil {
		outcome := ToOutcome(*w.Outcome)
		d.Outcome = &outcome
	}
	d.Leader, err = parseAddr(w.Leader)
	return d, err
}

// ClientMessage is a message from a host to the control leader. Exactly one
// field is set.
type ClientMessage struct {
	Heartbeat *daisyheartbeat.Heartbeat
	Proposal  *Proposal
}

// DecodeClientMessage decodes a message from a host to the control leader.
func DecodeClientMessage(b []byte) (m ClientMessage, err error) {
	f, err := decode(b)
	if err != nil {
		return m, err
	}
	switch {
	case f.Beat != nil:
		h, err := toHeartbeat(f.Beat)
		return ClientMessage{Heartbeat: &h}, err
	case f.Propose != nil:
		c, err := ToChange(f.Propose.Change)
		return ClientMessage{Proposal: &Proposal{ID: f.Propose.ID, Change: c}}, err
	}
	return m, ErrKind
}

// ServerMessage is a message from the control leader to a host. Exactly one
// field is set.
type ServerMessage struct {
	Reply    *daisyheartbeat.Reply
	Decision *Decision
}

// DecodeServerMessage decodes a message from the control leader to a host.
func DecodeServerMessage(b []byte) (m ServerMessage, err error) {
	f, err := decode(b)
	if err != nil {
		return m, err
	}
	switch {
	case f.BeatReply != nil:
		r, err := toHeartbeatReply(f.BeatReply)
		return ServerMessage{Reply: &r}, err
	case f.ProposeReply != nil:
		p, err := toDecision(f.ProposeReply)
		return ServerMessage{Decision: &p}, err
	}
	return m, ErrKind
}

func formatAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddr(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}
