package compare

import "time"

// Case is one set of arrivals and faults on which policies are compared.
type Case struct {
	Name     string
	Config   Config
	Columns  []Column
	Policies []NamedPolicy
}

// Durations is how long the runs of the cases are.
type Durations struct {
	// Short is the time over which short flows are measured.
	Short time.Duration
	// Long is the time over which long flows are measured.
	Long time.Duration
	// Recovery is the longest time that a replacement is followed.
	Recovery time.Duration
}

// FullDurations returns the size of the tables in the docs.
func FullDurations() Durations {
	return Durations{Short: 10 * time.Minute, Long: 30 * time.Minute, Recovery: 24 * time.Hour}
}

// ReducedDurations returns a size for tests.
func ReducedDurations() Durations {
	return Durations{Short: 100 * time.Second, Long: 3 * time.Minute, Recovery: 3 * time.Hour}
}

const (
	request    = 100 * time.Millisecond
	usualLoad  = 0.7
	warmup     = 20 * time.Second
	longWarmup = 10 * time.Minute
	longFlows  = 14_000
	session    = 20 * time.Minute
	workday    = 4 * time.Hour
	hopRotulos = 4 * time.Millisecond
	flapPeriod = 2 * time.Second
	slowFactor = 4
	faulty     = 2
	recovered  = 1.05
	// hourly is how many times longer runs with hourly changes are.
	hourly = 6
)

// Cases returns all cases.
func Cases(s Durations) []Case {
	cases := []Case{
		shortCase("short flows, 70% load, 7 upstreams", s),
		shortCase("short flows, 70% load, one upstream four times slower", s, Slow{Upstream: faulty, Factor: slowFactor}),
		shortCase("short flows, 70% load, one upstream reports no load", s, ReportZeroLoad{Upstream: faulty}),
		shortCase("short flows, 70% load, one upstream flaps each 2 s", s, Flap{Upstream: faulty, Period: flapPeriod}),
		reportCase(s),
		shiftCase(),
		steadyCase(s),
		replaceCase(s),
		overloadCase("load of 1.5 for a minute, limits on", true),
		overloadCase("load of 1.5 for a minute, limits off", false),
		loseCase(s),
		restartCase(s),
		shortRestartCase(),
	}
	return append(cases, changeCases(s)...)
}

func shortCase(name string, s Durations, faults ...Fault) Case {
	return Case{
		Name:     name,
		Policies: Policies(),
		Columns:  shortColumns(),
		Config: Config{
			Traffic: ShortFlows{Load: usualLoad, Mean: request},
			Faults:  faults,
			Warmup:  warmup,
			Length:  s.Short,
		},
	}
}

// reportCase is a service of three upstreams, one in each data centre.
func reportCase(s Durations) Case {
	c := shortCase("short flows, 70% load, 3 upstreams in 3 data centres", s)
	c.Config.Places = []int{1, 1, 1}
	return c
}

const (
	shiftAt     = time.Minute
	shiftLength = time.Minute
)

// shiftCase has 60% of the callers near one data centre for a minute, which
// fills its 3 upstreams to 98%.
func shiftCase() Case {
	c := shortCase("short flows, 70% load, 60% of callers near one data centre for a minute", Durations{})
	c.Columns = shiftColumns()
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
			Traffic: LongFlows{Flows: longFlows, Mean: session},
			Warmup:  longWarmup,
			Length:  s.Long,
		},
	}
}

func replaceCase(s Durations) Case {
	under := func(sample Sample) bool {
		return sample.At > longWarmup+reconnect && sample.Imbalance < recovered
	}
	return Case{
		Name:     "14,000 long flows, one upstream replaced by an empty one",
		Policies: Policies(),
		Columns:  replaceColumns(),
		Config: Config{
			Traffic:  LongFlows{Flows: longFlows, Mean: session},
			Faults:   []Fault{Replace{Upstream: faulty, At: longWarmup}},
			Warmup:   longWarmup,
			Length:   s.Recovery,
			StopWhen: under,
		},
	}
}

const (
	surgeAt     = time.Minute
	surgeLength = time.Minute
	surgeLoad   = 1.5
	patience    = 2 * time.Second
	narrow      = 30
	afterSurge  = 30 * time.Second
	restart     = 5 * time.Second
)

func overloadCase(name string, limits bool) Case {
	return Case{
		Name:     name,
		Policies: Policies()[:3],
		Columns:  overloadColumns(),
		Config: Config{
			Limits: limits,
			Traffic: ShortFlows{
				Load:        usualLoad,
				Mean:        request,
				MaxMinRatio: narrow,
				Timeout:     patience,
				MaxAttempts: 2,
				Surge:       surgeLoad / usualLoad,
				SurgeAt:     surgeAt,
				SurgeLength: surgeLength,
			},
			Warmup: warmup,
			Length: surgeAt + surgeLength + afterSurge - warmup,
		},
	}
}

// loseCase loses one place for two minutes.
func loseCase(s Durations) Case {
	return Case{
		Name:     "14,000 long flows, one place of 2 upstreams lost for 2 minutes",
		Policies: Policies()[:3],
		Columns:  loseColumns(),
		Config: Config{
			Traffic: LongFlows{Flows: longFlows, Mean: session},
			Faults:  []Fault{PlaceOutage{Place: 1, At: longWarmup, Duration: 2 * time.Minute}},
			Warmup:  longWarmup,
			Length:  s.Long,
		},
	}
}

// restartCase restarts all upstreams empty; every caller reconnects within 30 s.
func restartCase(s Durations) Case {
	c := loseCase(s)
	c.Name = "14,000 long flows, all upstreams restarted at once"
	c.Columns = restartColumns()
	c.Config.Faults = nil
	for place := range defaultPlaces() {
		c.Config.Faults = append(c.Config.Faults, PlaceOutage{Place: place, At: longWarmup, Duration: restart})
	}
	return c
}

// shortRestartCase measures the minute after all upstreams restarted at once.
func shortRestartCase() Case {
	c := shortCase("short flows, 70% load, in the minute after all upstreams restarted", Durations{})
	c.Policies = Policies()[:3]
	c.Config.Faults = restartCase(Durations{}).Config.Faults
	c.Config.Warmup = longWarmup + restart
	c.Config.Length = time.Minute
	return c
}

// changeCases holds the traffic of both firms under planned changes.
func changeCases(s Durations) []Case {
	wiryawan := Config{
		Traffic: LongFlows{Flows: longFlows, Mean: session},
		Faults:  []Fault{RollingReplace{At: longWarmup, Interval: longWarmup}},
		Warmup:  longWarmup - time.Second,
		Length:  s.Long,
	}
	rotulos := wiryawan
	rotulos.FarHop = hopRotulos
	rotulos.Traffic = LongFlows{Flows: longFlows, Mean: workday}
	rotulos.Faults = []Fault{RollingReplace{At: longWarmup, Interval: time.Hour}}
	rotulos.Length = hourly * s.Long
	return []Case{
		changeCase("Wiryawan, fitting: sessions of 20 min, an upstream and a balancer replaced each 10 min", wiryawan),
		changeCase("Rótulos, orders: job boards of 4 h, an upstream and a balancer replaced each hour", rotulos),
	}
}

func changeCase(name string, cfg Config) Case {
	return Case{Name: name, Policies: Policies(), Columns: changeColumns(), Config: cfg}
}
