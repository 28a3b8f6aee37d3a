package daisypromotion

import (
	"slices"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
)

// maxProbes is the number of probes that may be under way. A control host has some 4,000 file
// descriptors, most of which connections of servers use; probes of all 3,300 servers of a
// fleet of 300 hosts at once left none for its hosts and its log.
const maxProbes = 64

// Orders returns the orders to carry out now. Each counts as pending until its
// result is passed to RecordResult. Services whose servers could not be probed, because
// maxProbes were under way, come first the next time.
func (l *Leader) Orders(now time.Time, s *daisyfleet.State) []Order {
	var orders []Order
	services := l.services(s)
	first, _ := slices.BinarySearch(services, l.firstProbed)
	l.firstProbed = ""
	for _, service := range slices.Concat(services[first:], services[:first]) {
		o, ok := s.Get(daisyfleet.ID{Kind: daisyfleet.KindLeadership, Name: service})
		leadership, _ := o.Value.(daisyfleet.Leadership)
		switch {
		case !ok:
			orders = append(orders, l.probeAll(now, s, service)...)
		case leadership.Server != "":
			orders = append(orders, l.supervise(now, s, service, leadership)...)
		default:
			orders = append(orders, l.continueSuccession(now, s, service, leadership)...)
		}
	}
	return orders
}

// probeAll orders probes of all servers of the service.
func (l *Leader) probeAll(now time.Time, s *daisyfleet.State, service string) []Order {
	var orders []Order
	for _, m := range members(s, service) {
		orders = append(orders, l.probe(now, m)...)
	}
	return orders
}

// resetProbes makes the next call of Orders probe every server of the service,
// even one that was probed less than probeInterval ago.
func (l *Leader) resetProbes(s *daisyfleet.State, service string) {
	for _, m := range members(s, service) {
		if p := l.probes[m.name]; p != nil {
			p.issuedAt, p.pending = time.Time{}, false
		}
	}
}

// probe orders a probe of the server, unless one is pending or was ordered less
// than probeInterval ago, or maxProbes are under way.
func (l *Leader) probe(now time.Time, m member) []Order {
	p := l.probes[m.name]
	if p == nil {
		p = &probeState{}
		l.probes[m.name] = p
	}
	if p.pending || now.Sub(p.issuedAt) < probeInterval {
		return nil
	}
	if l.probing >= maxProbes {
		if l.firstProbed == "" {
			l.firstProbed = m.server.Service
		}
		return nil
	}
	l.probing++
	p.pending, p.issuedAt = true, now
	return []Order{{Kind: OrderProbe, Service: m.server.Service, Server: m.name, Address: m.server.Address, Issued: now}}
}

// supervise probes the primary if hosts report it unreachable or it has stopped
// announcing itself, and tells other servers that believe they are the primary in
// an earlier term to step down. It probes all servers if the primary is evacuated, to
// learn which of them may take over, and if another has to catch up with it first.
// Otherwise it orders nothing.
func (l *Leader) supervise(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) []Order {
	var orders []Order
	server, ok := lookupServer(s, leadership.Server)
	if handsOver := server.Leaving && l.syncReplicas[service] > 0; ok && (handsOver || s.Evacuated(server.FailureDomain)) {
		orders = l.probeAll(now, s, service)
	}
	orders = append(orders, l.probeForCoverage(now, s, service)...)
	l.updateMark(now, service, leadership)
	l.updateCoverage(now, s, service, leadership)
	unreachable, _ := l.countUnreachable(now, s, service, leadership)
	for _, m := range members(s, service) {
		known := l.servers[m.name]
		switch {
		case m.name == leadership.Server:
			if unreachable > 0 || l.announcementsMissed(now, m.name) {
				orders = append(orders, l.probe(now, m)...)
			}
		case known != nil && known.Role == RolePrimary && !l.announcementsMissed(now, m.name):
			orders = append(orders, l.probe(now, m)...)
			if status, ok := l.statusOf(now, m.name); ok && status.Role == RolePrimary && status.Term < leadership.Term {
				orders = append(orders, Order{Kind: OrderStepDown, Service: service, Server: m.name, Address: m.server.Address, Term: leadership.Term})
				l.probes[m.name].answeredProbeAt = time.Time{} // Requires a new probe before the order is repeated.
			}
		}
	}
	return orders
}

// continueSuccession orders the next steps of a succession: probes of all
// servers and, once the old state is recalled and the log names a server, its promotion.
func (l *Leader) continueSuccession(now time.Time, s *daisyfleet.State, service string, leadership daisyfleet.Leadership) []Order {
	orders := l.probeAll(now, s, service)
	if !l.oldStateRecalled(now, s, service, leadership) {
		return orders
	}
	if o, ok := l.duePromotionCall(now, s, service, leadership.Epoch); ok {
		orders = append(orders, o)
	}
	return orders
}

// RecordResult records the result of an order.
func (l *Leader) RecordResult(now time.Time, r Result) {
	switch r.Kind {
	case OrderProbe:
		l.recordProbe(r)
	case OrderPromote:
		l.recordPromotion(now, r)
	case OrderStepDown:
	}
}

func (l *Leader) recordProbe(r Result) {
	l.probing--
	p := l.probes[r.Server]
	if p == nil {
		return
	}
	if r.Issued.Equal(p.issuedAt) {
		p.pending = false
	}
	switch {
	case r.Status != nil && r.Issued.Before(p.answeredProbeAt):
		// A later probe has already been answered.
	case r.Status != nil:
		p.failures, p.status, p.answeredProbeAt = 0, *r.Status, r.Issued
	case r.Reached:
		p.failures = 0
	default:
		p.failures++
	}
}
