// Command compare prints tables that compare the load-balancing policies on the
// same seeds and arrivals, with 95% confidence intervals.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/corianderbay/corianderbay/compare"
)

func main() {
	seeds := flag.Int("seeds", 10, "number of seeds")
	workers := flag.Int("workers", 4, "number of concurrent runs")
	flag.Parse()
	for _, c := range compare.Cases(compare.FullDurations()) {
		if err := c.Run(*seeds, *workers).Write(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
