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
	// sidecarName is the name of the command of a sidecar.
	sidecarName = "sidecar"
)

// newUserPlatformProgram returns the command of a process that runs on the users'
// platform. The process reads its settings from a file that the platform provides.
func newUserPlatformProgram(name, short string, run func(context.Context, platform.Config) error) program {
	s := setting.NewSet()
	level := s.Choice("log-level", "info", logLevels(), "lowest level of the events that are logged")
	lines := s.Int("log-lines", defaultLogLines, 1, maxLogLines, "lines a second", "limit of log lines per second for each event")
	placing := s.Choice("placing", string(steer.PlaceByLoad), steer.Placings(), "how upstreams are selected for new flows; all values except load are for comparisons only")
	ramp := new(bool)
	if name == sidecarName {
		ramp = s.Bool("ramp", false, "limit the concurrent requests of the upstream after its start, and raise the limit with each answer in the expected time")
	}
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
			return run(ctx, platform.Config{
				Path:        platform.SettingsPath(),
				Incarnation: newIncarnation(),
				Placing:     steer.Placing(*placing),
				Ramp:        *ramp,
				Bind:        *bind,
				Timer:       t,
				Log:         event.NewSampled(out, l, name, *lines),
			})
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
