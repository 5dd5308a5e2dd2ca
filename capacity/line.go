package capacity

import (
	"fmt"
	"math"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X, Y float64
}

// Line is a linear model of a cost by size. It is immutable.
type Line struct {
	// Intercept is the cost at size 0.
	Intercept float64
	// Slope is the added cost of one unit of size.
	Slope float64
	// Residual is the root mean square deviation of the points, in the unit of the cost.
	Residual float64
}

// Fit returns the least squares line through the points. It returns *PointsError
// if the points have fewer than two different sizes.
func Fit(points []Point) (Line, error) {
	x, y := means(points)
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - x) * (p.X - x)
		xy += (p.X - x) * (p.Y - y)
	}
	if xx == 0 {
		return Line{}, &PointsError{Count: len(points)}
	}
	l := Line{Slope: xy / xx}
	l.Intercept = y - l.Slope*x
	l.Residual = l.residual(points)
	return l, nil
}

// At returns the cost at the size x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

func (l Line) residual(points []Point) float64 {
	var sum float64
	for _, p := range points {
		deviation := p.Y - l.At(p.X)
		sum += deviation * deviation
	}
	return math.Sqrt(sum / float64(len(points)))
}

func means(points []Point) (x, y float64) {
	n := float64(len(points))
	for _, p := range points {
		x += p.X / n
		y += p.Y / n
	}
	return x, y
}

// PointsError reports points with fewer than two different sizes.
type PointsError struct {
	Count int
}

// Error returns the number of points and the reason.
func (e *PointsError) Error() string {
	return fmt.Sprintf("capacity: %d points have fewer than two sizes", e.Count)
}
