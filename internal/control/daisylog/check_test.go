package daisylog_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// Guards against a message that no replica sends: it made a replica end, overflow its
// term or save a log with a gap.
func TestMessagesOfNoReplicaAreRefused(t *testing.T) {
	peer := daisylog.Peer{Replica: 3, Name: "c3", Address: netip.MustParseAddrPort("10.1.2.3:7401")}
	changed := func(f func(*daisylog.Peer)) *daisylog.Peer {
		p := peer
		f(&p)
		return &p
	}
	appended := func(entries ...daisylog.Entry) daisylog.Message {
		return daisylog.Message{Kind: daisylog.KindAppend, From: 1, Term: 4, Index: 7, LogTerm: 2, Entries: entries}
	}
	tests := []struct {
		name    string
		message daisylog.Message
		ok      bool
	}{
		{"Append", appended(daisylog.Entry{Index: 8, Term: 2}, daisylog.Entry{Index: 9, Term: 4}), true},
		{"Gap", appended(daisylog.Entry{Index: 9, Term: 2}), false},
		{"Twice", appended(daisylog.Entry{Index: 8, Term: 2}, daisylog.Entry{Index: 8, Term: 2}), false},
		{"Before", appended(daisylog.Entry{Index: 1, Term: 2}), false},
		{"EarlierTerm", appended(daisylog.Entry{Index: 8, Term: 1}), false},
		{"LaterTerm", appended(daisylog.Entry{Index: 8, Term: 5}), false},
		{"SeatTwice", appended(daisylog.Entry{Index: 8, Term: 2, Configuration: []daisylog.Peer{peer, peer}}), false},
		{"NoSender", daisylog.Message{Kind: daisylog.KindVote, Term: 4}, false},
		{"TermLargest", daisylog.Message{Kind: daisylog.KindVote, From: 1, Term: math.MaxUint64}, false},
		{"IndexLargest", daisylog.Message{Kind: daisylog.KindAppendReply, From: 1, Index: math.MaxUint64}, false},
		{"CommitLargest", daisylog.Message{Kind: daisylog.KindAppend, From: 1, Commit: math.MaxUint64}, false},
		{"Image", daisylog.Message{Kind: daisylog.KindSnapshot, From: 1, Term: 4, Snapshot: &daisylog.Snapshot{Index: 7, Term: 4, Configuration: []daisylog.Peer{peer}}}, true},
		{"NoImage", daisylog.Message{Kind: daisylog.KindSnapshot, From: 1, Term: 4}, false},
		{"ImageOfLaterTerm", daisylog.Message{Kind: daisylog.KindSnapshot, From: 1, Term: 4, Snapshot: &daisylog.Snapshot{Index: 7, Term: 5}}, false},
		{"ImageIndexLargest", daisylog.Message{Kind: daisylog.KindSnapshot, From: 1, Term: 4, Snapshot: &daisylog.Snapshot{Index: math.MaxUint64}}, false},
		{"Join", daisylog.Join(peer), true},
		{"JoinOfNone", daisylog.Message{Kind: daisylog.KindJoin, From: 3}, false},
		{"JoinOfAnother", daisylog.Message{Kind: daisylog.KindJoin, From: 2, Peer: &peer}, false},
		{"JoinOfZero", daisylog.Join(*changed(func(p *daisylog.Peer) { p.Replica = 0 })), false},
		{"JoinWithoutAddress", daisylog.Join(*changed(func(p *daisylog.Peer) { p.Address = netip.AddrPort{} })), false},
		{"JoinWithLongName", daisylog.Join(*changed(func(p *daisylog.Peer) { p.Name = strings.Repeat("c", 1<<20) })), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.message.Check() == nil, test.ok) })
	}
}
