package compare

import (
	"fmt"
	"math"
)

// Interval is a mean with half the width of its 95% confidence interval.
type Interval struct {
	Mean, HalfWidth float64
}

// studentQuantile holds the 0.975 quantiles of Student's t distribution from 1 degree of freedom on.
func studentQuantile(degrees int) float64 {
	quantiles := [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262}
	if degrees > len(quantiles) {
		return 1.96 + 2.4/float64(degrees)
	}
	return quantiles[degrees-1]
}

// NewInterval returns the interval of independent values. One value has a half width of 0.
func NewInterval(values []float64) Interval {
	n := float64(len(values))
	if n == 0 {
		return Interval{}
	}
	mean := 0.0
	for _, v := range values {
		mean += v / n
	}
	if n == 1 {
		return Interval{Mean: mean}
	}
	squareSum := 0.0
	for _, v := range values {
		squareSum += (v - mean) * (v - mean)
	}
	deviation := math.Sqrt(squareSum / (n - 1))
	return Interval{Mean: mean, HalfWidth: studentQuantile(len(values)-1) * deviation / math.Sqrt(n)}
}

// String returns the interval with four significant digits.
func (i Interval) String() string {
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.HalfWidth)
}
