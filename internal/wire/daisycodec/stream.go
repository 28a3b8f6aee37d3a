package daisycodec

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// EncodeRequest encodes a request that is sent on a stream.
func EncodeRequest(r *daisystream.Request) []byte {
	w := &daisywire.Request{
		ID:        r.ID,
		Workspace: r.Workspace,
		Key:       r.Key,
		Profile:   r.Profile,
		Floor:     fromPosition(r.MinPosition),
		Arriving:  r.NewSession,
		ReadOnly:  r.ReadOnly,
		Name:      r.Name,
		Wait:      int64(r.Wait),
	}
	for _, p := range r.Parts {
		w.Parts = append(w.Parts, daisywire.Part{Uses: p.Uses, Defines: p.Defines, Bytes: p.Bytes})
	}
	for _, s := range r.Statements {
		w.Statements = append(w.Statements, daisywire.Statement(s))
	}
	return encode(daisywire.Frame{Request: w})
}

// DecodeRequest decodes a request that was received on a stream.
func DecodeRequest(b []byte) (*daisystream.Request, error) {
	f, err := decode(b)
	if err != nil {
		return nil, err
	}
	w := f.Request
	if w == nil {
		return nil, ErrKind
	}
	r := &daisystream.Request{
		ID:          w.ID,
		Workspace:   w.Workspace,
		Key:         w.Key,
		Profile:     w.Profile,
		MinPosition: toPosition(w.Floor),
		NewSession:  w.Arriving,
		ReadOnly:    w.ReadOnly,
		Name:        w.Name,
		Wait:        time.Duration(w.Wait),
	}
	for _, p := range w.Parts {
		r.Parts = append(r.Parts, daisystream.Part{Uses: p.Uses, Defines: p.Defines, Bytes: p.Bytes})
	}
	for _, s := range w.Statements {
		r.Statements = append(r.Statements, daisystream.Statement(s))
	}
	return r, nil
}

// EncodeAnswer encodes a part of an answer that is sent on a stream.
func EncodeAnswer(a *daisystream.Answer) []byte {
	w := &daisywire.Answer{ID: a.ID, Bytes: a.Bytes, Final: a.Final, Replica: a.Replica}
	if a.Final {
		w.Status = string(rune(a.Status))
		w.Floor = fromPosition(a.MinPosition)
	}
	if r := a.Refusal; r != nil {
		w.Refusal = &daisywire.Refusal{Code: r.Code, Message: r.Message, RetryAfter: int64(r.RetryAfter), Cause: string(r.Cause)}
	}
	return encode(daisywire.Frame{Answer: w})
}

// DecodeAnswer decodes a part of an answer that was received on a stream.
func DecodeAnswer(b []byte) (*daisystream.Answer, error) {
	f, err := decode(b)
	if err != nil {
		return nil, err
	}
	w := f.Answer
	if w == nil {
		return nil, ErrKind
	}
	a := &daisystream.Answer{ID: w.ID, Bytes: w.Bytes, Final: w.Final, Replica: w.Replica, MinPosition: toPosition(w.Floor)}
	if w.Final {
		if a.Status, err = toStatus(w.Status); err != nil {
			return nil, err
		}
	}
	if r := w.Refusal; r != nil {
		a.Refusal = &daisystream.Refusal{Code: r.Code, Message: r.Message, RetryAfter: time.Duration(r.RetryAfter), Cause: daisystream.Cause(r.Cause)}
	}
	return a, nil
}

func toStatus(s string) (daisystream.Status, error) {
	switch s {
	case "I", "T", "E":
		return daisystream.Status(s[0]), nil
	}
	return 0, unknown("transaction status", s)
}

func fromPosition(p daisystream.Position) *daisywire.Position {
	if p.IsZero() {
		return nil
	}
	return &daisywire.Position{Term: p.Term, Offset: p.Offset}
}

func toPosition(w *daisywire.Position) daisystream.Position {
	if w == nil {
		return daisystream.Position{}
	}
	return daisystream.Position{Term: w.Term, Offset: w.Offset}
}
