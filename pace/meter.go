package pace

import "time"

const (
	// maxRequests bounds the requests that a Meter tracks, so that a flood does not grow
	// its memory.
	maxRequests = 1 << 14
	// minShedLimit and shedShare bound the time within which a full upstream sheds a
	// request: it answers without processing, in well under a quarter of the expected time.
	minShedLimit = time.Millisecond
	shedShare    = 4
	// doubtTimeout is the time without a sample after which uncertain ones are used as well.
	doubtTimeout = time.Second
)

// Request identifies a pending request in a Meter. The zero value identifies none.
type Request int32

// state is the assumed state of a request at the upstream.
type state uint8

const (
	stateFree    state = iota // the entry is not in use
	stateWaiting              // in the queue of the upstream
	stateRunning              // in a slot
)

// request is the entry for a pending request.
type request struct {
	begin time.Duration // when its last packet so far was delivered
	start time.Duration // when it got a slot; valid in stateRunning
	// prev and next link the waiting requests in the order of their begins, and next the
	// free entries. position is the index in Meter.running.
	prev, next Request
	position   int32
	class      uint8 // index of its route in estimator.classes
	state      state
	// doubtful is true when the start is uncertain, because the upstream may still have
	// been busy with a request that was given up.
	doubtful bool
	// overdue is true when the time in the slot already counted as evidence for a slower
	// pace.
	overdue bool
}

// Meter models the slots and the FIFO queue of an upstream and estimates the time for
// which a request occupies a slot. It allocates only when more requests are pending than
// ever before. It is not safe for concurrent use.
type Meter struct {
	// slots is the number of requests that the upstream processes at once. 0 when it is
	// not known; then each request is assumed to start at once.
	slots int
	// requests holds the entries; the first one is not used, so that 0 identifies none.
	requests []request
	free     Request   // first free entry
	running  []Request // at most slots if that is known
	head     Request   // first waiting request
	tail     Request   // last waiting request
	waiting  int
	// doubtUntil is the time until which a request that was given up may still occupy a
	// slot.
	doubtUntil time.Duration
	shed       uint64
	estimator  estimator
}

// NewMeter returns a Meter without requests.
func NewMeter() *Meter {
	return &Meter{requests: make([]request, 1, 64), estimator: newEstimator()}
}

// SetSlots sets the number of requests that the upstream processes at once; 0 when it is
// not known. Waiting requests get additional slots with the next answer.
func (m *Meter) SetSlots(slots int) {
	m.slots = slots
}

// Begin records that a request for a route was delivered to the upstream. route
// distinguishes routes, whose requests may differ in their expected work. It returns 0
// when too many requests are pending.
func (m *Meter) Begin(now time.Duration, route uint64) Request {
	r := m.allocate()
	if r == 0 {
		return 0
	}
	e := &m.requests[r]
	e.begin, e.class = now, m.estimator.class(route)
	if m.head == 0 && m.hasSlot() {
		m.run(r, now)
	} else {
		m.enqueue(r)
	}
	return r
}

// Extend records that a further packet of a pending request was delivered: its
// processing cannot have begun before.
func (m *Meter) Extend(now time.Duration, r Request) {
	if r == 0 {
		return
	}
	e := &m.requests[r]
	e.begin = now
	switch {
	case e.state == stateWaiting:
		m.unlink(r)
		m.enqueue(r)
		return
	case m.head == 0:
		e.start, e.overdue = now, false
		return
	}
	free := e.start
	m.stop(r)
	m.enqueue(r)
	m.promote(free)
}

// Answer records the first data of an answer. It returns the time for which the request
// occupied its slot; measured is false when that is not known or the request was shed.
func (m *Meter) Answer(now time.Duration, r Request) (took time.Duration, measured bool) {
	if r == 0 {
		return 0, false
	}
	e := m.requests[r]
	start, doubtful := e.start, e.doubtful
	if e.state == stateWaiting {
		if now-e.begin < m.shedLimit(e.class) {
			m.shed++
			m.release(r)
			return 0, false
		}
		start = m.overtake(now, e.begin)
	}
	m.release(r)
	m.promote(now)
	if doubtful && m.estimator.age(now) < doubtTimeout {
		return 0, false
	}
	m.estimator.add(now, e.class, now-start, e.overdue)
	return now - start, true
}

