package ctl

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/corianderbay/corianderbay/eventlog"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
)

// maxContext bounds the time around a flow's lines in which other lines are shown.
const maxContext = time.Hour

// logExplanation is the output of "log explain".
type logExplanation struct {
	Lines []eventlog.Line `json:"lines"`
	// Unreadable is the number of skipped lines.
	Unreadable int `json:"unreadable"`
}

func newLogExplainCommand() commandSpec {
	set := setting.NewSet()
	caller := set.String("caller", "", "Caller's IP address, with or without the port.")
	address := set.String("address", "", "Address and port of the route.")
	from := set.String("from", "", "Start of the time range, as 2006-01-02T15:04:05Z.")
	to := set.String("to", "", "End of the time range.")
	around := set.Duration("context", 3*time.Second, 0, maxContext, "How long before and after the flow's lines other lines are shown.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   "log",
		use:     "explain [FILE...]",
		short:   "Show from logs what happened to a flow and what state the processes had",
		example: "log explain front-1.log side-*.log --caller 100.64.0.7:40001",
		args:    cobra.ArbitraryArgs,
		set:     set,
		run: func(_ context.Context, s ioStreams, args []string) error {
			q := eventlog.Query{Caller: *caller, Address: *address, Context: *around}
			var err error
			if q.From, err = parseTime(*from); err != nil {
				return &setting.UsageError{Cause: err}
			}
			if q.To, err = parseTime(*to); err != nil {
				return &setting.UsageError{Cause: err}
			}
			out, err := s.readLogs(args, q)
			if err != nil {
				return err
			}
			if *asJSON {
				return s.printJSON(out)
			}
			return s.printLogExplanation(out)
		},
	}
}

// parseTime parses a time. An empty text yields the zero value.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// readLogs reads the files, or standard input if there are none, and selects the
// lines that match the query.
func (s ioStreams) readLogs(files []string, q eventlog.Query) (logExplanation, error) {
	if len(files) == 0 {
		files = []string{standardStream}
	}
	var all []eventlog.Line
	out := logExplanation{Lines: []eventlog.Line{}}
	for _, file := range files {
		lines, bad, err := s.readLog(file)
		if err != nil {
			return out, err
		}
		all = append(all, lines...)
		out.Unreadable += bad
	}
	out.Lines = append(out.Lines, eventlog.Select(all, q)...)
	return out, nil
}

func (s ioStreams) readLog(file string) ([]eventlog.Line, int, error) {
	if file == standardStream {
		return eventlog.Read(s.in, standardStream)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, 0, &ReadError{File: file, Cause: err}
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return eventlog.Read(io.Reader(bytes.NewReader(raw)), name)
}

// printLogExplanation prints one line per event.
func (s ioStreams) printLogExplanation(out logExplanation) error {
	if out.Unreadable > 0 {
		if err := s.printf("%d unreadable lines were skipped\n", out.Unreadable); err != nil {
			return err
		}
	}
	if len(out.Lines) == 0 {
		return s.printf("no matching lines: check the time range and the address, and whether lines were omitted (lines-omitted)\n")
	}
	for _, l := range out.Lines {
		if err := s.printf("%s %s %s\n", l.Time.Format("15:04:05.000"), l.Instance, eventlog.Describe(l)); err != nil {
			return err
		}
	}
	return nil
}
