package udp_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/corianderbay/corianderbay/udp"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"
)

func openLocal(t *testing.T, detector *timer.PauseDetector) *udp.Socket {
	t.Helper()
	s, err := udp.Open(udp.Config{
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Workers:       1,
		PauseDetector: detector,
	})
	must.NoError(t, err)
	return s
}

func TestSocketDeliversDatagrams(t *testing.T) {
	detector := timer.NewPauseDetector(timer.New(timer.Config{PauseThreshold: time.Hour}))
	receiver := openLocal(t, detector)
	sender := openLocal(t, detector)
	defer sender.Close()
	got := make(chan string, 1)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		receiver.Run(ctx, func() udp.Handler {
			return func(b []byte, from netip.AddrPort) { got <- string(b) + " " + from.String() }
		})
	})
	sender.Send([]byte("hello"), receiver.Address())
	must.Eq(t, "hello "+sender.Address().String(), <-got)
	cancel()
	wg.Wait()
	must.Eq(t, uint64(1), receiver.Counts().Received)
}

// TestBacklogIsDroppedAfterPause blocks the only worker for longer than the pause
// threshold and checks that datagrams which arrived meanwhile are not handled.
func TestBacklogIsDroppedAfterPause(t *testing.T) {
	const pause = 200 * time.Millisecond
	service := timer.New(timer.Config{PauseThreshold: pause})
	detector := timer.NewPauseDetector(service)
	receiver := openLocal(t, detector)
	sender := openLocal(t, detector)
	defer sender.Close()
	handled := make(chan string)
	release := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		receiver.Run(ctx, func() udp.Handler {
			return func(b []byte, _ netip.AddrPort) {
				select {
				case handled <- string(b):
					<-release
				case <-ctx.Done():
				}
			}
		})
	})
	must.Eq(t, "held", sendUntilHandled(t, service, sender, receiver, "held", handled))
	for range 10 {
		sender.Send([]byte("stale"), receiver.Address())
	}
	must.NoError(t, service.Sleep(t.Context(), 2*pause))
	close(release)
	wg.Go(func() { detector.Run(ctx) })
	must.Eq(t, "fresh", sendUntilHandled(t, service, sender, receiver, "fresh", handled))
	must.GreaterEq(t, uint64(10), receiver.Counts().Stale)
	cancel()
	wg.Wait()
}

// sendUntilHandled sends a datagram repeatedly until one is handled, and returns
// the handled text.
func sendUntilHandled(t *testing.T, service *timer.Service, from, to *udp.Socket, text string, handled <-chan string) string {
	t.Helper()
	sub := service.Every(5 * time.Millisecond)
	defer sub.Stop()
	for {
		select {
		case got := <-handled:
			return got
		case <-sub.C:
			from.Send([]byte(text), to.Address())
		}
	}
}

func TestPauseDetectorDetectsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := timer.New(timer.Config{})
		detector := timer.NewPauseDetector(service)
		var gap time.Duration
		detector.OnResume(func(d time.Duration) { gap = d })
		must.Eq(t, uint64(0), detector.Epoch())
		time.Sleep(5 * time.Second)
		must.Eq(t, uint64(1), detector.Epoch())
		must.Eq(t, 5*time.Second, gap)
		must.Eq(t, uint64(1), detector.Epoch())
	})
}
