package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"
)

const (
	// maxResponseSize bounds the bytes that are read of a response.
	maxResponseSize = 1 << 20
	// maxConcurrentRequests bounds the processes that are queried concurrently.
	maxConcurrentRequests = 16
	shortHashLength       = 12
)

// statusResult is the status of one process, or the error of its request.
type statusResult struct {
	Address string          `json:"address"`
	Status  operator.Status `json:"status"`
	// Fault is the error text, empty if the process answered.
	Fault string `json:"fault,omitempty"`
}

func newStatusCommand(cfg Config) commandSpec {
	set := setting.NewSet()
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		use:     "status ADDRESS...",
		short:   "Show the status of processes by their operator addresses",
		example: "status 10.0.0.1:9100 10.0.0.2:9100",
		args:    cobra.MinimumNArgs(1),
		set:     set,
		run: func(ctx context.Context, s ioStreams, args []string) error {
			m := iter.Mapper[string, statusResult]{MaxGoroutines: maxConcurrentRequests}
			results := m.Map(args, func(address *string) statusResult { return fetchStatus(ctx, cfg.Client, *address) })
			if err := s.printStatuses(results, *asJSON); err != nil {
				return err
			}
			return unreachableError(results)
		},
	}
}

// fetchStatus requests the status of one process.
func fetchStatus(ctx context.Context, client *http.Client, address string) statusResult {
	a := statusResult{Address: address}
	if err := fetch(ctx, client, address, "/status", &a.Status); err != nil {
		a.Fault = err.Error()
	}
	return a
}

// fetch requests path, which may include a query, from a process and decodes the
// JSON response into v.
func fetch(ctx context.Context, client *http.Client, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return &ReadError{File: address, Cause: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &ReadError{File: address, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &ResponseError{Address: address, Status: resp.Status}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(v); err != nil {
		return &ReadError{File: address, Cause: err}
	}
	return nil
}

func (s ioStreams) printStatuses(results []statusResult, asJSON bool) error {
	if asJSON {
		return s.printJSON(results)
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tPROCESS\tROLE\tVERSION\tHASH\tUPTIME\tFLOWS\tREADY")
	for _, a := range results {
		if a.Fault != "" {
			fmt.Fprintf(w, "%s\t%s\n", a.Address, a.Fault)
			continue
		}
		st := a.Status
		uptime := time.Duration(st.Uptime * float64(time.Second)).Truncate(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%t\n", a.Address, st.Process, st.Role, st.Version,
			st.Hash[:min(shortHashLength, len(st.Hash))], uptime, st.Flows, st.Ready)
	}
	if err := w.Flush(); err != nil {
		return &WriteError{File: standardStream, Cause: err}
	}
	return s.printf("%s", b.String())
}

// unreachableError returns *StatusError if a request failed.
func unreachableError(results []statusResult) error {
	var unreachable []string
	for _, a := range results {
		if a.Fault != "" {
			unreachable = append(unreachable, a.Address)
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	return &StatusError{Addresses: unreachable}
}
