package report

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// maxConcurrentReads is the number of processes that are fetched concurrently.
	maxConcurrentReads = 16
	// varsPath is the path under which expvar publishes.
	varsPath = "/debug/vars"
)

// Round holds one sample of each process, taken at the same time.
type Round struct {
	// At is when the last process of the round responded or failed.
	At time.Time
	// Snapshots are in the order of the addresses, without processes that could not be read.
	Snapshots []Snapshot
	// Missing holds an error for each process that could not be read.
	Missing []error
}

// collect samples the processes cfg.Samples times and calls onRound after each
// round. It returns a *NoProcessError if no process responded in any round.
func collect(ctx context.Context, cfg Config, onRound func(Round)) error {
	answered := false
	var last Round
	for i := range cfg.Samples {
		if i > 0 {
			if err := cfg.Timer.Sleep(ctx, cfg.Interval); err != nil {
				return err
			}
		}
		last = fetchAll(ctx, cfg)
		answered = answered || len(last.Snapshots) > 0
		onRound(last)
	}
	if !answered {
		return &NoProcessError{Missing: last.Missing}
	}
	return nil
}

// fetchAll reads all processes concurrently.
func fetchAll(ctx context.Context, cfg Config) Round {
	type answer struct {
		snapshot Snapshot
		err      error
	}
	answers := make([]answer, len(cfg.Addresses))
	p := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for i, address := range cfg.Addresses {
		p.Go(func() {
			answers[i].snapshot, answers[i].err = fetch(ctx, cfg, address)
		})
	}
	p.Wait()
	r := Round{At: cfg.Timer.Now()}
	for _, a := range answers {
		if a.err != nil {
			r.Missing = append(r.Missing, a.err)
			continue
		}
		r.Snapshots = append(r.Snapshots, a.snapshot)
	}
	return r
}

// varsPage is the part of the expvar page that a report uses.
type varsPage struct {
	Snapshot Snapshot `json:"corianderbay"`
}

func fetch(ctx context.Context, cfg Config, address string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+varsPath, nil)
	if err != nil {
		return Snapshot{}, &FetchError{Address: address, cause: err}
	}
	res, err := cfg.Client.Do(req)
	if err != nil {
		return Snapshot{}, &FetchError{Address: address, cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Snapshot{}, &FetchError{Address: address, Status: res.StatusCode}
	}
	var p varsPage
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return Snapshot{}, &FetchError{Address: address, cause: err}
	}
	// Without the variable on the page, the snapshot is empty and fails the check.
	if err := p.Snapshot.Check(); err != nil {
		return Snapshot{}, &FetchError{Address: address, cause: err}
	}
	return p.Snapshot, nil
}
