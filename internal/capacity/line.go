package capacity

// Line is the line y = Intercept + Slope*x.
type Line struct {
	Intercept float64 `json:"at_0"`
	Slope     float64 `json:"per_guard"`
}

// valueAt returns the y value at x.
func (l Line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// leastSquares returns the least-squares line through the points. It is horizontal
// if all points have the same x.
func leastSquares(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}
}
