package ctl

import (
	"context"
	"net/http"
	"text/tabwriter"

	"github.com/corianderbay/corianderbay/flow"
	"github.com/corianderbay/corianderbay/operator"
	"github.com/corianderbay/corianderbay/route"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/spf13/cobra"
)

// flowExplanation is the output of "flow explain".
type flowExplanation struct {
	route.Explanation
	// Answers holds the results of the queried processes in the order of --ask.
	Answers []flowResult `json:"answers"`
}

// flowResult is the answer of one process, or the error of its request.
type flowResult struct {
	Address string `json:"address"`
	operator.FlowAnswer
	Error string `json:"error"`
}

func newFlowExplainCommand(cfg Config) commandSpec {
	set := setting.NewSet()
	ask := set.Strings("ask", "", "Operator addresses of balancers and sidecars to query for the current owner of the flow.")
	asJSON := set.Bool("json", false, "Print JSON.")
	return commandSpec{
		group:   "flow",
		use:     "explain BUNDLE PROTOCOL CALLER ADDRESS",
		short:   "Explain the order of a flow's candidates and show its owner",
		example: "flow explain bundle.yaml tcp 10.41.0.9:40000 203.0.113.10:7443 --ask 10.41.0.2:9100",
		args:    cobra.ExactArgs(4),
		set:     set,
		run: func(ctx context.Context, s ioStreams, args []string) error {
			b, err := s.loadBundle(args[0])
			if err != nil {
				return err
			}
			key, err := operator.ParseKey(args[1], args[2], args[3])
			if err != nil {
				return &setting.UsageError{Cause: err}
			}
			e, err := route.NewView(b).Explain(key)
			if err != nil {
				return err
			}
			out := flowExplanation{Explanation: e}
			for _, address := range *ask {
				out.Answers = append(out.Answers, fetchFlow(ctx, cfg.Client, address, key))
			}
			if *asJSON {
				return s.printJSON(out)
			}
			return s.printFlowExplanation(out)
		},
	}
}

// fetchFlow queries one process for the state of the flow.
func fetchFlow(ctx context.Context, client *http.Client, address string, k flow.Key) flowResult {
	a := flowResult{Address: address}
	if err := fetch(ctx, client, address, operator.FlowQuery(k), &a.FlowAnswer); err != nil {
		a.Error = err.Error()
	}
	return a
}

// printFlowExplanation prints the candidates and the results as tables.
func (s ioStreams) printFlowExplanation(e flowExplanation) error {
	from := e.DataCentre
	if from == "" {
		from = "no data centre"
	}
	if err := s.printf("service %s, caller near %s\n\n", e.Service, from); err != nil {
		return err
	}
	t := ioStreams{in: s.in, out: tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)}
	if err := t.printf("upstream\tservice\tdata centre\tdistance\tweight\tscore\tleaving\n"); err != nil {
		return err
	}
	for _, c := range e.Candidates {
		if err := t.printf("%s\t%s\t%s\t%d\t%d\t%.4g\t%t\n",
			c.Upstream, c.Service, c.DataCentre, c.Distance, c.Weight, c.Score, c.Leaving); err != nil {
			return err
		}
	}
	if len(e.Answers) > 0 {
		if err := t.printf("\nprocess\trole\tversion\towned\towner\terror\n"); err != nil {
			return err
		}
	}
	for _, a := range e.Answers {
		name := a.Process
		if name == "" {
			name = a.Address
		}
		if err := t.printf("%s\t%s\t%d\t%t\t%s\t%s\n", name, a.Role, a.Version, a.Owned, a.Owner, a.Error); err != nil {
			return err
		}
	}
	return t.out.(*tabwriter.Writer).Flush()
}
