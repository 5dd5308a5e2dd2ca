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
	// defaultLogLines is how many lines a second each event may have in the log.
	defaultLogLines = 20
	maxLogLines     = 1_000_000
	// logBufferLines is how many lines wait for a reader of standard output that is slow.
	logBufferLines = 512
)

// newUserPlatformProgram returns a process that runs on the users' platform. Its
// settings come from a file that the platform lays out.
func newUserPlatformProgram(name, short string, run func(context.Context, platform.Config) error) program {
	s := setting.NewSet()
	level := s.Choice("log-level", "info", logLevels(), "least level of the events that are logged")
	lines := s.Int("log-lines", defaultLogLines, 1, maxLogLines, "lines a second", "lines that each event may have in the log")
	placing := s.Choice("placing", string(steer.PlaceByLoad), steer.Placings(), "how upstreams of new flows are chosen; all but load are for comparisons")
	bind := s.Address("bind-address", "", "what is bound for the other processes, when something that translates addresses stands before it; empty binds the address that the platform names")
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
				Bind:        *bind,
				Timer:       t,
				Log:         event.NewSampled(out, l, name, *lines),
			})
		},
	}
}

// newCheckProgram returns a command that reads a settings file of the users'
// platform as a process would, and names the first field that cannot be used.
func newCheckProgram() program {
	s := setting.NewSet()
	file := s.String("file", "", "settings file; empty selects the one that a process would read")
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
			_, err = fmt.Fprintf(w, "%s: usable, for %s in %s\n", path, found.Name, found.DataCentre)
			return err
		},
	}
}

// newIncarnation returns a number that no other start of a process has.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails; it ends the process instead
	return binary.BigEndian.Uint64(b[:])
}
