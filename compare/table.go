package compare

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/corianderbay/corianderbay/load"
	"github.com/sourcegraph/conc/pool"
)

// Contender is a policy with the name that tables give it.
type Contender struct {
	Name   string
	Policy load.Policy // nil is ideal
}

// Contenders returns the policies that are compared, ideal last.
func Contenders() []Contender {
	return []Contender{
		{Name: "hashing", Policy: load.Hashing{}},
		{Name: "least known", Policy: load.TwoChoices{}},
		{Name: "accept or pass", Policy: load.AcceptOrPass{}},
		{Name: "ideal", Policy: nil},
	}
}

// Column is one measure of a table.
type Column struct {
	Name  string
	Value func(*Result) float64
}

// Table is a case with the values of each contender on each seed.
type Table struct {
	Case Case
	Rows []Row
}

// Row holds the values of one contender.
type Row struct {
	Contender Contender
	// Values holds for each column the value of each seed, from seed 1 on.
	Values [][]float64
}

// Interval returns the mean and the confidence interval of a column.
func (r Row) Interval(column int) Interval {
	return NewInterval(r.Values[column])
}

// Run runs a case for each contender on seeds 1 to seeds, with at most
// workers runs at a time.
func (c Case) Run(seeds, workers int) Table {
	t := Table{Case: c}
	p := pool.New().WithMaxGoroutines(workers)
	for _, contender := range c.Contenders {
		row := newRow(contender, len(c.Columns), seeds)
		t.Rows = append(t.Rows, row)
		for s := range seeds {
			p.Go(func() { c.fill(row, s) })
		}
	}
	p.Wait()
	return t
}

func newRow(c Contender, columns, seeds int) Row {
	row := Row{Contender: c, Values: make([][]float64, columns)}
	for i := range row.Values {
		row.Values[i] = make([]float64, seeds)
	}
	return row
}

// fill runs one seed. Each seed has its own element, so calls may be concurrent.
func (c Case) fill(row Row, seed int) {
	res := Run(c.Config.WithSeed(uint64(seed + 1)).WithPolicy(row.Contender.Policy))
	for i, column := range c.Columns {
		row.Values[i][seed] = column.Value(res)
	}
}

// Row returns the row of a contender by its name, and whether there is one.
func (t Table) Row(name string) (Row, bool) {
	for _, r := range t.Rows {
		if r.Contender.Name == name {
			return r, true
		}
	}
	return Row{}, false
}

// Write prints the table.
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
		fmt.Fprintf(tw, "%s\t%s\n", r.Contender.Name, strings.Join(cells, "\t"))
	}
	fmt.Fprintln(tw)
	return tw.Flush()
}
