package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// burnOutput is the content of a burn report.
type burnOutput struct {
	Burns   []BurnRow `json:"burns"`
	Missing []string  `json:"missing"`
}

func (o burnOutput) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return writeJSON(w, o)
	}
	t := newTable(w)
	t.row("SERVICE", "OBJECTIVE", "TARGET", "WINDOW", "BURN", "SHORT", "BAD", "TOTAL", "SEEN", "ALERT")
	for _, b := range o.Burns {
		t.row(
			b.Service, b.Objective, fmt.Sprint(b.Target), b.Window,
			fmt.Sprintf("%.2f", b.Long), fmt.Sprintf("%.2f", b.Short),
			fmt.Sprint(b.Bad), fmt.Sprint(b.Total),
			formatSeconds(b.Coverage), yesNo(b.Alert),
		)
	}
	return t.finish(o.Missing)
}

// spreadOutput is the content of a spread report.
type spreadOutput struct {
	Services []SpreadRow `json:"services"`
	Missing  []string    `json:"missing"`
}

func (o spreadOutput) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return writeJSON(w, o)
	}
	t := newTable(w)
	t.row("SERVICE", "UPSTREAMS", "CONNECTIONS", "WORST", "SLOTS", "WORST", "OPENED", "BROKEN", "REFUSED", "WAIT P50", "P99", "HOPS", "P99")
	for _, r := range o.Services {
		t.row(
			r.Service, fmt.Sprint(r.Upstreams),
			fmt.Sprintf("%.3f", r.Connections.Mean), fmt.Sprintf("%.3f", r.Connections.Worst),
			fmt.Sprintf("%.3f", r.Busy.Mean), fmt.Sprintf("%.3f", r.Busy.Worst),
			fmt.Sprint(r.Opened), fmt.Sprint(r.Broken), refusals(r.Refused),
			formatMicros(r.WaitP50), formatMicros(r.WaitP99),
			fmt.Sprintf("%.2f", r.Hops), fmt.Sprint(r.HopsP99),
		)
	}
	return t.finish(o.Missing)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) table {
	return table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (t table) row(cells ...string) {
	// Rows are buffered; Flush writes them and returns the error.
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// finish lists the processes that could not be read below the table, and flushes it.
func (t table) finish(missing []string) error {
	for _, m := range missing {
		t.row("not read: " + m)
	}
	return t.w.Flush()
}

func refusals(refused []Refusal) string {
	if len(refused) == 0 {
		return "0"
	}
	parts := make([]string, 0, len(refused))
	for _, r := range refused {
		parts = append(parts, fmt.Sprintf("%s=%d", r.Reason, r.Count))
	}
	return strings.Join(parts, ",")
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

func formatMicros(n int64) string {
	return (time.Duration(n) * time.Microsecond).String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
