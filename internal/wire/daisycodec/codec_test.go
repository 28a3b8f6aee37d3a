package daisycodec_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

var cmpAddr = cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})

var addr = netip.MustParseAddrPort("10.1.2.3:7401")

// values holds a value of each kind, all of whose fields are set, so that a
// field lost in encoding is noticed.
var values = []daisyfleet.Value{
	daisyfleet.Profile{Database: "d", ReadOnly: true, MaxAge: time.Second, Acknowledge: daisyfleet.AcknowledgePrimary, Cost: 2, Wait: time.Second, Objective: 0.9, Latency: time.Second, Session: daisyfleet.SessionConnection},
	daisyfleet.Workspace{Home: "d", Rate: 1.5, Burst: 3},
	daisyfleet.Key{Workspace: "w", Hash: [32]byte{1, 2}},
	daisyfleet.Database{Connections: 20, Members: 3},
	daisyfleet.Member{Database: "d", Address: addr, FailureDomain: "f", Leaving: true},
	daisyfleet.Host{Incarnation: 9, Address: addr, FailureDomain: "f", Region: "r", Up: true, Leaving: true},
	daisyfleet.Evacuation{Ordered: time.Unix(8, 0).UTC()},
	daisyfleet.Leadership{Epoch: 2, Server: "s", Term: 3, Previous: "p"},
	daisyfleet.Promotion{Epoch: 2, Server: "s"},
	daisyfleet.Server{Service: "s", Address: addr, FailureDomain: "f", Started: time.UnixMilli(7).UTC(), Leaving: true, Slots: 4, Cold: true},
	daisyfleet.Ownership{Term: 3, Holder: "h", Incarnation: 9, Primary: "m", Last: "l", Avoid: "a", Revoked: true},
}

func change() daisyfleet.Change {
	c := daisyfleet.Change{ID: "c", Reason: "r", At: time.Unix(7, 0).UTC()}
	for _, v := range values {
		c.Operations = append(c.Operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: v.Kind(), Name: "n"}, ExpectedRevision: 4, Value: v})
	}
	c.Operations = append(c.Operations, daisyfleet.Operation{ID: daisyfleet.ID{Kind: daisyfleet.KindKey, Name: "gone"}, ExpectedRevision: 5})
	return c
}

func snapshot() daisylog.Snapshot {
	snap := daisylog.Snapshot{Index: 9, Term: 2, Configuration: []daisylog.Peer{{Replica: 3, Name: "h", Address: addr, Voting: true}}}
	snap.State = daisyfleet.Snapshot{Revision: 9, CompactedRevision: 1, Outcomes: []daisyfleet.Outcome{{ID: "c", Accepted: true, Revision: 8, Message: "m"}}}
	snap.State.Events = []daisyfleet.Event{{Revision: 8, At: time.Unix(7, 0).UTC(), Reason: "r", Refused: "f"}}
	for _, v := range values {
		snap.State.Objects = append(snap.State.Objects, daisyfleet.Object{ID: daisyfleet.ID{Kind: v.Kind(), Name: "n"}, Revision: 7, Value: v})
	}
	return snap
}

