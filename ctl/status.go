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
	// maxStatus is the size of a status answer that is read, in bytes.
	maxStatus = 1 << 20
	// maxQuestions bounds how many processes are asked at once.
	maxQuestions = 16
	shortHash    = 12
)

// answer is what one process said, or why it said nothing.
type answer struct {
	Address string          `json:"address"`
	Status  operator.Status `json:"status"`
	// Fault is empty when the process answered.
	Fault string `json:"fault,omitempty"`
}

func newStatusProgram(cfg Config) program {
	set := setting.NewSet()
	asJSON := set.Bool("json", false, "Print JSON.")
	return program{
		use:     "status ADDRESS...",
		short:   "Ask processes at their operator addresses what they do",
		example: "status 10.0.0.1:9100 10.0.0.2:9100",
		args:    cobra.MinimumNArgs(1),
		set:     set,
		run: func(ctx context.Context, s stream, args []string) error {
			m := iter.Mapper[string, answer]{MaxGoroutines: maxQuestions}
			answers := m.Map(args, func(address *string) answer { return ask(ctx, cfg.Client, *address) })
			if err := s.printAnswers(answers, *asJSON); err != nil {
				return err
			}
			return silentOf(answers)
		},
	}
}

// ask returns the status of one process.
func ask(ctx context.Context, client *http.Client, address string) answer {
	a := answer{Address: address}
	if err := fetch(ctx, client, address, "/status", &a.Status); err != nil {
		a.Fault = err.Error()
	}
	return a
}

// fetch fills v from the JSON that a process answers for the path with its query.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(v); err != nil {
		return &ReadError{File: address, Cause: err}
	}
	return nil
}

func (s stream) printAnswers(answers []answer, asJSON bool) error {
	if asJSON {
		return s.printJSON(answers)
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tPROCESS\tROLE\tVERSION\tHASH\tUPTIME\tFLOWS\tREADY")
	for _, a := range answers {
		if a.Fault != "" {
			fmt.Fprintf(w, "%s\t%s\n", a.Address, a.Fault)
			continue
		}
		st := a.Status
		uptime := time.Duration(st.Uptime * float64(time.Second)).Truncate(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%t\n", a.Address, st.Process, st.Role, st.Version,
			st.Hash[:min(shortHash, len(st.Hash))], uptime, st.Flows, st.Ready)
	}
	if err := w.Flush(); err != nil {
		return &WriteError{File: standard, Cause: err}
	}
	return s.printf("%s", b.String())
}

// silentOf reports *StatusError when a process did not answer.
func silentOf(answers []answer) error {
	var silent []string
	for _, a := range answers {
		if a.Fault != "" {
			silent = append(silent, a.Address)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return &StatusError{Addresses: silent}
}
