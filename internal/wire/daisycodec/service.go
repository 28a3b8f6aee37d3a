package daisycodec

import (
	"errors"
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// fromServiceValue is fromValue for the kinds of objects in a fleet whose
// desired state is one document.
func fromServiceValue(v daisyfleet.Value, w *daisywire.Object) {
	switch v := v.(type) {
	case daisyfleet.Document:
		w.Document = &daisywire.Document{Version: v.Version, Content: []byte(v.Content)}
	case daisyfleet.Server:
		w.Server = &daisywire.Server{
			Service: v.Service, Address: v.Address.String(), FailureDomain: v.FailureDomain,
			Born: v.Started.UnixMilli(), Leaving: v.Leaving, Slots: int64(v.Slots), Cold: v.Cold,
		}
	case daisyfleet.Leadership:
		w.Primacy = &daisywire.Primacy{Round: v.Epoch, Server: v.Server, Term: v.Term, Previous: v.Previous}
	case daisyfleet.Promotion:
		w.Promotion = &daisywire.Promotion{Round: v.Epoch, Server: v.Server}
	case daisyfleet.Evacuation:
		w.Evacuation = &daisywire.Evacuation{At: fromTime(v.Ordered)}
	}
}

func toServiceValue(w *daisywire.Object) (daisyfleet.Value, error) {
	switch daisyfleet.Kind(w.Kind) {
	case daisyfleet.KindDocument:
		if d := w.Document; d != nil {
			return daisyfleet.Document{Version: d.Version, Content: string(d.Content)}, nil
		}
	case daisyfleet.KindServer:
		return toServer(w.Server)
	case daisyfleet.KindLeadership:
		if p := w.Primacy; p != nil {
			return daisyfleet.Leadership{Epoch: p.Round, Server: p.Server, Term: p.Term, Previous: p.Previous}, nil
		}
	case daisyfleet.KindPromotion:
		if p := w.Promotion; p != nil {
			return daisyfleet.Promotion{Epoch: p.Round, Server: p.Server}, nil
		}
	case daisyfleet.KindEvacuation:
		if e := w.Evacuation; e != nil {
			return daisyfleet.Evacuation{Ordered: toTime(e.At)}, nil
		}
	default:
		return nil, unknown("object kind", w.Kind)
	}
	return nil, errors.New(w.Kind + " object has no value")
}

func toServer(w *daisywire.Server) (daisyfleet.Value, error) {
	if w == nil {
		return nil, errors.New("Server object has no value")
	}
	addr, err := netip.ParseAddrPort(w.Address)
	return daisyfleet.Server{
		Service: w.Service, Address: addr, FailureDomain: w.FailureDomain,
		Started: time.UnixMilli(w.Born).UTC(), Leaving: w.Leaving, Slots: int(w.Slots), Cold: w.Cold,
	}, err
}
