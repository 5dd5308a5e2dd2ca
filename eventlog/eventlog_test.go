package eventlog_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/eventlog"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/shoenig/test/must"
)

// TestSelectAndDescribe selects the lines of the flow given by each case's
// arguments and compares their descriptions with the expected ones.
func TestSelectAndDescribe(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories.txt", func(t *testing.T, d *datadriven.TestData) string {
		var q eventlog.Query
		var around string
		d.MaybeScanArgs(t, "caller", &q.Caller)
		d.MaybeScanArgs(t, "address", &q.Address)
		if d.MaybeScanArgs(t, "context", &around); around != "" {
			var err error
			q.Context, err = time.ParseDuration(around)
			must.NoError(t, err)
		}
		var from, to string
		d.MaybeScanArgs(t, "from", &from)
		d.MaybeScanArgs(t, "to", &to)
		q.From, q.To = parseTimeOfDay(t, from), parseTimeOfDay(t, to)
		lines, bad, err := eventlog.Read(strings.NewReader(d.Input), "standard")
		must.NoError(t, err)
		var b strings.Builder
		for _, l := range eventlog.Select(lines, q) {
			fmt.Fprintf(&b, "%s %s %s\n", l.Time.Format("05.000"), l.Instance, eventlog.Describe(l))
		}
		fmt.Fprintf(&b, "unreadable: %d\n", bad)
		return b.String()
	})
}

// parseTimeOfDay parses a time on the day of the test data; empty text yields the
// zero value.
func parseTimeOfDay(t *testing.T, text string) time.Time {
	t.Helper()
	if text == "" {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339, "2026-06-10T"+text+"Z")
	must.NoError(t, err)
	return at
}

// TestEveryReasonIsDescribed guards against a reason of package steer for which
// Describe has no text.
func TestEveryReasonIsDescribed(t *testing.T) {
	for _, r := range steer.Reasons() {
		text := eventlog.Describe(eventlog.Line{Event: event.PacketDropped, Reason: r.String()})
		must.StrNotContains(t, text, "since of ", must.Sprint(r))
	}
}

// TestOverlongLineIsReported reads a line that exceeds the maximum length.
func TestOverlongLineIsReported(t *testing.T) {
	_, _, err := eventlog.Read(strings.NewReader(strings.Repeat("x", 2<<20)), "a")
	var bad *eventlog.ReadError
	must.True(t, errors.As(err, &bad))
	must.Eq(t, "a", bad.Instance)
}
