package report

import "time"

// Window is a pair of times over which burn is judged. An alert needs both to
// be above the threshold: the long one for its weight, the short one so that
// the alert ends soon after its cause.
type Window struct {
	Name string
	// Long is the time over which burn is reported.
	Long time.Duration
	// Short is the shorter time; zero when there is none.
	Short time.Duration
	// MinCoverage is how much of the window must have been seen for an alert.
	MinCoverage time.Duration
	// Threshold is the burn from which operators act.
	Threshold float64
}

const day = 24 * time.Hour

// Windows returns the windows of a report, the shortest first. The thresholds
// stand for 2%, 5% and 10% of a budget of 30 days.
func Windows() []Window {
	return []Window{
		{Name: "1h", Long: time.Hour, Short: 5 * time.Minute, MinCoverage: 5 * time.Minute, Threshold: 14.4},
		{Name: "6h", Long: 6 * time.Hour, Short: 30 * time.Minute, MinCoverage: 30 * time.Minute, Threshold: 6},
		{Name: "3d", Long: 3 * day, MinCoverage: 6 * time.Hour, Threshold: 1},
	}
}
