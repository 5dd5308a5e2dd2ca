package converge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderbay/corianderbay/converge"
	"github.com/shoenig/test/must"
)

// TestReadyWithoutInstanceList starts a process whose platform has a bundle but no
// instance list. It must become ready, but not before the list timeout.
func TestReadyWithoutInstanceList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := converge.New(converge.Config{Name: "a", DataCentre: "dc", Rand: rand.New(rand.NewPCG(1, 1))})
	v := version(1, 1)
	m.Update(now, converge.Tick{})
	m.Update(now, converge.PlatformAnswered{})
	m.Update(now, converge.BundleOffered{Version: v})
	m.Update(now, converge.BundleChecked{Version: v, Valid: true})
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.Update(now, converge.PlatformAnswered{})
		m.Update(now, converge.Tick{})
	}
	must.True(t, m.Status().InForce.IsZero(), must.Sprint("the instance list may still be delayed"))
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		m.Update(now, converge.PlatformAnswered{})
		m.Update(now, converge.Tick{})
	}
	must.Eq(t, v, m.Status().InForce)
	must.Eq(t, converge.StateReady, m.Status().State)
}
