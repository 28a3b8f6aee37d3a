package daisypromotion

import (
	"fmt"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// promotionOrder is the state of the calls by which the leader has the platform promote
// the server that the log names for an epoch.
type promotionOrder struct {
	server     string
	due        bool      // A call is to be made.
	pending    bool      // The result of a call is outstanding.
	sentAt     time.Time // When the last call was ordered.
	unresolved bool      // The platform may have received a call, and has answered none since.
	accepted   bool
	effectEnds time.Time // When the calls so far have taken effect, if the platform received them.
}

// newPromotionOrder returns the order of a server that this leader has named.
func newPromotionOrder(server string) *promotionOrder {
	return &promotionOrder{server: server, due: true}
}

// inheritPromotionOrder returns the order of a server that an earlier leader has named. The
// calls of that leader are not known.
func inheritPromotionOrder(server string, leadingSince time.Time) *promotionOrder {
	return &promotionOrder{server: server, due: true, unresolved: true, effectEnds: leadingSince.Add(confirmTimeout)}
}

// settled reports whether no call can take effect any more, so that another server may be
// named.
func (p *promotionOrder) settled(now time.Time) bool {
	return !p.pending && !p.unresolved && !now.Before(p.effectEnds)
}

// ready reports whether a call is to be made now.
func (p *promotionOrder) ready(now time.Time) bool {
	return p.due && !p.pending && (p.sentAt.IsZero() || now.Sub(p.sentAt) >= unknownOutcomeRetry)
}

// record records the outcome of a call.
func (p *promotionOrder) record(o PromotionOutcome) {
	p.pending = false
	switch o {
	case PromotionAccepted:
		p.due, p.unresolved, p.accepted = false, false, true
		p.effectEnds = p.sentAt.Add(confirmTimeout)
	case PromotionRefused:
		p.due, p.unresolved, p.accepted = false, false, false
	case PromotionUnknown:
		p.due, p.unresolved = true, true
		p.effectEnds = p.sentAt.Add(confirmTimeout)
	case PromotionNotSent:
		p.due = true
	}
}

// promotionOf returns the object of the service's last promotion, and its value if it is
// that of the epoch.
func promotionOf(s *daisyfleet.State, service string, epoch uint64) (o daisyfleet.Object, p daisyfleet.Promotion, ok bool) {
	id := daisyfleet.ID{Kind: daisyfleet.KindPromotion, Name: service}
	if o, ok = s.Get(id); !ok {
		o = daisyfleet.Object{ID: id}
	}
	p, ok = o.Value.(daisyfleet.Promotion)
	return o, p, ok && p.Epoch == epoch
}

// orderOf returns the order of the server that the log names for the succession.
func (l *Leader) orderOf(ongoing *succession, server string) *promotionOrder {
	switch {
	case ongoing.order != nil && ongoing.order.server == server:
	case ongoing.proposed == server:
		ongoing.order = newPromotionOrder(server)
	default:
		ongoing.order = inheritPromotionOrder(server, l.leadingSince)
	}
	return ongoing.order
}

// duePromotion returns the change that names the server to promote. The reason is empty if
// none is to be named now: the leader waits for answers of servers, or the promotion of the
// server that is named may still take effect.
func (l *Leader) duePromotion(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) (o daisyfleet.Object, next daisyfleet.Promotion, reason string) {
	ongoing := l.successionOf(service, leadership.Epoch)
	if !l.oldStateRecalled(now, s, service, leadership) {
		return o, next, ""
	}
	o, current, named := promotionOf(s, service, leadership.Epoch)
	if named && !l.orderOf(ongoing, current.Server).settled(now) {
		return o, next, ""
	}
	m, ok := l.chooseCandidate(now, s, service, leadership, ongoing)
	if !ok {
		return o, next, ""
	}
	ongoing.proposed = m.name
	if named && current.Server == m.name {
		ongoing.order.due = true
		return o, next, ""
	}
	next = daisyfleet.Promotion{Epoch: leadership.Epoch, Server: m.name}
	return o, next, fmt.Sprintf("%s is to lead %s in epoch %d from position %v", m.name, service, leadership.Epoch, m.received)
}

// duePromotionCall returns the order to promote the server that the log names, if a call
// is to be made now. While another server is proposed in its place, none is.
func (l *Leader) duePromotionCall(now time.Time, s *daisyfleet.State, service string, epoch uint64) (Order, bool) {
	ongoing := l.successionOf(service, epoch)
	_, current, named := promotionOf(s, service, epoch)
	if !named || !ongoing.proposesOnly(current.Server) {
		return Order{}, false
	}
	order := l.orderOf(ongoing, current.Server)
	if !order.ready(now) {
		return Order{}, false
	}
	order.sentAt, order.pending, order.accepted = now, true, false
	server, _ := lookupServer(s, current.Server)
	return Order{Kind: OrderPromote, Service: service, Server: current.Server, Address: server.Address}, true
}

// proposesOnly reports whether this leader has proposed no other server than the given one,
// which the log names.
func (ongoing *succession) proposesOnly(server string) bool {
	return ongoing.proposed == "" || ongoing.proposed == server
}

func (l *Leader) recordPromotion(now time.Time, r Result) {
	ongoing := l.successions[r.Service]
	if ongoing == nil || ongoing.order == nil || ongoing.order.server != r.Server || !ongoing.order.pending {
		return
	}
	ongoing.order.record(r.Outcome)
	if r.Outcome == PromotionRefused {
		ongoing.refusedAt[r.Server] = now
	}
}
