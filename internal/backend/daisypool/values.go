package daisypool

import (
	"maps"

	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
)

// Alignment returns the statements that change the session values of the connection to the
// wanted ones.
func (c *Conn) Alignment(wanted map[string]string) []daisystatement.Statement {
	return alignment(c.values, wanted)
}

// alignment returns the statements that change the current values to the wanted
// ones.
func alignment(current, wanted map[string]string) []daisystatement.Statement {
	var all []daisystatement.Statement
	for name := range current {
		if _, ok := wanted[name]; !ok {
			all = append(all, daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindDiscard})
			current = nil
			break
		}
	}
	if maps.Equal(current, wanted) {
		return all
	}
	for name, value := range wanted {
		if v, ok := current[name]; !ok || v != value {
			all = append(all, daisystatement.Statement{ID: daisystatement.SystemID, Kind: daisystatement.KindSet, Name: name, Value: value})
		}
	}
	return all
}
