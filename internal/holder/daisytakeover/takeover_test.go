package daisytakeover_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
	"github.com/daisyglade/daisyglade/internal/holder/daisytakeover"
)

var errDown = errors.New("member is down")

// member is a fake member that refuses terms before its own.
type member struct {
	status   daisytakeover.Status
	down     bool
	promoted bool
}

func (m *member) Status(context.Context) (daisytakeover.Status, error) {
	if m.down {
		return daisytakeover.Status{}, errDown
	}
	return m.status, nil
}

func (m *member) Fence(_ context.Context, term uint64) (daisytakeover.Status, error) {
	if m.down || term < m.status.Term {
		return daisytakeover.Status{}, errDown
	}
	m.status.Term = term
	return m.status, nil
}

func (m *member) Promote(ctx context.Context, term uint64) (daisytakeover.Status, error) {
	m.promoted = true
	return m.Fence(ctx, term)
}

func at(term, offset uint64) *member {
	return &member{status: daisytakeover.Status{Term: term, Received: daisystream.Position{Term: term, Offset: offset}}}
}

func down() *member { return &member{down: true} }

func TestRun(t *testing.T) {
	tests := []struct {
		name           string
		members        map[string]*member
		primary, avoid string
		want           string // Empty if the takeover must fail.
		higherTerm     uint64
	}{
		{"KeepsThePrimary", map[string]*member{"a": at(1, 5), "b": at(1, 5), "c": at(1, 5)}, "b", "", "b", 0},
		{"FurthestWins", map[string]*member{"a": at(1, 5), "b": at(1, 7), "c": at(1, 6)}, "a", "", "b", 0},
		{"LaterTermWins", map[string]*member{"a": at(1, 9), "b": at(2, 3), "c": down()}, "a", "", "b", 0},
		{"AvoidedAmongEquals", map[string]*member{"a": at(1, 5), "b": at(1, 5), "c": at(1, 4)}, "a", "a", "b", 0},
		{"AvoidedButFurthest", map[string]*member{"a": at(1, 6), "b": at(1, 5), "c": at(1, 5)}, "a", "a", "a", 0},
		{"OneDown", map[string]*member{"a": down(), "b": at(1, 5), "c": at(1, 6)}, "a", "", "c", 0},
		{"NoMajority", map[string]*member{"a": at(1, 5), "b": down(), "c": down()}, "a", "", "", 0},
		{"HigherTerm", map[string]*member{"a": at(9, 5), "b": at(9, 5), "c": at(9, 5)}, "a", "", "", 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := daisytakeover.Plan{Term: 3, Majority: 2, Primary: test.primary, Avoid: test.avoid, Members: make(map[string]daisytakeover.Member)}
			for name, m := range test.members {
				plan.Members[name] = m
			}
			result, err := daisytakeover.Run(t.Context(), plan)
			var higherTerm *daisytakeover.HigherTermError
			if test.want == "" {
				assert.Equal(t, errors.As(err, &higherTerm), test.higherTerm > 0)
				assert.Equal(t, errors.Is(err, daisytakeover.ErrNoMajority), test.higherTerm == 0)
			} else {
				assert.NilError(t, err)
			}
			if higherTerm != nil {
				assert.Equal(t, higherTerm.Term, test.higherTerm)
			}
			assert.Equal(t, result.Primary, test.want)
			for name, m := range test.members {
				assert.Equal(t, m.promoted, name == test.want, name)
			}
		})
	}
}
