package capacity

// Line is y = At0 + Slope*x.
type Line struct {
	Intercept float64 `json:"at_0"`
	Slope     float64 `json:"per_guard"`
}

func (l Line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// leastSquares fits a line through the points. With a single x the line is
// flat.
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
