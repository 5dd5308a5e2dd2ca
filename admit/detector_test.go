package admit_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/admit"
	"github.com/shoenig/test/must"
)

const step = 50 * time.Millisecond

// observeFor records the same waits every 50 ms for d, and returns the time afterwards
// and the number of changes.
func observeFor(d *admit.Detector, now, length, least, mean time.Duration) (time.Duration, int) {
	changes := 0
	for end := now + length; now < end; now += step {
		if d.Observe(now, least, mean, admit.Thresholds{Begin: 40 * time.Millisecond, End: 10 * time.Millisecond}) {
			changes++
		}
	}
	return now, changes
}

// TestDetector guards against overload that is detected in a short burst, that is missed
// when the wait stands, and that ends while the wait is still between the thresholds.
func TestDetector(t *testing.T) {
	var d admit.Detector
	now, changes := observeFor(&d, time.Hour, time.Second, 0, 30*time.Millisecond)
	must.Zero(t, changes)
	now, changes = observeFor(&d, now, 200*time.Millisecond, 41*time.Millisecond, 30*time.Millisecond)
	must.Zero(t, changes, must.Sprint("a wait of 200 ms does not stand"))
	now, changes = observeFor(&d, now, 600*time.Millisecond, 41*time.Millisecond, 30*time.Millisecond)
	must.Eq(t, 1, changes)
	must.True(t, d.Overloaded())
	must.Eq(t, 41*time.Millisecond, d.Standing())
	now, changes = observeFor(&d, now, time.Second, 0, 20*time.Millisecond)
	must.Zero(t, changes, must.Sprint("the wait is above the lower threshold"))
	now, changes = observeFor(&d, now, time.Second, 0, 10*time.Millisecond)
	must.Eq(t, 1, changes)
	must.False(t, d.Overloaded())
	_, changes = observeFor(&d, now, step, 0, 41*time.Millisecond)
	must.Eq(t, 1, changes, must.Sprint("the mean wait exceeds the upper threshold"))
}

// TestDetectorAfterGap guards against a standing wait that spans a time without
// observations.
func TestDetectorAfterGap(t *testing.T) {
	var d admit.Detector
	now, _ := observeFor(&d, time.Hour, 400*time.Millisecond, 50*time.Millisecond, 0)
	_, changes := observeFor(&d, now+time.Minute, 100*time.Millisecond, 50*time.Millisecond, 0)
	must.Zero(t, changes)
	must.Zero(t, d.Standing())
}
