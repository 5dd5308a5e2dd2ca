package report

import "time"

// Window is a pair of times over which the burn rate is evaluated. An alert
// requires both burn rates to be at or above the threshold: the long one shows
// that a significant part of the budget is spent, the short one ends the alert
// soon after its cause.
type Window struct {
	Name string
	// Long is the time over which the burn rate is reported.
	Long time.Duration
	// Short is the shorter time; zero if there is none.
	Short time.Duration
	// MinCoverage is how much of the window the samples must cover for an alert.
	MinCoverage time.Duration
	// Threshold is the lowest burn rate that raises an alert.
	Threshold float64
}

const day = 24 * time.Hour

// Windows returns the windows of a report, the shortest first. At its threshold,
// a window spends 2%, 5% or 10% of an error budget of 30 days.
func Windows() []Window {
	return []Window{
		{Name: "1h", Long: time.Hour, Short: 5 * time.Minute, MinCoverage: 5 * time.Minute, Threshold: 14.4},
		{Name: "6h", Long: 6 * time.Hour, Short: 30 * time.Minute, MinCoverage: 30 * time.Minute, Threshold: 6},
		{Name: "3d", Long: 3 * day, MinCoverage: 6 * time.Hour, Threshold: 1},
	}
}
