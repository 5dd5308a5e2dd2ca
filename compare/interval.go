package compare

import (
	"fmt"
	"math"
)

// Interval is a mean with its 95% confidence interval, Mean ± HalfWidth.
type Interval struct {
	Mean, HalfWidth float64
}

// studentQuantile returns the 0.975 quantile of Student's t distribution for the
// degrees of freedom, which are at least 1. Above 9 it is an approximation.
func studentQuantile(degrees int) float64 {
	quantiles := [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262}
	if degrees > len(quantiles) {
		return 1.96 + 2.4/float64(degrees)
	}
	return quantiles[degrees-1]
}

// NewInterval returns the confidence interval of the mean of independent
// values. The half width of a single value is 0.
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

// String returns the mean with four significant digits and the half width with two.
func (i Interval) String() string {
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.HalfWidth)
}
