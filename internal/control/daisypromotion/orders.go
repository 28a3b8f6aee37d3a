package daisypromotion

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/control/daisyfleet"
)

// Orders returns what is to be done now and counts it as under way until
// Reported is called.
func (l *Leader) Orders(now time.Time, s *daisyfleet.State) []Order {
	var orders []Order
	for _, service := range l.services(s) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
		p, _ := o.Value.(daisyfleet.Leadership)
		switch {
		case !ok:
			orders = append(orders, l.probeAll(now, s, service)...)
		case p.Server != "":
			orders = append(orders, l.watch(now, s, service, p)...)
		default:
			orders = append(orders, l.succeed(now, s, service, p)...)
		}
	}
	return orders
}

// probeAll probes every server of the service.
func (l *Leader) probeAll(now time.Time, s *daisyfleet.State, service string) []Order {
	var orders []Order
	for _, m := range members(s, service) {
		orders = append(orders, l.probe(now, m)...)
	}
	return orders
}

// probeAnew has every server of the service probed at once, although it may have
// been probed lately.
func (l *Leader) probeAnew(s *daisyfleet.State, service string) {
	for _, m := range members(s, service) {
		if p := l.probes[m.name]; p != nil {
			p.ordered, p.pending = time.Time{}, false
		}
	}
}

// probe orders the probe of a server unless one is under way or was lately.
func (l *Leader) probe(now time.Time, m member) []Order {
	p := l.probes[m.name]
	if p == nil {
		p = &probe{}
		l.probes[m.name] = p
	}
	if p.pending || now.Sub(p.ordered) < probeInterval {
		return nil
	}
	p.pending, p.ordered = true, now
	return []Order{{Kind: OrderProbe, Service: m.server.Service, Server: m.name, Address: m.server.Address, Issued: now}}
}

// watch probes a primary that is in doubt and servers that wrongly believe that
// they lead. A service without either costs nothing.
func (l *Leader) watch(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) []Order {
	var orders []Order
	silent, _ := l.missing(now, s, service, p)
	for _, m := range members(s, service) {
		k := l.servers[m.name]
		switch {
		case m.name == p.Server:
			if silent > 0 || l.quiet(now, m.name) {
				orders = append(orders, l.probe(now, m)...)
			}
		case k != nil && k.Role == RolePrimary && !l.quiet(now, m.name):
			orders = append(orders, l.probe(now, m)...)
			if status, ok := l.statusOf(now, m.name); ok && status.Role == RolePrimary && status.Term < p.Term {
				orders = append(orders, Order{Kind: OrderStepDown, Service: service, Server: m.name, Address: m.server.Address, Term: p.Term})
				l.probes[m.name].answered = time.Time{} // Probed again before the next order.
			}
		}
	}
	return orders
}

// succeed carries a succession on.
func (l *Leader) succeed(now time.Time, s *daisyfleet.State, service string, p daisyfleet.Leadership) []Order {
	orders := l.probeAll(now, s, service)
	u := l.progress(service, p.Epoch)
	if !l.recalled(now, s, service, p) || u.pending {
		return orders
	}
	if u.taken && now.Sub(u.ordered) < confirmLimit {
		return orders
	}
	if !u.ordered.IsZero() && now.Sub(u.ordered) < retryUnknown {
		return orders
	}
	m, ok := l.candidate(now, s, service, p, u)
	if !ok {
		return orders
	}
	u.candidate, u.ordered, u.pending, u.taken = m.name, now, true, false
	return append(orders, Order{Kind: OrderPromote, Service: service, Server: m.name, Address: m.server.Address})
}

// RecordResult notes what became of an order.
func (l *Leader) RecordResult(now time.Time, r Result) {
	switch r.Kind {
	case OrderProbe:
		l.probed(r)
	case OrderPromote:
		l.promoted(now, r)
	case OrderStepDown:
	}
}

func (l *Leader) probed(r Result) {
	p := l.probes[r.Server]
	if p == nil {
		return
	}
	if r.Issued.Equal(p.ordered) {
		p.pending = false
	}
	switch {
	case r.Status != nil && r.Issued.Before(p.answered):
		// A later probe was answered before.
	case r.Status != nil:
		p.failures, p.status, p.answered = 0, *r.Status, r.Issued
	case r.Reached:
		p.failures = 0
	default:
		p.failures++
	}
}

func (l *Leader) promoted(now time.Time, r Result) {
	u := l.successions[r.Service]
	if u == nil || u.candidate != r.Server || !u.pending {
		return
	}
	u.pending = false
	switch r.Outcome {
	case PromotionAccepted:
		u.taken = true
	case PromotionRefused:
		u.avoid[r.Server] = now
	case PromotionUnknown:
	}
}
