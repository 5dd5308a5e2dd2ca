// Command lab3 plays the cases of the third review with the project's programs as separate
// processes, and stand-ins for the store, the routers, clients and backends.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// extraFlags are added to the commands of the deploy file; only for looking into a case by hand.
var extraFlags []string

// scenario plays one case. trouble is false for the run without the disruption.
type scenario func(l *record, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"stale": playStale,
	"moved": playMoved,
}

func main() {
	play := scenarios[os.Args[1]]
	if os.Getenv("LAB_DEBUG") != "" {
		extraFlags = []string{"--log-level", "debug"}
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case len(broken) > 0:
		rec.line("result: %d times broken", len(broken))
		for _, text := range broken[:min(5, len(broken))] {
			fmt.Println(text)
		}
		os.Exit(1)
	}
	rec.line("result: held")
	fmt.Println("held")
}
