package daisypool

import (
	"maps"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Use is what a connection is acquired for. It decides which earlier answers the
// connection may have received, so that the next ones can be told from them.
type Use struct {
	Kind UseKind
	// Values are the session values that the statement runs with. On a connection with
	// others they are set; the answer to a BEGIN after that shows that the server has
	// accepted them all.
	Values map[string]string
}

// UseKind classifies the statements for which a connection is acquired.
type UseKind int

const (
	// UseRead is for a read. It may end without an answer, since another server can run it.
	UseRead UseKind = iota
	// UseWrite is for a write. Its failure must not be taken for that of an earlier
	// statement: the client is told that nothing is kept.
	UseWrite
	// UseTransaction is for a transaction. The answer to its BEGIN must not be taken for an
	// earlier one either: the next statements would run outside a transaction.
	UseTransaction
	// UseStatus is for a request for the status.
	UseStatus
)

// fits reports whether the answers that the use needs can be told from the earlier ones of
// the connection. Its server's log has reached the position.
func (c *Conn) fits(u Use, p daisystatement.Position) bool {
	h := &c.history
	begins := h.tellsBegin(p)
	aligned := begins || maps.Equal(c.values, u.Values)
	switch u.Kind {
	case UseWrite:
		return !h.failed && aligned
	case UseTransaction:
		return !h.failed && begins
	case UseStatus:
		return !h.sampled
	}
	return aligned
}

// rank returns how well the idle connection suits the use: best with equal session values,
// then if it fits fewer other uses.
func (c *Conn) rank(u Use) (rank int) {
	if maps.Equal(c.values, u.Values) {
		rank += 4
	}
	if c.history.began {
		rank += 2
	}
	if c.history.failed {
		rank++
	}
	return rank
}
