package compare

import "time"

// Case is one workload with its faults, on which policies are compared.
type Case struct {
	Name     string
	Config   Config
	Columns  []Column
	Policies []NamedPolicy
}

// Durations holds the measured time of the runs, in virtual time.
type Durations struct {
	// Short is the measured time of cases with short flows.
	Short time.Duration
	// Long is the measured time of cases with long flows.
	Long time.Duration
	// Recovery is the maximum time to wait for balance after an upstream was replaced.
	Recovery time.Duration
}

// FullDurations returns the durations for the tables in the documentation.
func FullDurations() Durations {
	return Durations{Short: 10 * time.Minute, Long: 30 * time.Minute, Recovery: 24 * time.Hour}
}

// ReducedDurations returns shorter durations for tests.
func ReducedDurations() Durations {
	return Durations{Short: 100 * time.Second, Long: 3 * time.Minute, Recovery: 3 * time.Hour}
}

const (
	meanServiceTime    = 100 * time.Millisecond
	normalLoad         = 0.7
	warmup             = 20 * time.Second
	longWarmup         = 10 * time.Minute
	longFlowCount      = 14_000
	sessionLifetime    = 20 * time.Minute
	jobBoardLifetime   = 4 * time.Hour
	rotulosFarHop      = 4 * time.Millisecond
	flapPeriod         = 2 * time.Second
	slowFactor         = 4
	faultyUpstream     = 2
	recoveredImbalance = 1.05
	// hourlyLengthFactor lengthens runs with hourly changes, so that they contain
	// several changes.
	hourlyLengthFactor = 6
)

// Cases returns all cases.
func Cases(s Durations) []Case {
	cases := []Case{
		shortCase("short flows, 70% load, 7 upstreams", s),
		shortCase("short flows, 70% load, one upstream four times slower", s, Slow{Upstream: faultyUpstream, Factor: slowFactor}),
		shortCase("short flows, 70% load, one upstream reports no load", s, ReportZeroLoad{Upstream: faultyUpstream}),
		shortCase("short flows, 70% load, one upstream flaps each 2 s", s, Flap{Upstream: faultyUpstream, Period: flapPeriod}),
		smallServiceCase(s),
		callerShiftCase(),
		steadyCase(s),
		replaceCase(s),
		overloadCase("load of 1.5 for a minute, limits on", true),
		overloadCase("load of 1.5 for a minute, limits off", false),
		placeOutageCase(s),
		massRestartCase(s),
		shortMassRestartCase(),
	}
	return append(cases, rollingReplaceCases(s)...)
}

func shortCase(name string, s Durations, faults ...Fault) Case {
	return Case{
		Name:     name,
		Policies: Policies(),
		Columns:  shortColumns(),
		Config: Config{
			Traffic: ShortFlows{Load: normalLoad, Mean: meanServiceTime},
			Faults:  faults,
			Warmup:  warmup,
			Length:  s.Short,
		},
	}
}

// smallServiceCase has a service of three upstreams, one in each data centre.
func smallServiceCase(s Durations) Case {
	c := shortCase("short flows, 70% load, 3 upstreams in 3 data centres", s)
	c.Config.Places = []int{1, 1, 1}
	return c
}

const (
	shiftAt     = time.Minute
	shiftLength = time.Minute
)

// callerShiftCase places 60% of the callers near one data centre for a minute,
// which loads its 3 upstreams to 98%.
func callerShiftCase() Case {
	c := shortCase("short flows, 70% load, 60% of callers near one data centre for a minute", Durations{})
	c.Columns = callerShiftColumns()
	c.Config.Shift = Shift{At: shiftAt, Duration: shiftLength, Callers: []float64{0.6, 0.2, 0.2}}
	c.Config.Length = shiftAt + shiftLength + time.Minute - warmup
	return c
}

func steadyCase(s Durations) Case {
	return Case{
		Name:     "14,000 long flows on 7 upstreams, steady",
		Policies: Policies(),
		Columns:  spreadColumns(),
		Config: Config{
			Traffic: LongFlows{Flows: longFlowCount, Mean: sessionLifetime},
			Warmup:  longWarmup,
			Length:  s.Long,
		},
	}
}

