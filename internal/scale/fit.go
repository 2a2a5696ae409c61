package scale

import "math"

// Fit is a straight line through measured points.
type Fit struct {
	At0   float64 `json:"at_0"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
	Bend  float64 `json:"bend"` // slope of the last step over that of the steps before; 1 for a line
}

// FitLine fits by least squares. Fewer than two different x give no slope.
func FitLine(x, y []float64) Fit {
	n, mx, my := float64(len(x)), 0.0, 0.0
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	sxx, sxy, syy := 0.0, 0.0, 0.0
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	if sxx == 0 {
		return Fit{At0: my}
	}
	out := Fit{Slope: sxy / sxx}
	out.At0 = my - out.Slope*mx
	if syy > 0 {
		out.R2 = sxy * sxy / sxx / syy
	}
	out.Bend = bend(x, y)
	return out
}

// bend compares the slope of the last step with that of the steps before it: 1
// for a line, about 2 or more for what grows with the square.
func bend(x, y []float64) float64 {
	last := len(x) - 1
	mid := last - 1
	if last < 2 || x[mid] == x[0] || x[last] == x[mid] {
		return 0
	}
	low, high := (y[mid]-y[0])/(x[mid]-x[0]), (y[last]-y[mid])/(x[last]-x[mid])
	if math.Abs(low) < 1e-12 {
		return 0
	}
	return high / low
}
