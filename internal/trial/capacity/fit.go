package capacity

import "math"

// line is a straight line through points, with the standard error of its slope.
type line struct {
	Intercept, Slope, SlopeError float64
}

// fitLine returns the least-squares line. The error of its slope is NaN for fewer than
// three points.
func fitLine(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	denominator := n*sxx - sx*sx
	l := line{Slope: (n*sxy - sx*sy) / denominator}
	l.Intercept = (sy - l.Slope*sx) / n
	if n < 3 {
		l.SlopeError = math.NaN()
		return l
	}
	var residualSquares float64
	for i := range x {
		deviation := y[i] - l.Intercept - l.Slope*x[i]
		residualSquares += deviation * deviation
	}
	l.SlopeError = math.Sqrt(residualSquares / (n - 2) * n / denominator)
	return l
}
