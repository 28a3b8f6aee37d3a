package daisygateway

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyglade/daisyglade/internal/backend/daisypool"
	"github.com/daisyglade/daisyglade/internal/session/daisystatement"
)

// align brings the session values of the connection in line with the errand's.
// Nothing else is sent before the server has taken them, so that no statement
// runs under others.
func align(c *daisypool.Conn, e StatementRequest) error {
	statements := alignment(c.Values(), e.Values)
	if len(statements) == 0 {
		return nil
	}
	if err := c.Send(statements); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for range statements {
		a, err := c.Receive(e.Deadline)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if a.Failure != nil {
			c.MarkBroken()
			return fmt.Errorf("%w: the server refused a session value: %w", ErrNotSent, a.Failure)
		}
	}
	return nil
}

// alignment returns the statements that turn the held values into the wanted.
func alignment(held, wanted map[string]string) []daisystatement.Statement {
	var all []daisystatement.Statement
	for name := range held {
		if _, ok := wanted[name]; !ok {
			all = append(all, system(daisystatement.KindDiscard))
			held = nil
			break
		}
	}
	if maps.Equal(held, wanted) {
		return all
	}
	for name, value := range wanted {
		if v, ok := held[name]; !ok || v != value {
			set := system(daisystatement.KindSet)
			set.Name, set.Value = name, value
			all = append(all, set)
		}
	}
	return all
}

func system(k daisystatement.Kind) daisystatement.Statement {
	return daisystatement.Statement{ID: daisystatement.SystemID, Kind: k}
}

// translate returns the statement with the connection's name for what it
// executes, after the statement that prepares it where that is missing.
func translate(c *daisypool.Conn, st daisystatement.Statement) []daisystatement.Statement {
	if st.Kind != daisystatement.KindExecute {
		return []daisystatement.Statement{st}
	}
	st.Name = connectionName(st)
	if c.Prepared(st.Name) {
		return []daisystatement.Statement{st}
	}
	prepare := system(daisystatement.KindPrepare)
	prepare.Name, prepare.Shape, prepare.ReadOnly = st.Name, st.Shape, st.ReadOnly
	return []daisystatement.Statement{prepare, st}
}

// connectionName names what is prepared by what it is, so that sessions that
// prepare the same share it on a connection and names of sessions never meet.
func connectionName(st daisystatement.Statement) string {
	const digits = "0123456789abcdefghijklmnopqrstuv"
	text := "w" + st.Shape
	if st.ReadOnly {
		text = "r" + st.Shape
	}
	sum := xxhash.Sum64String(text)
	name := []byte{'p'}
	for range 13 {
		name = append(name, digits[sum&31])
		sum >>= 5
	}
	return string(name)
}