func TestRequestRoundTrip(t *testing.T) {
	want := &daisystream.Request{
		ID: 1, Workspace: "w", Key: "k", Profile: "p", MinPosition: daisystream.Position{Term: 2, Offset: 3}, NewSession: true, ReadOnly: true, Name: "n",
		Wait: time.Second, Parts: []daisystream.Part{{Uses: "s", Defines: true, Bytes: []byte{1}}}, Statements: []daisystream.Statement{{Name: "s", Parse: []byte{2}}},
	}
	got, err := daisycodec.DecodeRequest(daisycodec.EncodeRequest(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestAnswerRoundTrip(t *testing.T) {
	want := &daisystream.Answer{
		ID: 1, Bytes: []byte{1}, Final: true, Status: daisystream.StatusOpen, MinPosition: daisystream.Position{Term: 2, Offset: 3}, Replica: true,
		Refusal: &daisystream.Refusal{Code: "c", Message: "m", RetryAfter: time.Second, Cause: daisystream.CauseLimit},
	}
	got, err := daisycodec.DecodeAnswer(daisycodec.EncodeAnswer(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	ownership := daisyheartbeat.OwnershipTerm{Database: "d", Term: 4}
	want := daisyheartbeat.Heartbeat{
		ID: 1, Host: "h", Incarnation: 2, Address: addr, FailureDomain: "f", Region: "r", Revision: 3, Leaving: true,
		Released: []daisyheartbeat.OwnershipTerm{ownership}, HigherTerms: []daisyheartbeat.OwnershipTerm{ownership}, Takeovers: []daisyheartbeat.TakeoverReport{{OwnershipTerm: ownership, Primary: "m", Note: "n"}},
		Observations:  []daisyheartbeat.Observation{{OwnershipTerm: ownership, Member: "m", Answers: true}},
		Announcements: []daisyheartbeat.Announcement{{Member: "m", Age: time.Second, Value: daisyfleet.Member{Database: "d", Address: addr, FailureDomain: "f", Leaving: true}}},
	}
	got, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, *got.Heartbeat, want, cmpAddr)
}

func TestHeartbeatReplyRoundTrip(t *testing.T) {
	snap := snapshot()
	want := daisyheartbeat.Reply{
		ID: 1, Lease: time.Second, Leader: addr, Delta: &daisyfleet.Delta{From: 1, To: 9, Objects: snap.State.Objects},
		Probes: []daisyheartbeat.Probe{{OwnershipTerm: daisyheartbeat.OwnershipTerm{Database: "d", Term: 4}, Member: "m", Address: addr}},
	}
	got, err := daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, *got.Reply, want, cmpAddr)
}

func TestLogMessageRoundTrip(t *testing.T) {
	c, snap := change(), snapshot()
	peer := snap.Configuration[0]
	want := daisylog.Message{
		Kind: daisylog.KindSnapshot, From: 1, Address: addr, To: 2, Term: 3, Index: 4, LogTerm: 5, Commit: 6, Reject: true, Round: 7, Snapshot: &snap, Peer: &peer,
		Entries: []daisylog.Entry{{Index: 1, Term: 2, Change: &c}, {Index: 2, Term: 2, Configuration: snap.Configuration}},
	}
	got, err := daisycodec.DecodeLogMessage(daisycodec.EncodeLogMessage(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, cmpAddr)
}

func TestRecordRoundTrip(t *testing.T) {
	c, snap := change(), snapshot()
	want := daisycodec.Record{Replica: 3, HardState: &daisylog.HardState{Term: 2, Vote: 1, Won: true}, Snapshot: &snap, Entries: []daisylog.Entry{{Index: 1, Term: 2, Change: &c}}}
	got, err := daisycodec.DecodeRecord(daisycodec.EncodeRecord(want))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, cmpAddr)
}

func TestDecodeRequestRejectsInvalidFrames(t *testing.T) {
	request := daisycodec.EncodeRequest(&daisystream.Request{ID: 1})
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"Empty", nil},
		{"OtherKind", daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Address: addr})},
		{"Trailing", append(request, 0)},
		{"Truncated", request[:len(request)-1]},
		{"UnknownField", []byte{0xa1, 0x63, 'F', 'o', 'o', 0x01}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := daisycodec.DecodeRequest(test.bytes)
			assert.Check(t, err != nil)
		})
	}
}

func FuzzDecode(f *testing.F) {
	c, snap := change(), snapshot()
	f.Add(daisycodec.EncodeRequest(&daisystream.Request{ID: 1, Parts: []daisystream.Part{{Bytes: []byte{1}}}}))
	f.Add(daisycodec.EncodeAnswer(&daisystream.Answer{ID: 1, Final: true, Status: 'I'}))
	f.Add(daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Address: addr}))
	f.Add(daisycodec.EncodeLogMessage(daisylog.Message{Kind: daisylog.KindAppend, Snapshot: &snap, Entries: []daisylog.Entry{{Index: 1, Change: &c}}}))
	f.Add(daisycodec.EncodeRecord(daisycodec.Record{Replica: 3, Snapshot: &snap}))
	f.Add(daisycodec.EncodeCall(daisycodec.Call{ID: 1}, time.Unix(1000, 0)))
	f.Add(daisycodec.EncodeCallReply(daisycodec.CallReply{ID: 1, RetryAfter: time.Second, Sample: daisycodec.Sample{Epoch: 1}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = daisycodec.DecodeRequest(b)
		_, _ = daisycodec.DecodeAnswer(b)
		_, _ = daisycodec.DecodeClientMessage(b)
		_, _ = daisycodec.DecodeServerMessage(b)
		_, _ = daisycodec.DecodeLogMessage(b)
		_, _ = daisycodec.DecodeRecord(b)
		_, _ = daisycodec.DecodeCall(b, time.Unix(1000, 0))
		_, _ = daisycodec.DecodeCallReply(b)
		_, _ = daisycodec.DecodeGrantRequest(b)
		_, _, _ = daisycodec.DecodeGrant(b)
	})
}
