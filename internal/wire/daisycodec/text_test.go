package daisycodec_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261205"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against text that is encoded and then refused by the decoder: one such name
// stopped the control log, one such statement closed a link with all calls on it.
func TestAnyTextIsDecoded(t *testing.T) {
	tests := []struct {
		name  string
		check func(t *rapid.T, text string)
	}{
		{"Record", func(t *rapid.T, text string) {
			c := serverChange(text)
			want := daisycodec.Record{Replica: 3, Entries: []daisylog.Entry{{Index: 1, Term: 2, Change: &c}}}
			got, err := daisycodec.DecodeRecord(daisycodec.EncodeRecord(want))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, cmpAddr)
		}},
		{"LogMessage", func(t *rapid.T, text string) {
			c := serverChange(text)
			want := daisylog.Message{
				Kind: daisylog.KindAppend, From: 1, Term: 2, Peer: &daisylog.Peer{Name: text},
				Entries: []daisylog.Entry{{Index: 1, Term: 2, Change: &c}},
			}
			got, err := daisycodec.DecodeLogMessage(daisycodec.EncodeLogMessage(want))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, cmpAddr)
		}},
		{"HeartbeatReply", func(t *rapid.T, text string) {
			want := daisyheartbeat.Reply{Delta: &daisyfleet.Delta{To: 9, Objects: []daisyfleet.Object{
				{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: text}, Value: server(text)},
			}}}
			got, err := daisycodec.DecodeServerMessage(daisycodec.EncodeHeartbeatReply(want))
			assert.NilError(t, err)
			assert.DeepEqual(t, *got.Reply, want, cmpAddr)
		}},
		{"Call", func(t *rapid.T, text string) {
			now := time.Unix(1000, 0)
			want := daisycodec.Call{Action: daisycodec.ActionRun, Request: daisyrequest.Request{
				Service: text, Server: text, Workspace: text, SendDeadline: now, Deadline: now, Values: map[string]string{text: text},
				Statement: daisystatement.Statement{ID: text, Text: text, Name: text, Shape: text, Arguments: text},
			}}
			got, err := daisycodec.DecodeCall(daisycodec.EncodeCall(want, now), now)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}},
		{"CallReply", func(t *rapid.T, text string) {
			want := daisycodec.CallReply{Text: text, Answer: daisystatement.Answer{Rows: []string{text}, Signature: text}}
			got, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(want))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				test.check(t, string(rapid.SliceOf(rapid.Byte()).Draw(t, "text")))
			})
		})
	}
}

func server(text string) daisyfleet.Server {
	return daisyfleet.Server{Service: text, Address: addr, FailureDomain: text, Started: time.UnixMilli(7).UTC()}
}

func serverChange(text string) daisyfleet.Change {
	return daisyfleet.Change{Reason: text, Operations: []daisyfleet.Operation{
		{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: text}, Value: server(text)},
	}}
}
