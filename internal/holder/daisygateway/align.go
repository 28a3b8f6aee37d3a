package daisygateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// align sets the session values of the connection to those of the request. It
// waits until the server has accepted them, so that no statement runs with other
// values. Answers to SET are alike, and a server may send them again; the answer to a mark after
// them shows that all have come. The BEGIN of a transaction is one itself. Within a transaction a
// refused SET fails it, so that the statement is refused too.
func align(c *daisypool.Conn, req daisyrequest.Request) error {
	if req.Statement.Kind == daisystatement.KindStatus {
		return nil
	}
	statements := c.Alignment(req.Values)
	if len(statements) == 0 {
		return nil
	}
	if !req.Pin && !c.Certain(len(statements)) {
		statements = append(statements, mark()...)
	}
	if err := c.Send(statements); err != nil {
		return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, err)
	}
	for range statements {
		a, err := c.Receive(req.Deadline)
		if err != nil {
			return fmt.Errorf("%w: %w", daisyrequest.ErrNotSent, err)
		}
		if a.Failure != nil {
			c.MarkBroken()
			return fmt.Errorf("%w: the server refused a session value: %w", daisyrequest.ErrNotSent, a.Failure)
		}
	}
	return nil
}

// mark returns statements whose answers are unlike those to SET, and that use no slot of the
// server.
func mark() []daisystatement.Statement {
	begin := systemStatement(daisystatement.KindBegin)
	begin.ReadOnly = true
	return []daisystatement.Statement{begin, systemStatement(daisystatement.KindRollback)}
}

func systemStatement(k daisystatement.Kind) daisystatement.Statement {
	return daisystatement.Statement{ID: daisystatement.SystemID, Kind: k}
}

// withPrepare returns the statements to send for st. If st executes a prepared
// statement, its name is replaced by the connection's name for the definition,
// and a statement that prepares it precedes if the connection lacks it.
func withPrepare(c *daisypool.Conn, st daisystatement.Statement) []daisystatement.Statement {
	if st.Kind != daisystatement.KindExecute {
		return []daisystatement.Statement{st}
	}
	st.Name = connectionName(st)
	if c.Prepared(st.Name) {
		return []daisystatement.Statement{st}
	}
	prepare := systemStatement(daisystatement.KindPrepare)
	prepare.Name, prepare.Shape, prepare.ReadOnly = st.Name, st.Shape, st.ReadOnly
	return []daisystatement.Statement{prepare, st}
}

// connectionName derives the name of a prepared statement on a connection from a
// hash of its definition. Sessions that prepare the same statement share it, and
// equal names of different sessions do not collide. Nobody can find two definitions with
// the same hash, as with one that is not cryptographic.
func connectionName(st daisystatement.Statement) string {
	const nameBytes = 16
	kind := "w"
	if st.ReadOnly {
		kind = "r"
	}
	sum := sha256.Sum256([]byte(kind + st.Shape))
	return "p" + hex.EncodeToString(sum[:nameBytes])
}
