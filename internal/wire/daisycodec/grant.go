package daisycodec

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// GrantRequest is a purse's report and request for the bucket of a workspace.
type GrantRequest struct {
	ID        uint64
	Workspace string
	daisybucket.GrantRequest
}

// EncodeGrantRequest encodes a request for tokens.
func EncodeGrantRequest(a GrantRequest) []byte {
	return encode(daisywire.Frame{Grant: &daisywire.Grant{
		ID: a.ID, Workspace: a.Workspace, Host: a.Host, Want: a.Want, Used: a.Used, Returned: a.Returned,
	}})
}

// DecodeGrantRequest decodes a request for tokens.
func DecodeGrantRequest(b []byte) (a GrantRequest, err error) {
	f, err := decode(b)
	if err != nil {
		return a, err
	}
	w := f.Grant
	if w == nil {
		return a, ErrKind
	}
	if w.Want < 0 || w.Used < 0 || w.Returned < 0 {
		return a, errNegative
	}
	return GrantRequest{ID: w.ID, Workspace: w.Workspace, GrantRequest: daisybucket.GrantRequest{Host: w.Host, Want: w.Want, Used: w.Used, Returned: w.Returned}}, nil
}

// EncodeGrant encodes the answer to a request for tokens.
func EncodeGrant(id uint64, a daisylimiter.GrantReply) []byte {
	return encode(daisywire.Frame{Grant: &daisywire.Grant{ID: id, Tokens: a.Tokens, RetryAfter: int64(a.RetryAfter), Owner: a.Owner}})
}

// DecodeGrant decodes the answer to a request for tokens.
func DecodeGrant(b []byte) (id uint64, a daisylimiter.GrantReply, err error) {
	f, err := decode(b)
	if err != nil {
		return 0, a, err
	}
	w := f.Grant
	if w == nil {
		return 0, a, ErrKind
	}
	if w.Tokens < 0 {
		return 0, a, errNegative
	}
	return w.ID, daisylimiter.GrantReply{Tokens: w.Tokens, RetryAfter: time.Duration(w.RetryAfter), Owner: w.Owner}, nil
}
