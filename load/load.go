package load

// Load is the load of an upstream, comparable between the sidecars of one
// service. Zero means unknown. The highest bit is set for a load that counts
// connections and clear for one that counts slots and queue.
type Load uint32

const (
	connectionsBit  Load = 1 << 31
	maxLoad         Load = connectionsBit - 1
	perMille             = 1000
	weightUnit           = 100 // the weight to which connections are scaled
	connectionScale      = 8   // units of load per connection at the weight weightUnit
)

// queueLoad returns the load measured by slots and queue: the expected wait in
// thousandths of meanServiceTime, plus 1. While meanServiceTime, in nanoseconds,
// is zero, and so unknown, the queue position per slot takes the place of the
// wait.
func queueLoad(v View, meanServiceTime float64) Load {
	if v.Free() {
		return 1
	}
	if meanServiceTime == 0 {
		return clampLoad(1 + perMille*float64(v.Busy()+1-v.Slots)/float64(v.Slots))
	}
	return clampLoad(1 + perMille*float64(v.ExpectedWait())/meanServiceTime)
}

// connectionLoad returns the load measured by connections per effective
// weight, which grows during a cold start.
func connectionLoad(v View) Load {
	perWeight := float64(v.Connections) * weightUnit / v.effectiveWeight()
	return clampLoad(1+connectionScale*perWeight) | connectionsBit
}

func clampLoad(f float64) Load {
	if f >= float64(maxLoad) {
		return maxLoad
	}
	return Load(f)
}

// IsKnown reports whether l is not zero.
func (l Load) IsKnown() bool {
	return l != 0
}

// comparable reports whether both loads are known and count the same thing.
func (l Load) comparable(other Load) bool {
	return l.IsKnown() && other.IsKnown() && l&connectionsBit == other&connectionsBit
}
