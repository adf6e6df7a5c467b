package capacity

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line y = Intercept + Slope*x. R2 is 1 when every point lies on it.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// FitLine returns the least-squares line through the points. With fewer than two different
// x the slope is 0 and the intercept is the mean.
func FitLine(points []Point) Fit {
	if len(points) == 0 {
		return Fit{}
	}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.X-meanX, p.Y-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Fit{Intercept: meanY}
	}
	f := Fit{Slope: xy / xx}
	f.Intercept = meanY - f.Slope*meanX
	f.R2 = 1
	if yy > 0 {
		f.R2 = xy * xy / (xx * yy)
	}
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
