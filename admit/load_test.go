package admit_test

import (
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/admit"
	"github.com/shoenig/test/must"
)

// TestWait guards against a wait where a slot is free, and against one that does not grow
// with the requests ahead.
func TestWait(t *testing.T) {
	const work = 30 * time.Millisecond
	must.Zero(t, admit.Wait(2, 3, work))
	must.Eq(t, 10*time.Millisecond, admit.Wait(3, 3, work))
	must.Eq(t, 130*time.Millisecond, admit.Wait(15, 3, work))
	must.Eq(t, 30*time.Millisecond, admit.Wait(1, 0, work), must.Sprint("unknown slots count as one"))
}