// overtake returns when a request started that was assumed to wait since begin and was
// answered: it had the slot that was assigned to the request that began last, for example
// to an upload whose packets are still being delivered.
func (m *Meter) overtake(now, begin time.Duration) time.Duration {
	if len(m.running) == 0 {
		return begin
	}
	last := m.running[0]
	for _, r := range m.running[1:] {
		if m.requests[r].begin > m.requests[last].begin {
			last = r
		}
	}
	start := max(begin, m.requests[last].start)
	m.requests[last].start = now
	return start
}

// GiveUp records that the caller abandoned a request. The upstream may still process it.
func (m *Meter) GiveUp(now time.Duration, r Request) {
	if r == 0 {
		return
	}
	expected := m.estimator.expected(m.requests[r].class)
	m.doubtUntil = max(m.doubtUntil, now+expected*time.Duration(1+m.waiting/max(1, m.slots)))
	m.Fail(now, r)
}

// Fail records that the upstream ended a request without an answer.
func (m *Meter) Fail(now time.Duration, r Request) {
	if r == 0 {
		return
	}
	m.release(r)
	m.promote(now)
}

// Restart lets the estimate follow the next answers quickly: the process of the upstream
// has been replaced.
func (m *Meter) Restart() {
	s := &m.estimator
	s.samples, s.slower, s.faster = 0, excursion{}, excursion{}
}

// Shed returns the number of requests that the full upstream shed.
func (m *Meter) Shed() uint64 {
	return m.shed
}

// Pending returns the number of requests without an answer.
func (m *Meter) Pending() int {
	return len(m.running) + m.waiting
}

// shedLimit returns the time within which an answer to a waiting request shows that the
// upstream shed it.
func (m *Meter) shedLimit(class uint8) time.Duration {
	return max(minShedLimit, m.estimator.expected(class)/shedShare)
}

func (m *Meter) hasSlot() bool {
	return m.slots == 0 || len(m.running) < m.slots
}

// allocate returns a free entry, or 0.
func (m *Meter) allocate() Request {
	if r := m.free; r != 0 {
		m.free = m.requests[r].next
		return r
	}
	if len(m.requests) > maxRequests {
		return 0
	}
	m.requests = append(m.requests, request{})
	return Request(len(m.requests) - 1)
}

// release removes a request from the slots or the queue and frees its entry.
func (m *Meter) release(r Request) {
	e := &m.requests[r]
	if e.state == stateRunning {
		m.stop(r)
	} else {
		m.unlink(r)
	}
	e.state, e.next = stateFree, m.free
	m.free = r
}

// run assigns a slot that has been free since start.
func (m *Meter) run(r Request, start time.Duration) {
	e := &m.requests[r]
	e.state, e.start, e.position = stateRunning, start, int32(len(m.running))
	e.doubtful, e.overdue = start < m.doubtUntil, false
	m.running = append(m.running, r)
}

// stop takes the slot from a request.
func (m *Meter) stop(r Request) {
	last := len(m.running) - 1
	position := m.requests[r].position
	moved := m.running[last]
	m.running[position] = moved
	m.requests[moved].position = position
	m.running = m.running[:last]
}

// promote assigns the slots that have been free since the given time to the requests
// that have waited longest.
func (m *Meter) promote(free time.Duration) {
	for m.head != 0 && m.hasSlot() {
		r := m.head
		m.unlink(r)
		m.run(r, max(free, m.requests[r].begin))
	}
}

// enqueue adds a request at the end of the queue.
func (m *Meter) enqueue(r Request) {
	e := &m.requests[r]
	e.state, e.prev, e.next = stateWaiting, m.tail, 0
	if m.tail == 0 {
		m.head = r
	} else {
		m.requests[m.tail].next = r
	}
	m.tail = r
	m.waiting++
}

// unlink removes a request from the queue.
func (m *Meter) unlink(r Request) {
	e := &m.requests[r]
	if e.prev == 0 {
		m.head = e.next
	} else {
		m.requests[e.prev].next = e.next
	}
	if e.next == 0 {
		m.tail = e.prev
	} else {
		m.requests[e.next].prev = e.prev
	}
	m.waiting--
}
