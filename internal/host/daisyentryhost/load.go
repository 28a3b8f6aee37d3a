package daisyentryhost

import (
	"time"

	"github.com/apex/log"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/entry/daisyforwarder"
	"github.com/daisyglade/daisyglade/internal/holder/daisygateway"
	"github.com/daisyglade/daisyglade/internal/limit/daisyadmission"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/session/daisybalance"
	"github.com/daisyglade/daisyglade/internal/session/daisyrouter"
)

// loadLogInterval is the interval at which a host that serves statements logs its
// load.
const loadLogInterval = time.Second

// Load is what a host has done since it started.
type Load struct {
	Forwarder daisyforwarder.Counts
	Gateway   daisygateway.Counts
	Dials     uint64 // Connections to backend servers that the host tried to open.
	Refused   uint64 // Of these, refused since the server had too many connections.
	Answers   daisypool.Answers
	Checks    uint64 // Checks whether a primary can be reached.
	Unsampled uint64 // Reads for which this host had no recent sample of the primary's position.
	Refusals  daisyadmission.Refusals
	Controls  uint64 // Links to control hosts that the host tried to open.
	NotAtHome uint64 // Refusals for want of a place in the home regions.
	Reserve   uint64 // Tokens in reserve that operations used.
	HeldOff   uint64 // Statements refused here, since a gateway had just refused one like them.
	Chosen    daisyrouter.Chosen
	Traffic   daisytraffic.Totals // Bytes sent, and those received from control hosts.
}

// Load returns the totals so far.
func (h *EntryHost) Load() Load {
	return Load{
		Forwarder: h.forwarder.Counts(), Gateway: h.gateway.Counts(), Dials: h.pool.Dials(), Refused: h.pool.DialsRefused(), Answers: h.pool.Answers(),
		Checks: h.router.Checks(), Unsampled: h.router.Unsampled(), HeldOff: h.router.HeldOffTotal(), NotAtHome: h.router.NotAtHome(),
		Refusals: h.admission.Refusals(), Reserve: h.admission.ReserveUsed(), Controls: h.lease.Dials(), Chosen: h.router.Chosen(), Traffic: h.traffic.Totals(),
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
		if now.worked(before) {
			h.options.Log.WithFields(now.fieldsSince(before)).Info("front: load")
		}
		before = now
	}
}

// worked reports whether the host did more than send heartbeats since the earlier totals.
func (l Load) worked(before Load) bool {
	l.Traffic, before.Traffic = daisytraffic.Totals{}, daisytraffic.Totals{}
	return l != before
}

// fieldsSince returns the differences to earlier totals as log fields.
func (l Load) fieldsSince(before Load) log.Fields {
	return log.Fields{
		"Calls":        l.Forwarder.Calls - before.Forwarder.Calls,
		"TimedOut":     l.Forwarder.TimedOut - before.Forwarder.TimedOut,
		"LateReplies":  l.Forwarder.LateReplies - before.Forwarder.LateReplies,
		"LinksFailed":  l.Forwarder.LinksFailed - before.Forwarder.LinksFailed,
		"LinksLost":    l.Forwarder.LinksLost - before.Forwarder.LinksLost,
		"Requests":     l.Gateway.Requests - before.Gateway.Requests,
		"Overloaded":   l.Gateway.Overloaded - before.Gateway.Overloaded,
		"NotSent":      l.Gateway.NotSent - before.Gateway.NotSent,
		"Evacuated":    l.Gateway.Evacuated - before.Gateway.Evacuated,
		"Dials":        l.Dials - before.Dials,
		"DialsRefused": l.Refused - before.Refused,
		"Foreign":      l.Answers.Foreign - before.Answers.Foreign,
		"Uncertain":    l.Answers.Uncertain - before.Answers.Uncertain,
		"Unread":       l.Answers.Unread - before.Answers.Unread,
		"Checks":       l.Checks - before.Checks,
		"Unsampled":    l.Unsampled - before.Unsampled,
		"OverBudget":   l.Gateway.OverBudget - before.Gateway.OverBudget,
		"NotAtHome":    l.NotAtHome - before.NotAtHome,
		"HeldOff":      l.HeldOff - before.HeldOff,
		"Controls":     l.Controls - before.Controls,
		"OverRate":     l.Refusals.OverRate - before.Refusals.OverRate,
		"Unanswered":   l.Refusals.Unanswered - before.Refusals.Unanswered,
		"SameDomain":   l.Chosen[daisybalance.SameDomain] - before.Chosen[daisybalance.SameDomain],
		"SameRegion":   l.Chosen[daisybalance.SameRegion] - before.Chosen[daisybalance.SameRegion],
		"OtherRegion":  l.Chosen[daisybalance.OtherRegion] - before.Chosen[daisybalance.OtherRegion],
		"BytesDomain":  l.Traffic.Across(daisytraffic.BoundaryDomain) - before.Traffic.Across(daisytraffic.BoundaryDomain),
		"BytesRegion":  l.Traffic.Across(daisytraffic.BoundaryRegion) - before.Traffic.Across(daisytraffic.BoundaryRegion),
		"LostControl":  l.Refusals.LostControl - before.Refusals.LostControl,
		"ReserveUsed":  l.Reserve - before.Reserve,
	}
}
