package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/event"
)

// maxLineLength is the maximum length of a line in bytes.
const maxLineLength = 1 << 20

// timeLayout is the layout in which processes log times.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Line is one logged event. Fields that the event does not have are zero.
type Line struct {
	// Instance identifies where the process ran: the name of its log file, or the
	// last word in front of the JSON object.
	Instance string `json:"instance"`
	Time     Time   `json:"ts"`
	// Process is the role of the process.
	Process string       `json:"process"`
	Event   event.Number `json:"event"`
	Name    string       `json:"msg"`

	Caller   string `json:"caller,omitempty"`
	Address  string `json:"address,omitempty"`
	Sequence uint32 `json:"sequence,omitempty"`
	Flags    uint8  `json:"flags,omitempty"`
	// Upstream is the host that a balancer chose, and Next the host that a sidecar
	// passed a packet on to.
	Upstream string `json:"upstream,omitempty"`
	Next     string `json:"next,omitempty"`
	Visited  int    `json:"visited,omitempty"` // number of hosts that the packet visited
	Placed   uint64 `json:"placed,omitempty"`  // version of the routes by which the balancer sent the packet
	Reason   string `json:"reason,omitempty"`

	// Version identifies the routes, Era and Revision the upstreams, on which the
	// process acted.
	Version  uint64 `json:"version,omitempty"`
	Era      uint32 `json:"era,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// PreviousEra and PreviousRevision are the era and revision before the store was
	// restored from an older copy. StaleKeys is the number of keys for which the
	// process had newer data than the copy.
	PreviousEra      uint32 `json:"before,omitempty"`
	PreviousRevision uint64 `json:"lost,omitempty"`
	StaleKeys        int    `json:"doubtful,omitempty"`
	// Evacuated is the data centre whose evacuation began or ended.
	Evacuated string `json:"evacuated,omitempty"`
	// StoreAge, LoadAge, Age and Gap are in seconds.
	StoreAge float64 `json:"storeage,omitempty"`
	LoadAge  float64 `json:"loadage,omitempty"`
	Age      float64 `json:"age,omitempty"`
	Gap      float64 `json:"gap,omitempty"`
	Flows    int     `json:"flows,omitempty"`
	Active   int     `json:"active,omitempty"`
	Lines    uint64  `json:"lines,omitempty"` // number of omitted lines

	Peer     string `json:"peer,omitempty"`
	Role     string `json:"role,omitempty"`
	Stopping bool   `json:"stopping,omitempty"`
	Isolated bool   `json:"alone,omitempty"`
	Exchange string `json:"exchange,omitempty"` // address of the process for its peers
	Error    string `json:"error,omitempty"`
}

// Check returns a *LineError if the line lacks the number, name or time of an event.
func (l *Line) Check() error {
	if l.Event == 0 || l.Name == "" || l.Time.IsZero() {
		return &LineError{Reason: "it lacks an event number, a name or a time"}
	}
	return nil
}

// Time is the time of a line. In JSON it has the format in which processes log.
type Time struct{ time.Time }

// UnmarshalJSON parses the format in which processes log times.
func (t *Time) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	at, err := time.Parse(timeLayout, s)
	if err != nil {
		return err
	}
	t.Time = at
	return nil
}

// MarshalJSON writes the format in which processes log times.
func (t Time) MarshalJSON() ([]byte, error) {
	return json.Marshal(t.Format(timeLayout))
}

// parseLine parses one line. If words precede the JSON object, the last of them
// is the name of the instance and overrides the parameter.
func parseLine(raw []byte, instance string) (Line, error) {
	offset := bytes.IndexByte(raw, '{')
	if offset < 0 {
		return Line{}, &LineError{Reason: "it contains no JSON object"}
	}
	l := Line{}
	if err := json.Unmarshal(raw[offset:], &l); err != nil {
		return Line{}, &LineError{Reason: err.Error()}
	}
	l.Instance = instance
	if words := strings.Fields(string(raw[:offset])); len(words) > 0 {
		l.Instance = words[len(words)-1]
	}
	return l, l.Check()
}

// Read returns the lines of a log and the number of lines that could not be
// parsed, which it skips. If the log cannot be read to its end, it returns the
// lines up to there and a *ReadError.
func Read(r io.Reader, instance string) (lines []Line, unreadable int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineLength)
	for sc.Scan() {
		if len(bytes.TrimSpace(sc.Bytes())) == 0 {
			continue
		}
		l, err := parseLine(sc.Bytes(), instance)
		if err != nil {
			unreadable++
			continue
		}
		lines = append(lines, l)
	}
	if err := sc.Err(); err != nil {
		return lines, unreadable, &ReadError{Instance: instance, Cause: err}
	}
	return lines, unreadable, nil
}

// LineError reports a line that is not an event of a process.
type LineError struct {
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	return "not an event of a process: " + e.Reason
}

// ReadError reports a log that cannot be read to its end.
type ReadError struct {
	Instance string
	Cause    error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("log of %s: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
