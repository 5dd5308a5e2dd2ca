package load

// Load is how busy an upstream is, comparable between the sidecars of one
// service. Zero is unknown. The highest bit is set when connections were
// counted, and clear when slots and queue were.
type Load uint32

const (
	connectionsBit  Load = 1 << 31
	maxLoad         Load = connectionsBit - 1
	perMille             = 1000
	weightUnit           = 100
	connectionScale      = 8
)

// queueLoad returns the load of an upstream that compares by slots and queue:
// the expected wait in thousandths of the typical time in service, plus 1.
func queueLoad(v View, meanServiceTime float64) Load {
	if v.Free() {
		return 1
	}
	if meanServiceTime == 0 {
		return clampLoad(1 + perMille*float64(v.Busy()+1-v.Slots)/float64(v.Slots))
	}
	return clampLoad(1 + perMille*float64(v.ExpectedWait())/meanServiceTime)
}

// connectionLoad returns the load of an upstream that compares by connections
// for its weight, which grows during a cold start.
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

// IsKnown reports whether the load was told.
func (l Load) IsKnown() bool {
	return l != 0
}

// comparable reports whether two loads count the same thing.
func (l Load) comparable(other Load) bool {
	return l.IsKnown() && other.IsKnown() && l&connectionsBit == other&connectionsBit
}
