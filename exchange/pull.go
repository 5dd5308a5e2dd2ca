package exchange

import (
	"context"
	"net"
	"time"

	"github.com/corianderbay/corianderbay/event"
	"github.com/corianderbay/corianderbay/registry"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
)

const (
	// pullTimeout bounds one pull, since a peer may stop responding on an open connection.
	pullTimeout = time.Second
	// pullPause is the pause after a failed pull.
	pullPause = 100 * time.Millisecond
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
		for ctx.Err() == nil {
			host, q, ok := n.nextPull(failed)
			if !ok {
				break
			}
			failed = registry.Host{}
			if err := n.pullFrom(ctx, host, q); err != nil {
				failed = host
				n.cfg.Log.Emit(event.PullFailed, zap.Stringer("peer", host), zap.Error(err))
				_ = n.cfg.Timer.Sleep(ctx, pullPause) // fails only when ctx is done, which the loop checks
			}
		}
	}
}

// nextPull returns the peer to pull from, other than failed if possible, and the
// query to send. It returns false when no peer is ahead.
func (n *Node) nextPull(failed registry.Host) (registry.Host, query, bool) {
	now := n.lock()
	defer n.mu.Unlock()
	own := n.versions()
	q := query{Version: own.Version, State: own.State}
	p := n.members.PullSource(now, own, failed)
	if p == nil {
		return registry.Host{}, q, false
	}
	return p.Host, q, true
}

// pullFrom requests newer routes and upstreams from a peer and applies them.
func (n *Node) pullFrom(ctx context.Context, host registry.Host, q query) error {
	d := net.Dialer{Timeout: pullTimeout}
	conn, err := d.DialContext(ctx, "tcp4", host.Port(n.cfg.Listen.Port()).String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(n.cfg.Timer.Now().Add(pullTimeout)); err != nil {
		return err
	}
	if err := writeFrame(conn, q); err != nil {
		return err
	}
	u, err := readUpdate(conn)
	if err != nil {
		return err
	}
	res := n.apply(u, zap.Stringer("peer", host))
	n.mu.Lock()
	n.members.RecordPull(host)
	n.mu.Unlock()
	if res.Gap || u.Routes == nil && u.State.IsZero() {
		return &NoUpdateError{Host: host}
	}
	return nil
}

// servePulls serves pulls of peers until ctx is done.
func (n *Node) servePulls(ctx context.Context) {
	p := pool.New().WithMaxGoroutines(maxPullConns)
	stop := context.AfterFunc(ctx, func() { n.listener.Close() })
	defer stop()
	for {
		conn, err := n.listener.Accept()
		if ctx.Err() != nil {
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
	if err = readFrame(conn, &q); err == nil {
		n.mu.Lock()
		u := n.directory.Since(n.cfg.Timer.Uptime(), q.Version, q.State)
		n.mu.Unlock()
		err = writeFrame(conn, u)
	}
	if err != nil {
		n.cfg.Log.Emit(event.PullFailed, zap.Stringer("peer", conn.RemoteAddr()), zap.Error(err))
	}
}
