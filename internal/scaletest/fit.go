package scaletest

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a line through measured points by least squares, with the standard
// error of its slope.
type Line struct {
	Base, Slope, Error float64
}

// Fit lays a line through points.
func Fit(across, up []float64) Line {
	if len(across) < 2 {
		return Line{Base: math.NaN(), Slope: math.NaN(), Error: math.NaN()}
	}
	base, slope := stat.LinearRegression(across, up, nil, false)
	line := Line{Base: base, Slope: slope, Error: math.NaN()}
	if len(across) < 3 {
		return line
	}
	mean, rest, spread := stat.Mean(across, nil), 0.0, 0.0
	for position, x := range across {
		rest += (up[position] - base - slope*x) * (up[position] - base - slope*x)
		spread += (x - mean) * (x - mean)
	}
	line.Error = math.Sqrt(rest / float64(len(across)-2) / spread)
	return line
}

// At is the line's value somewhere, and how far the slope's error may carry it off.
func (l Line) At(x float64) (float64, float64) {
	return l.Base + l.Slope*x, l.Error * x
}
