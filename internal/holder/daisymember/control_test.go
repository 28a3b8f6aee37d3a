package daisymember_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisymember"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/standin/daisystandin"
)

// openMember starts a stand-in member and returns a backend to it, and its address.
func openMember(t *testing.T) (*daisystandin.Member, daisymember.Backend, netip.AddrPort) {
	credentials := daisystandin.Credentials{User: "daisyglade", Password: "secret"}
	g, err := daisystandin.Open(daisynet.TCP{}, 1, 10, credentials)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, g.Close()) })
	m := g.Members()[0]
	return m, daisymember.Backend{
		Network:     daisynet.TCP{},
		Credentials: daisymember.Credentials{User: credentials.User, Password: credentials.Password, Database: "baskets1"},
	}, g.Address(m)
}

// TestSecondAnswerIsNotThatOfTheNextCall guards against a fence or a promotion that is
// taken as done because the member sent the answer to an earlier call again.
func TestSecondAnswerIsNotThatOfTheNextCall(t *testing.T) {
	m, backend, addr := openMember(t)
	assert.NilError(t, m.RaiseTerm(9))
	m.RepeatAnswers(func() (time.Duration, bool) { return 0, true })
	c := backend.Control(addr, 9)
	defer c.Close()
	s, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, s.Term, uint64(9))
	_, err = c.Fence(t.Context(), 5)
	assert.Check(t, err != nil, "a member at term 9 is fenced in term 5")
	s, err = c.Promote(t.Context(), 9)
	assert.NilError(t, err)
	assert.Check(t, s.Primary, "a promoted member is not primary")
	assert.Equal(t, s.Received, daisystream.Position{Term: 9, Offset: 1})
	s, err = c.Status(t.Context())
	assert.NilError(t, err)
	assert.Check(t, s.Primary, "the status of a primary is that before its promotion")
}
