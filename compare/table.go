package compare

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/corianderbay/corianderbay/load"
	"github.com/sourcegraph/conc/pool"
)

// NamedPolicy is a policy with its name in tables.
type NamedPolicy struct {
	Name   string
	Policy load.Policy // nil selects the ideal, see Config.Policy
}

// Policies returns the compared policies. The ideal is the last one.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{Name: "hashing", Policy: load.Hashing{}},
		{Name: "least known", Policy: load.TwoChoices{}},
		{Name: "accept or pass", Policy: load.AcceptOrPass{}},
		{Name: "ideal", Policy: nil},
	}
}

// Column is one measured quantity of a table.
type Column struct {
	Name  string
	Value func(*Result) float64
}

// Table holds the values of a case for each policy and seed.
type Table struct {
	Case Case
	Rows []Row
}

// Row holds the values of one policy.
type Row struct {
	Policy NamedPolicy
	// Values holds for each column one value per seed, from seed 1 on.
	Values [][]float64
}

// Interval returns the mean and confidence interval of the column with the index.
func (r Row) Interval(column int) Interval {
	return NewInterval(r.Values[column])
}

// Run runs a case for each policy with seeds 1 to seeds. At most workers runs
// are active at a time.
func (c Case) Run(seeds, workers int) Table {
	t := Table{Case: c}
	p := pool.New().WithMaxGoroutines(workers)
	for _, policy := range c.Policies {
		row := newRow(policy, len(c.Columns), seeds)
		t.Rows = append(t.Rows, row)
		for s := range seeds {
			p.Go(func() { c.runSeed(row, s) })
		}
	}
	p.Wait()
	return t
}

func newRow(c NamedPolicy, columns, seeds int) Row {
	row := Row{Policy: c, Values: make([][]float64, columns)}
	for i := range row.Values {
		row.Values[i] = make([]float64, seeds)
	}
	return row
}

// runSeed runs one seed and stores its values. Calls with different seeds may be
// concurrent, since each writes its own elements.
func (c Case) runSeed(row Row, seed int) {
	res := Run(c.Config.WithSeed(uint64(seed + 1)).WithPolicy(row.Policy.Policy))
	for i, column := range c.Columns {
		row.Values[i][seed] = column.Value(res)
	}
}

// Row returns the row of the policy with the name, and whether it exists.
func (t Table) Row(name string) (Row, bool) {
	for _, r := range t.Rows {
		if r.Policy.Name == name {
			return r, true
		}
	}
	return Row{}, false
}

// Write writes the table as aligned text.
func (t Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\n", t.Case.Name)
	names := make([]string, 0, len(t.Case.Columns))
	for _, c := range t.Case.Columns {
		names = append(names, c.Name)
	}
	fmt.Fprintf(tw, "policy\t%s\n", strings.Join(names, "\t"))
	for _, r := range t.Rows {
		cells := make([]string, 0, len(r.Values))
		for i := range r.Values {
			cells = append(cells, r.Interval(i).String())
		}
		fmt.Fprintf(tw, "%s\t%s\n", r.Policy.Name, strings.Join(cells, "\t"))
	}
	fmt.Fprintln(tw)
	return tw.Flush()
}
