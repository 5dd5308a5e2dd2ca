package demo

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/corianderbay/corianderbay/balancer"
	"github.com/corianderbay/corianderbay/sidecar"
	"github.com/corianderbay/corianderbay/standin"
)

// Report holds the results of a demo.
type Report struct {
	// StartSeconds is the time in seconds until the bundle was active in every process.
	StartSeconds float64         `json:"startseconds"`
	Total        standin.Result  `json:"total"`
	Services     []ServiceReport `json:"services"`
	// Sidecars is sorted by name.
	Sidecars  []SidecarReport   `json:"sidecars"`
	Balancers []balancer.Counts `json:"balancers"`
	Audit     standin.Audit     `json:"audit"`
}

// ServiceReport holds the results of the callers of one service.
type ServiceReport struct {
	Service string         `json:"service"`
	Result  standin.Result `json:"result"`
}

// SidecarReport holds the counts of one sidecar and its upstream.
type SidecarReport struct {
	Name string `json:"name"`
	// Completed is the number of intact answers that callers received from the upstream.
	Completed int            `json:"whole"`
	Counts    sidecar.Counts `json:"counts"`
}

func compareSidecars(a, b SidecarReport) int {
	return cmp.Compare(a.Name, b.Name)
}

// Clean reports whether every request was completed, no non-idempotent request
// ran more than once, and there were no false refusals.
func (r Report) Clean() bool {
	return r.Total.Clean() && r.Audit.Clean()
}

// Write writes the report as a table. It returns *WriteError.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tflows\trequests\twhole\trefusals\tbroken\tp50 ms\tp99 ms\t")
	for _, s := range r.Services {
		writeResult(t, s.Service, s.Result)
	}
	writeResult(t, "all", r.Total)
	fmt.Fprintln(t)
	fmt.Fprintln(t, "upstream\tanswers\tdelivered\tpassed\topen\t")
	for _, s := range r.Sidecars {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t\n", s.Name, s.Completed, s.Counts.Delivered, s.Counts.Passed, s.Counts.Open)
	}
	if err := t.Flush(); err != nil {
		return &WriteError{Cause: err}
	}
	verdict := "every caller got its own whole answers"
	if !r.Clean() {
		verdict = "NOT every caller got its own whole answers"
	}
	_, err := fmt.Fprintf(w, "\nstarted in %.2f s, load took %.2f s; %d runs, %d doubled, %d false refusals\n%s\n",
		r.StartSeconds, r.Total.Seconds, r.Audit.Runs, r.Audit.DoubleRuns, r.Audit.FalseRefusals, verdict)
	if err != nil {
		return &WriteError{Cause: err}
	}
	return nil
}

func writeResult(w io.Writer, name string, r standin.Result) {
	refusals := 0
	for _, n := range r.Refusals {
		refusals += n
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n",
		name, r.Flows, r.Requests, r.Completed, refusals, r.Broken, r.P50, r.P99)
}
