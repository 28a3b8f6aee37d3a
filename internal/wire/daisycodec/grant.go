package daisycodec

import (
	"time"

	"github.com/daisyglade/daisyglade/internal/limit/daisybucket"
	"github.com/daisyglade/daisyglade/internal/limit/daisylimiter"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

// GrantRequest is a local bucket's report of tokens used and request for more
// from the bucket of a workspace.
type GrantRequest struct {
	ID        uint64
	Workspace string
	daisybucket.GrantRequest
}

// EncodeGrantRequest encodes a request for tokens.
func EncodeGrantRequest(r GrantRequest) []byte {
	return encode(daisywire.Frame{Grant: &daisywire.Grant{
		ID: r.ID, Workspace: r.Workspace, Host: r.Host, Want: r.Want, Used: r.Used, Returned: r.Returned,
	}})
}

// DecodeGrantRequest decodes a request for tokens.
func DecodeGrantRequest(b []byte) (r GrantRequest, err error) {
	f, err := decode(b)
	if err != nil {
		return r, err
	}
	w := f.Grant
	if w == nil {
		return r, ErrKind
	}
	if w.Want < 0 || w.Used < 0 || w.Returned < 0 {
		return r, errNegative
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
