package daisyforwarder

import (
	"github.com/daisyglade/daisyglade/internal/domain/daisystatement"
	"github.com/daisyglade/daisyglade/internal/net/daisytraffic"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

// purpose returns what a call and its reply are for.
func purpose(c daisycodec.Call) daisytraffic.Purpose {
	switch {
	case c.Action == daisycodec.ActionPing:
		return daisytraffic.PurposeControl
	case c.Action == daisycodec.ActionRun && c.Request.Class == "" && c.Request.Statement.Kind == daisystatement.KindStatus:
		return daisytraffic.PurposePositions
	}
	return daisytraffic.PurposeStatements
}
