package daisyentryhost

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
)

// loadLogInterval is the interval at which a host that serves statements logs its
// load.
const loadLogInterval = time.Second

// Load is what a host has done since it started.
type Load struct {
	Forwarder daisyforwarder.Counts
	Gateway   daisygateway.Counts
	Dials     uint64 // Connections to backend servers that the host tried to open.
	Checks    uint64 // Checks whether a primary can be reached.
	Unsampled uint64 // Reads for which this host had no recent sample of the primary's position.
	Refusals  daisyadmission.Refusals
	Reserve   uint64 // Tokens in reserve that operations used.
	HeldOff   uint64 // Statements refused here, since a gateway had just refused one like them.
}

// Load returns the totals so far.
func (h *EntryHost) Load() Load {
	return Load{
		Forwarder: h.forwarder.Counts(), Gateway: h.gateway.Counts(), Dials: h.pool.Dials(),
		Checks: h.router.Checks(), Unsampled: h.router.Unsampled(), HeldOff: h.router.HeldOffTotal(),
		Refusals: h.admission.Refusals(), Reserve: h.admission.ReserveUsed(),
	}
}

// logLoad logs the load of each interval in which the host called a gateway or was
// called as one, until the host is closed.
func (h *EntryHost) logLoad() {
	ticker := time.NewTicker(loadLogInterval)
	defer ticker.Stop()
	before := h.Load()
	for {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
		now := h.Load()
		if now != before {
			h.options.Log.WithFields(now.fieldsSince(before)).Info("front: load")
		}
		before = now
	}
}

// fieldsSince returns the differences to earlier totals as log fields.
func (l Load) fieldsSince(before Load) log.Fields {
	return log.Fields{
		"Calls":       l.Forwarder.Calls - before.Forwarder.Calls,
		"TimedOut":    l.Forwarder.TimedOut - before.Forwarder.TimedOut,
		"LateReplies": l.Forwarder.LateReplies - before.Forwarder.LateReplies,
		"LinksFailed": l.Forwarder.LinksFailed - before.Forwarder.LinksFailed,
		"LinksLost":   l.Forwarder.LinksLost - before.Forwarder.LinksLost,
		"Requests":    l.Gateway.Requests - before.Gateway.Requests,
		"Overloaded":  l.Gateway.Overloaded - before.Gateway.Overloaded,
		"NotSent":     l.Gateway.NotSent - before.Gateway.NotSent,
		"Dials":       l.Dials - before.Dials,
		"Checks":      l.Checks - before.Checks,
		"Unsampled":   l.Unsampled - before.Unsampled,
		"HeldOff":     l.HeldOff - before.HeldOff,
		"OverRate":    l.Refusals.OverRate - before.Refusals.OverRate,
		"Unanswered":  l.Refusals.Unanswered - before.Refusals.Unanswered,
		"LostControl": l.Refusals.LostControl - before.Refusals.LostControl,
		"ReserveUsed": l.Reserve - before.Reserve,
	}
}
