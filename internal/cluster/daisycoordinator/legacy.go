package daisycoordinator

import (
	"slices"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// legacyDelta returns the delta without the objects and fields that hosts of a protocol
// before daisylink.ProtocolLoad do not know. Their decoders refuse whole messages that
// have one.
func legacyDelta(d daisyfleet.Delta) daisyfleet.Delta {
	d.Objects = slices.DeleteFunc(slices.Clone(d.Objects), func(o daisyfleet.Object) bool { return o.Kind == daisyfleet.KindEvacuation })
	for i, o := range d.Objects {
		if v, ok := o.Value.(daisyfleet.Server); ok {
			v.Cold = false
			d.Objects[i].Value = v
		}
	}
	return d
}

// legacyMessages is like deltaMessages for a host of an earlier protocol. Its messages
// are encoded for that host alone.
func (c *Coordinator) legacyMessages(from uint64) (messages [][]byte, to uint64) {
	var delta daisyfleet.Delta
	c.view.Read(func(s *daisyfleet.State) {
		if to = s.Revision(); from < to {
			delta = legacyDelta(s.Delta(from))
		}
	})
	if from >= to {
		return nil, to
	}
	return [][]byte{daisycodec.EncodeHeartbeatReply(daisyheartbeat.Reply{Delta: &delta})}, to
}
