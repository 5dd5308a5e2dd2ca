package admit

import "time"

// standingWindow is the time over which a wait must persist to count as standing. A
// burst that a queue absorbs in a shorter time is no overload.
const standingWindow = 500 * time.Millisecond

// Thresholds are the waits between which a Detector keeps its state.
type Thresholds struct {
	// Begin is the wait above which overload begins. At least End.
	Begin time.Duration
	// End is the wait up to which overload ends.
	End time.Duration
}

// newThresholds returns the thresholds for a service whose requests occupy a slot for
// work on average. At a wait of half a work, a request waits for every second slot at
// the mean upstream.
func newThresholds(work time.Duration) Thresholds {
	return Thresholds{Begin: work / 2, End: work / 8}
}

// Detector detects the overload of a service, with hysteresis. It begins when the least
// wait at any upstream exceeded Thresholds.Begin throughout standingWindow, or when the
// mean wait exceeds Begin: with queues of a few requests, a crowd fills them in less than
// the window. It ends when the mean wait stayed within Thresholds.End for the window. The
// zero value is a Detector without overload.
type Detector struct {
	current  waitRange // of the half window that began at halfStart
	previous waitRange // of the half window before; empty at first
	// halfStart is the start of current; valid unless current is empty.
	halfStart  time.Duration
	overloaded bool
}

// waitRange holds the least of the least waits and the most of the mean waits. The zero
// value is empty.
type waitRange struct {
	least, most time.Duration
	n           int // observations
}

func (r *waitRange) add(least, mean time.Duration) {
	if r.n == 0 {
		r.least, r.most = least, mean
	}
	r.least, r.most = min(r.least, least), max(r.most, mean)
	r.n++
}

// Observe records the least and the mean wait at now, which must not decrease between
// calls. It reports whether overload began or ended.
func (d *Detector) Observe(now, least, mean time.Duration, t Thresholds) (changed bool) {
	d.advance(now)
	d.current.add(least, mean)
	was := d.overloaded
	switch {
	case !was:
		d.overloaded = mean > t.Begin || d.Standing() > t.Begin
	case d.previous.n > 0:
		d.overloaded = max(d.current.most, d.previous.most) > t.End
	}
	return d.overloaded != was
}

// Overloaded reports whether overload has begun and not ended.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Standing returns the least wait within the window; 0 while less than half of it was
// observed.
func (d *Detector) Standing() time.Duration {
	if d.previous.n == 0 {
		return 0
	}
	return min(d.current.least, d.previous.least)
}

// advance starts a new half window when the current one has ended.
func (d *Detector) advance(now time.Duration) {
	age := now - d.halfStart
	if d.current.n > 0 && age < standingWindow/2 {
		return
	}
	d.previous = d.current
	if age >= standingWindow {
		d.previous = waitRange{} // observations stopped in between
	}
	d.current = waitRange{}
	d.halfStart = now
}
