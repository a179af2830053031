package capacity

import "math"

// line is a straight line through points, with the standard error of its slope.
type line struct {
	Intercept, Slope, Error float64
}

// fit is the least-squares line.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	l := line{Slope: (n*sxy - sx*sy) / d}
	l.Intercept = (sy - l.Slope*sx) / n
	if n < 3 {
		l.Error = math.NaN()
		return l
	}
	var rest float64
	for i := range x {
		r := y[i] - l.Intercept - l.Slope*x[i]
		rest += r * r
	}
	l.Error = math.Sqrt(rest / (n - 2) * n / d)
	return l
}