func replaceCase(s Durations) Case {
	recovered := func(sample Sample) bool {
		return sample.At > longWarmup+reconnectPeriod && sample.Imbalance < recoveredImbalance
	}
	return Case{
		Name:     "14,000 long flows, one upstream replaced by an empty one",
		Policies: Policies(),
		Columns:  replaceColumns(),
		Config: Config{
			Traffic:  LongFlows{Flows: longFlowCount, Mean: sessionLifetime},
			Faults:   []Fault{Replace{Upstream: faultyUpstream, At: longWarmup}},
			Warmup:   longWarmup,
			Length:   s.Recovery,
			StopWhen: recovered,
		},
	}
}

const (
	surgeAt             = time.Minute
	surgeLength         = time.Minute
	surgeLoad           = 1.5
	callerTimeout       = 2 * time.Second
	overloadMaxMinRatio = 30
	afterSurge          = 30 * time.Second
	restartDuration     = 5 * time.Second
)

func overloadCase(name string, limits bool) Case {
	return Case{
		Name:     name,
		Policies: Policies()[:3],
		Columns:  overloadColumns(),
		Config: Config{
			Limits: limits,
			Traffic: ShortFlows{
				Load:        normalLoad,
				Mean:        meanServiceTime,
				MaxMinRatio: overloadMaxMinRatio,
				Timeout:     callerTimeout,
				MaxAttempts: 2,
				Surge:       surgeLoad / normalLoad,
				SurgeAt:     surgeAt,
				SurgeLength: surgeLength,
			},
			Warmup: warmup,
			Length: surgeAt + surgeLength + afterSurge - warmup,
		},
	}
}

// placeOutageCase takes one place offline for two minutes.
func placeOutageCase(s Durations) Case {
	return Case{
		Name:     "14,000 long flows, one place of 2 upstreams lost for 2 minutes",
		Policies: Policies()[:3],
		Columns:  outageColumns(),
		Config: Config{
			Traffic: LongFlows{Flows: longFlowCount, Mean: sessionLifetime},
			Faults:  []Fault{PlaceOutage{Place: 1, At: longWarmup, Duration: 2 * time.Minute}},
			Warmup:  longWarmup,
			Length:  s.Long,
		},
	}
}

// massRestartCase restarts all upstreams at once without flows. All callers
// reconnect within 30 s.
func massRestartCase(s Durations) Case {
	c := placeOutageCase(s)
	c.Name = "14,000 long flows, all upstreams restarted at once"
	c.Columns = restartColumns()
	c.Config.Faults = nil
	for place := range defaultPlaces() {
		c.Config.Faults = append(c.Config.Faults, PlaceOutage{Place: place, At: longWarmup, Duration: restartDuration})
	}
	return c
}

// shortMassRestartCase measures short flows in the minute after all upstreams
// restarted at once.
func shortMassRestartCase() Case {
	c := shortCase("short flows, 70% load, in the minute after all upstreams restarted", Durations{})
	c.Policies = Policies()[:3]
	c.Config.Faults = massRestartCase(Durations{}).Config.Faults
	c.Config.Warmup = longWarmup + restartDuration
	c.Config.Length = time.Minute
	return c
}

// rollingReplaceCases returns two workloads, named after the example users whose
// deployments they model, under planned replacement of upstreams and balancers.
func rollingReplaceCases(s Durations) []Case {
	wiryawan := Config{
		Traffic: LongFlows{Flows: longFlowCount, Mean: sessionLifetime},
		Faults:  []Fault{RollingReplace{At: longWarmup, Interval: longWarmup}},
		Warmup:  longWarmup - time.Second,
		Length:  s.Long,
	}
	rotulos := wiryawan
	rotulos.FarHop = rotulosFarHop
	rotulos.Traffic = LongFlows{Flows: longFlowCount, Mean: jobBoardLifetime}
	rotulos.Faults = []Fault{RollingReplace{At: longWarmup, Interval: time.Hour}}
	rotulos.Length = hourlyLengthFactor * s.Long
	return []Case{
		rollingReplaceCase("Wiryawan, fitting: sessions of 20 min, an upstream and a balancer replaced each 10 min", wiryawan),
		rollingReplaceCase("Rótulos, orders: job boards of 4 h, an upstream and a balancer replaced each hour", rotulos),
	}
}

func rollingReplaceCase(name string, cfg Config) Case {
	return Case{Name: name, Policies: Policies(), Columns: rollingReplaceColumns(), Config: cfg}
}
