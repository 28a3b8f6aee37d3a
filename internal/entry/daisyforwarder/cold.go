package daisyforwarder

import (
	"errors"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// addCold adds to the reply what this host's gateway has left of the budget of a cold
// server.
func (s *peer) addCold(r *daisycodec.CallReply, server string, err error) {
	if s.conn.Protocol() < daisylink.ProtocolLoad || server == "" {
		return
	}
	r.Cold.BudgetLeft, r.Cold.Limited = s.gateway.Cold(server)
	r.OverBudget = errors.Is(err, daisyrequest.ErrOverBudget)
}

// reportLocalCold passes on what this host's gateway has left.
func (f *Forwarder) reportLocalCold(server string) {
	if f.OnCold != nil {
		left, cold := f.options.Local.Cold(server)
		f.OnCold(server, left, cold)
	}
}

// reportCold passes on what the reply of another host tells. A call without a reply
// tells nothing.
func (f *Forwarder) reportCold(server string, r daisycodec.CallReply, err error) {
	if f.OnCold != nil && (err == nil || r.Fault != daisycodec.FaultNone) {
		f.OnCold(server, r.Cold.BudgetLeft, r.Cold.Limited)
	}
}
