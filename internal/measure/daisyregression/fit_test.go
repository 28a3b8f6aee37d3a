package daisyregression_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/measure/daisyregression"
)

// tolerance is the permitted rounding error of the fit.
const tolerance = 1e-9

func TestFit(t *testing.T) {
	tests := []struct {
		name             string
		sizes, costs     []float64
		intercept, slope float64
		residual         float64
	}{
		{"Exact", []float64{1, 2, 3}, []float64{5, 7, 9}, 3, 2, 0},
		{"Flat", []float64{1, 2, 3}, []float64{4, 4, 4}, 4, 0, 0},
		{"Bent", []float64{0, 1, 2}, []float64{0, 3, 0}, 1, 0, 2.0 / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := daisyregression.Fit(test.sizes, test.costs)
			assert.Check(t, math.Abs(l.Intercept-test.intercept) < tolerance)
			assert.Check(t, math.Abs(l.Slope-test.slope) < tolerance)
			assert.Check(t, math.Abs(l.Residual-test.residual) < tolerance)
		})
	}
}
