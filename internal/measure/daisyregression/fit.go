// Package daisyregression fits straight lines to measurements at several sizes, so
// that a cost at a larger size can be worked out.
package daisyregression

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is cost = Base + Slope × size.
type Line struct {
	Intercept     float64
	Slope    float64
	Residual float64 // The largest distance from a measurement, as a share of the largest cost.
}

// Fit returns the line with the least squares through the measurements. The
// slices must have the same length, at least 2.
func Fit(sizes, costs []float64) Line {
	if len(sizes) != len(costs) || len(sizes) < 2 {
		panic("daisyslope: sizes and costs do not match")
	}
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	l := Line{Intercept: base, Slope: slope}
	largest := 0.0
	for i, size := range sizes {
		l.Residual = math.Max(l.Residual, math.Abs(costs[i]-l.At(size)))
		largest = math.Max(largest, math.Abs(costs[i]))
	}
	if largest > 0 {
		l.Residual /= largest
	}
	return l
}

// At returns the cost at the size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// String describes the line.
func (l Line) String() string {
	return fmt.Sprintf("%.4g + %.4g × size, residual %.1f%%", l.Intercept, l.Slope, 100*l.Residual)
}
