package exchange

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/membership"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
)

const (
	// pullTimeout bounds one pull, since a peer may stop responding on an open connection.
	pullTimeout = time.Second
	// pullPause is the pause after a failed pull.
	pullPause = 100 * time.Millisecond
	// unreadablePause is the pause after a pull whose answer cannot be read. Other peers
	// likely send the same, and its encoding costs them time.
	unreadablePause = time.Second
	// maxPullOutage is how long pulls may fail before a process reads the store itself, and
	// the minimum time between two such reads.
	maxPullOutage = 2 * time.Second
	// maxPullConns is the number of peers that are served concurrently.
	maxPullConns = 32
)

// triggerPull wakes the goroutine that pulls newer routes and upstreams from peers.
func (n *Node) triggerPull() {
	select {
	case n.pulls <- struct{}{}:
	default:
	}
}

// runPulls pulls from one peer after the other for as long as one has newer routes or upstreams.
func (n *Node) runPulls(ctx context.Context) {
	var failed registry.Host
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pulls:
		}
		lastSuccess := n.cfg.Timer.Uptime()
		for ctx.Err() == nil {
			host, q, ok := n.nextPull(failed)
			if !ok {
				break
			}
			err := n.pullFrom(ctx, n.formatOf(host), host, q)
			if err == nil {
				failed, lastSuccess = registry.Host{}, n.recordPullSuccess()
				continue
			}
			failed = host
			n.cfg.Log.Emit(event.PullFailed, zap.Stringer("peer", host), zap.Error(err))
			_ = n.cfg.Timer.Sleep(ctx, n.pauseAfter(err, lastSuccess)) // fails only when ctx is done, which the loop checks
		}
	}
}

// recordPullSuccess records that peers supply what is newer, and returns the uptime.
func (n *Node) recordPullSuccess() time.Duration {
	now := n.lock()
	defer n.mu.Unlock()
	n.storeNeeded = false
	return now
}

// pauseAfter returns the pause after a failed pull. This process reads the store itself when
// the answer cannot be read, for example because the list does not fit into one frame, and
// when pulls have failed for maxPullOutage, for example because a long list takes too long.
func (n *Node) pauseAfter(err error, lastSuccess time.Duration) time.Duration {
	unreadable := unreadableAnswer(err)
	now := n.lock()
	defer n.mu.Unlock()
	if now-n.lastRead >= maxPullOutage && (unreadable || now-lastSuccess >= maxPullOutage) {
		n.storeNeeded = true
	}
	if unreadable {
		return unreadablePause
	}
	return pullPause
}

// nextPull returns the peer to pull from, other than failed if possible, and the
// query to send. It returns false when no peer is ahead.
func (n *Node) nextPull(failed registry.Host) (registry.Host, query, bool) {
	now := n.lock()
	defer n.mu.Unlock()
	own := n.versions()
	own.Version = max(own.Version, n.rejected)
	q := query{Version: own.Version, State: own.State}
	p := n.members.PullSource(now, own, failed)
	if p == nil {
		return registry.Host{}, q, false
	}
	return p.Host, q, true
}

// pullFrom requests newer routes and upstreams from a peer in a version and applies them. When the peer
// closes the connection without an answer in a later version, it may have been replaced
// by an older build, and the request is repeated in version 1.
func (n *Node) pullFrom(ctx context.Context, f membership.Format, host registry.Host, q query) error {
	err := n.pullIn(ctx, f, host, q)
	if err == nil || f == membership.Format1 || !closedByPeer(err) {
		return err
	}
	n.mu.Lock()
	n.formats.Reset(host)
	n.mu.Unlock()
	return n.pullIn(ctx, membership.Format1, host, q)
}

// closedByPeer reports whether a peer closed the connection before it sent a whole frame.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// pullIn is pullFrom in one version.
func (n *Node) pullIn(ctx context.Context, f membership.Format, host registry.Host, q query) error {
	conn, err := n.cfg.Network.Dial(ctx, host.Port(n.cfg.Listen.Port()), pullTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(n.cfg.Timer.Now().Add(pullTimeout)); err != nil {
		return err
	}
	if err := writeFrame(conn, f, q); err != nil {
		return err
	}
	u, err := readUpdate(conn, n.newest)
	if err != nil {
		return err
	}
	res := n.apply(n.usable(u, host), zap.Stringer("peer", host))
	n.mu.Lock()
	n.members.RecordPull(host)
	n.mu.Unlock()
	if res.Gap || u.Routes == nil && u.State.IsZero() {
		return &NoUpdateError{Host: host}
	}
	return nil
}

// usable returns an update of a peer without the parts that are out of range. It logs one
// line when there are any, and records the version of rejected routes.
func (n *Node) usable(u registry.Update, peer registry.Host) registry.Update {
	usable, faults := u.WithoutUnusable()
	if len(faults) == 0 {
		return u
	}
	if u.Routes != nil && usable.Routes == nil {
		n.mu.Lock()
		n.rejected = max(n.rejected, u.Routes.Version)
		n.mu.Unlock()
	}
	n.cfg.Log.Emit(event.EntryUnusable,
		zap.Stringer("peer", peer),
		zap.String("key", faults[0].Part),
		zap.Error(faults[0].Cause),
		zap.Int("omitted", len(faults)-1))
	return usable
}

// servePulls serves pulls of peers until ctx is done.
func (n *Node) servePulls(ctx context.Context) {
	p := pool.New().WithMaxGoroutines(maxPullConns)
	// The second call waits for the first, so that the address is free when servePulls returns.
	closeListener := sync.OnceFunc(func() { n.listener.Close() })
	stop := context.AfterFunc(ctx, closeListener)
	defer closeListener() // stop may come before the function has run
	defer stop()
	for {
		conn, err := n.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			break
		}
		if err != nil {
			n.cfg.Log.Emit(event.PullFailed, zap.Error(err))
			_ = n.cfg.Timer.Sleep(ctx, pullPause) // for example when out of file descriptors
			continue
		}
		p.Go(func() { n.answerPull(conn) })
	}
	p.Wait()
}

// answerPull serves one pull.
func (n *Node) answerPull(conn net.Conn) {
	defer conn.Close()
	err := conn.SetDeadline(n.cfg.Timer.Now().Add(pullTimeout))
	if err != nil {
		return // the connection is closed
	}
	var q query
	f, err := readFrame(conn, n.newest, &q)
	if err == nil {
		n.mu.Lock()
		u := n.directory.Since(n.cfg.Timer.Uptime(), q.Version, q.State)
		n.mu.Unlock()
		err = writeFrame(conn, f, u)
	}
	if version := (*VersionError)(nil); errors.As(err, &version) {
		n.receiveUnreadablePull(conn.RemoteAddr(), version)
		return
	}
	if err != nil {
		n.cfg.Log.Emit(event.PullFailed, zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
	}
}
