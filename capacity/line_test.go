package capacity_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/capacity"
)

func TestFit(t *testing.T) {
	l, err := capacity.Fit([]capacity.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	must.NoError(t, err)
	must.InDelta(t, 3, l.Intercept, 1e-9)
	must.InDelta(t, 2, l.Slope, 1e-9)
	must.InDelta(t, 0, l.Residual, 1e-9)
	must.InDelta(t, 23, l.At(10), 1e-9)
}

func TestFitResidual(t *testing.T) {
	l, err := capacity.Fit([]capacity.Point{{X: 0, Y: 1}, {X: 0, Y: -1}, {X: 1, Y: 1}, {X: 1, Y: -1}})
	must.NoError(t, err)
	must.InDelta(t, 1, l.Residual, 1e-9)
}

func TestFitNeedsTwoSizes(t *testing.T) {
	_, err := capacity.Fit([]capacity.Point{{X: 1, Y: 5}, {X: 1, Y: 7}})
	var few *capacity.PointsError
	must.True(t, errors.As(err, &few))
	must.Eq(t, 2, few.Count)
}
