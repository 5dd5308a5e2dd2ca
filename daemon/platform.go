package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/platform"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/corianderbay/corianderbay/steer"
	"github.com/corianderbay/corianderbay/timer"
	"go.uber.org/zap/zapcore"
)

const (
	// defaultLogLines is the default limit of log lines per second for each event.
	defaultLogLines = 20
	maxLogLines     = 1_000_000
	// logBufferLines is how many lines are buffered for a slow reader of standard output.
	logBufferLines = 512
)

// roleOptions adds the flags of one role to a set, and returns a function that applies
// their values.
type roleOptions func(*setting.Set) func(*platform.Config)

// balancerOptions adds the flags that only balancers have.
func balancerOptions(s *setting.Set) func(*platform.Config) {
	standby := s.Bool("standby", false, "report as not ready while the link is nearly full and other balancers have larger ones")
	admission := s.Bool("admission", false, "refuse new flows of less important routes while a service is overloaded")
	return func(cfg *platform.Config) {
		cfg.Standby = *standby
		cfg.Admission = *admission
	}
}

// sidecarOptions adds the flags that only sidecars have.
func sidecarOptions(s *setting.Set) func(*platform.Config) {
	ramp := s.Bool("ramp", false, "limit the concurrent requests of the upstream after its start, and raise the limit with each answer in the expected time")
	return func(cfg *platform.Config) {
		cfg.Ramp = *ramp
	}
}

// newUserPlatformProgram returns the command of a process that runs on the users'
// platform. The process reads its settings from a file that the platform provides.
func newUserPlatformProgram(name, short string, options roleOptions, run func(context.Context, platform.Config) error) program {
	s := setting.NewSet()
	level := s.Choice("log-level", "info", logLevels(), "lowest level of the events that are logged")
	lines := s.Int("log-lines", defaultLogLines, 1, maxLogLines, "lines a second", "limit of log lines per second for each event")
	placing := s.Choice("placing", string(steer.PlaceByLoad), steer.Placings(), "how upstreams are selected for new flows: load compares loads, time the expected time until a request is answered; hash and two are for comparisons only")
	apply := options(s)
	bind := s.Address("bind-address", "", "address to bind for the traffic of other processes if an address translation is in front of it; empty binds the address from the settings of the platform")
	return program{
		name:    name,
		group:   groupPlatform,
		short:   short,
		example: "corianderbay platform " + name + " --log-level debug",
		set:     s,
		run: func(ctx context.Context, w io.Writer) error {
			l, err := zapcore.ParseLevel(*level)
			if err != nil {
				return err
			}
			t := timer.New(timer.Config{Suspended: timer.Suspended})
			out := event.NewWriter(w, logBufferLines, t)
			defer out.Close()
			cfg := platform.Config{
				Path:        platform.SettingsPath(),
				Incarnation: newIncarnation(),
				Placing:     steer.Placing(*placing),
				Bind:        *bind,
				Timer:       t,
				Log:         event.NewSampled(out, l, name, *lines),
			}
			apply(&cfg)
			return run(ctx, cfg)
		},
	}
}

// newCheckProgram returns a command that reads a settings file of the users'
// platform as a process would, and reports the first invalid field.
func newCheckProgram() program {
	s := setting.NewSet()
	file := s.String("file", "", "settings file; empty selects the file that a process would read")
	return program{
		name:    "check",
		group:   groupPlatform,
		short:   "Check a settings file of the users' platform",
		example: "corianderbay platform check --file boot.json",
		set:     s,
		run: func(_ context.Context, w io.Writer) error {
			path := *file
			if path == "" {
				path = platform.SettingsPath()
			}
			found, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(w, "%s: valid, for %s in %s\n", path, found.Name, found.DataCentre)
			return err
		},
	}
}

// newIncarnation returns a random number that identifies this start of the process.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error; it crashes the program instead
	return binary.BigEndian.Uint64(b[:])
}
