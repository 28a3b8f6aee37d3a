package daisycodec_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

func drawText(t *rapid.T, label string) string {
	return string(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, label))
}

func drawPosition(t *rapid.T, label string) daisystatement.Position {
	return daisystatement.Position{Term: rapid.Uint64().Draw(t, label), Number: rapid.Uint64().Draw(t, label)}
}

// Guards against a part of a statement that is lost between hosts: it would run as another.
// A host sets session values and steps servers down itself, so that Value and Term stay.
func TestStatementIsDecodedAsSent(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		want := daisycodec.Call{
			ID: rapid.Uint64().Draw(t, "id"), PinnedConn: rapid.Uint64().Draw(t, "pinned"),
			Request: daisyrequest.Request{
				Service: drawText(t, "service"), Server: drawText(t, "server"), Workspace: drawText(t, "workspace"), Class: drawText(t, "class"),
				Weight: rapid.Float64Range(0, 1e9).Draw(t, "weight"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				SendDeadline: now.Add(time.Duration(rapid.Int32().Draw(t, "send"))), Deadline: now.Add(time.Duration(rapid.Int32().Draw(t, "deadline"))),
				Pin:       rapid.Bool().Draw(t, "pin"),
				Freshness: daisyrequest.Freshness{Epoch: rapid.Uint64().Draw(t, "epoch"), MaxAge: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "age"))},
				Statement: daisystatement.Statement{
					ID: drawText(t, "statement"), Kind: daisystatement.Kind(rapid.IntRange(0, int(daisystatement.KindStepDown)).Draw(t, "kind")),
					Text: drawText(t, "text"), ReadOnly: rapid.Bool().Draw(t, "readonly"), Name: drawText(t, "name"), Shape: drawText(t, "shape"),
					Arguments: drawText(t, "arguments"), MinPosition: drawPosition(t, "position"),
				},
			},
		}
		if values := rapid.MapOfN(rapid.StringN(0, 5, 5), rapid.StringN(0, 5, 5), 0, 3).Draw(t, "values"); len(values) > 0 {
			want.Request.Values = values
		}
		got, err := daisycodec.DecodeCall(daisycodec.EncodeCall(want, now), now)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// Guards against a part of an answer that is lost between hosts.
func TestAnswerOfServerIsDecodedAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := daisycodec.CallReply{ID: rapid.Uint64().Draw(t, "id"), PinnedConn: rapid.Uint64().Draw(t, "pinned")}
		want.Answer = daisystatement.Answer{
			Signature: drawText(t, "signature"), Position: drawPosition(t, "position"),
			State: daisystatement.State(rapid.IntRange(0, int(daisystatement.StateFailed)).Draw(t, "state")),
		}
		for range rapid.IntRange(0, 4).Draw(t, "rows") {
			want.Answer.Rows = append(want.Answer.Rows, drawText(t, "row"))
		}
		if code := rapid.IntRange(0, int(daisystatement.CodeDenied)).Draw(t, "code"); code > 0 {
			want.Answer.Failure = &daisystatement.Failure{Code: daisystatement.Code(code), Text: drawText(t, "failure")}
			want.Text = want.Answer.Failure.Text
		}
		got, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(want))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// Guards against a call that is answered as done though this host does not know what it
// asks for.
func TestUnknownCallsAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, action := range []daisycodec.Action{-1, daisycodec.ActionAbandon + 1, 99} {
		_, err := daisycodec.DecodeCall(daisycodec.EncodeCall(daisycodec.Call{ID: 1, Action: action}, now), now)
		assert.Check(t, err != nil, "action %d", action)
	}
	for _, kind := range []daisystatement.Kind{-1, daisystatement.KindStepDown + 1, 99} {
		call := daisycodec.Call{ID: 1, Request: daisyrequest.Request{Statement: daisystatement.Statement{Kind: kind, Text: "text"}}}
		_, err := daisycodec.DecodeCall(daisycodec.EncodeCall(call, now), now)
		assert.Check(t, err != nil, "kind %d", kind)
	}
	for _, state := range []daisystatement.State{-1, daisystatement.StateFailed + 1, 99} {
		_, err := daisycodec.DecodeCallReply(daisycodec.EncodeCallReply(daisycodec.CallReply{ID: 1, Answer: daisystatement.Answer{State: state}}))
		assert.Check(t, err != nil, "state %d", state)
	}
}
