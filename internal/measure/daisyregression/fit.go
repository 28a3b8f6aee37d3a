// Package daisyregression fits straight lines to costs measured at several sizes,
// so that the cost at a larger size can be extrapolated.
package daisyregression

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is cost = Intercept + Slope × size.
type Line struct {
	Intercept float64
	Slope     float64
	Residual  float64 // The largest deviation from a measured cost, as a fraction of the largest cost.
}

// Fit returns the least-squares line through the measurements. It panics unless
// the slices have the same length, at least 2.
func Fit(sizes, costs []float64) Line {
	if len(sizes) != len(costs) || len(sizes) < 2 {
		panic("daisyregression: sizes and costs need the same length, at least 2")
	}
	intercept, slope := stat.LinearRegression(sizes, costs, nil, false)
	l := Line{Intercept: intercept, Slope: slope}
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

// At returns the cost at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// String formats the line with its residual.
func (l Line) String() string {
	return fmt.Sprintf("%.4g + %.4g × size, residual %.1f%%", l.Intercept, l.Slope, 100*l.Residual)
}
