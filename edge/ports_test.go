package edge_test

import (
	"fmt"
	"testing"
	"time"
)

// TestFlowsStayWhenPortsAreUsedAgain guards against resets, and packets that reach other upstreams
// only, because a process takes the packets of a flow for those of the former one of its port.
func TestFlowsStayWhenPortsAreUsedAgain(t *testing.T) {
	for _, ports := range []uint16{1, 4, 12} {
		d := deployments[0]
		d.flowTime, d.ports = 6*time.Second, ports
		t.Run(fmt.Sprint(ports), func(t *testing.T) { playInTurn(t, *virtualFirst, d, searchAfterReturn) })
	}
}

// searchAfterReturn lets callers use two data centres in turn and return to the first one while
// a sidecar restarts.
func searchAfterReturn(w *world, m *machine) {
	const useTime = 8 * time.Second
	first, second := (dataCentreOf(m.host)+1)%3, (dataCentreOf(m.host)+2)%3
	w.moveTo(first)
	time.Sleep(useTime)
	w.moveTo(second)
	time.Sleep(useTime)
	time.AfterFunc(500*time.Millisecond, func() { w.moveTo(first) })
	w.restart(m, restartTime)
}
