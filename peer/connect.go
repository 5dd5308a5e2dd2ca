package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/corianderbay/corianderbay/converge"
	"github.com/corianderbay/corianderbay/event"
	"go.uber.org/zap"
)

const (
	acceptBackoff       = 50 * time.Millisecond // after a failed accept
	expiryWarningPeriod = 7 * 24 * time.Hour    // before a certificate expires
	expiryCheckInterval = time.Hour
)

// accept accepts connections until ctx is done. It closes a connection at once
// while maxHandshakes handshakes are in progress.
func (n *Node) accept(ctx context.Context) {
	n.wg.Go(func() {
		<-ctx.Done()
		n.listener.Close()
	})
	for ctx.Err() == nil {
		raw, err := n.listener.Accept()
		if err != nil {
			_ = n.cfg.Timer.Sleep(ctx, acceptBackoff)
			continue
		}
		select {
		case n.handshakeSlots <- struct{}{}:
		default:
			raw.Close()
			continue
		}
		n.wg.Go(func() {
			c, err := handshake(ctx, raw, false, n.cfg, &n.traffic)
			<-n.handshakeSlots
			n.serve(ctx, c, err)
		})
	}
}

// dial connects to the named peer and posts dialFailed if that fails.
func (n *Node) dial(ctx context.Context, name string) {
	i, ok := n.instances[name]
	if !ok {
		n.wg.Go(func() { n.post(ctx, dialFailed{name: name}) })
		return
	}
	n.wg.Go(func() {
		d := net.Dialer{Timeout: dialTimeout}
		raw, err := d.DialContext(ctx, "tcp", i.Control.String())
		if err != nil {
			n.post(ctx, dialFailed{name: name})
			return
		}
		c, err := handshake(ctx, raw, true, n.cfg, &n.traffic)
		if err == nil && c.hello.Name != name {
			c.tls.Close()
			err = &NameError{Name: c.hello.Name}
		}
		if err != nil {
			n.post(ctx, dialFailed{name: name})
		}
		n.serve(ctx, c, err)
	})
}

// serve runs a connection after its handshake, which returned err.
func (n *Node) serve(ctx context.Context, c *conn, err error) {
	if err != nil {
		if ctx.Err() == nil && isRejection(err) {
			n.cfg.Log.Emit(event.PeerRefused, zap.Error(err))
		}
		return
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	n.post(ctx, connOpened{conn: c})
	graceful := c.run(func(m Message) { n.post(ctx, messageReceived{conn: c, message: m}) })
	n.post(ctx, connClosed{conn: c, graceful: graceful})
}

// isRejection reports whether a handshake failed for a reason other than a network error or a timeout.
func isRejection(err error) bool {
	var netErr net.Error
	broken := errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, context.DeadlineExceeded)
	return !broken
}

// addConn registers a connection. When two processes have dialled each other,
// both keep the connection that the lower name dialled, so that they do not
// close different ones. Otherwise the newer connection replaces the older one. A
// connection to a further peer is closed once there are maxConns.
func (n *Node) addConn(ctx context.Context, c *conn) {
	name := c.hello.Name
	old := n.conns[name]
	if old == nil && len(n.conns) >= maxConns {
		c.cancel()
		return
	}
	if old != nil && old.dialled != c.dialled && c.dialled != (n.cfg.Name < name) {
		c.cancel()
		return
	}
	if old != nil {
		old.cancel()
	}
	n.conns[name] = c
	n.update(ctx, converge.Connected{Peer: name})
}

func (n *Node) removeConn(ctx context.Context, ev connClosed) {
	name := ev.conn.hello.Name
	if n.conns[name] != ev.conn {
		return
	}
	delete(n.conns, name)
	n.update(ctx, converge.Disconnected{Peer: name, Graceful: ev.graceful})
}

// sendTo queues messages for a peer. It drops them if the peer is not connected.
func (n *Node) sendTo(name string, messages ...Message) {
	c := n.conns[name]
	if c == nil {
		return
	}
	for _, m := range messages {
		c.send(m)
	}
}

// checkExpiry logs a warning when the certificate expires soon or its files cannot be reloaded.
func (n *Node) checkExpiry() {
	now := n.cfg.Timer.Now()
	if !n.expiryCheckedAt.IsZero() && now.Sub(n.expiryCheckedAt) < expiryCheckInterval {
		return
	}
	n.expiryCheckedAt = now
	expiry, err := n.cfg.Credentials.Expiry()
	if err != nil {
		n.cfg.Log.Emit(event.CredentialsUnusable, zap.Error(err))
	}
	if expiry.Sub(now) < expiryWarningPeriod {
		n.cfg.Log.Emit(event.CertificateExpiring, zap.Time("expiry", expiry))
	}
}
