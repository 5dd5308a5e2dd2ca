package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/corianderbay/corianderbay/timer"
	"github.com/sourcegraph/conc"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	readTimeout      = 15 * time.Second
	writeTimeout     = 5 * time.Second
	queueLength      = 256 // messages that wait to be written
	bufferSize       = 4 << 10
)

// meter counts the bytes of every connection of a process, TLS included.
type meter struct{ sent, received atomic.Uint64 }

// meteredConn counts what passes.
type meteredConn struct {
	net.Conn
	meter *meter
}

// Read reads and counts.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write writes and counts.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(uint64(n))
	return n, err
}

// conn is one authenticated connection to a peer.
type conn struct {
	hello   Hello // of the peer
	dialled bool  // by this process
	tls     *tls.Conn
	reader  *bufio.Reader
	timer   *timer.Service
	queue   chan Message
	// ended is done when the connection is to be closed.
	ended context.Context
	end   context.CancelFunc
}

// handshake proves both sides to each other and exchanges Hello. It closes raw when it fails.
func handshake(ctx context.Context, raw net.Conn, dialled bool, cfg Config, m *meter) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	counted := meteredConn{Conn: raw, meter: m}
	session := tls.Server(counted, cfg.Credentials.server())
	if dialled {
		session = tls.Client(counted, cfg.Credentials.client())
	}
	c := &conn{
		dialled: dialled,
		tls:     session,
		reader:  bufio.NewReaderSize(session, bufferSize),
		timer:   cfg.Timer,
		queue:   make(chan Message, queueLength),
	}
	if err := c.greet(ctx, cfg); err != nil {
		session.Close()
		return nil, err
	}
	return c, nil
}

func (c *conn) greet(ctx context.Context, cfg Config) error {
	if err := c.tls.HandshakeContext(ctx); err != nil {
		return err
	}
	mine := Hello{Oldest: oldestProtocol, Newest: newestProtocol, Name: cfg.Name, DataCentre: cfg.DataCentre}
	if err := c.write(mine); err != nil {
		return err
	}
	m, err := c.read(handshakeTimeout)
	if err != nil {
		return err
	}
	hello, ok := m.(Hello)
	if !ok {
		return &MessageError{Message: "hello", Field: "type"}
	}
	if hello.Newest < oldestProtocol || hello.Oldest > newestProtocol {
		return &ProtocolError{Oldest: hello.Oldest, Newest: hello.Newest}
	}
	if hello.Name == cfg.Name {
		return &NameError{Name: hello.Name}
	}
	c.hello = hello
	return speaksFor(c.tls.ConnectionState(), hello.Name)
}

func (c *conn) write(m Message) error {
	if err := c.tls.SetWriteDeadline(c.timer.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return WriteMessage(c.tls, m)
}

func (c *conn) read(timeout time.Duration) (Message, error) {
	if err := c.tls.SetReadDeadline(c.timer.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return ReadMessage(c.reader)
}

// send queues a message. A peer that does not read fast enough loses the connection.
func (c *conn) send(m Message) {
	select {
	case c.queue <- m:
	default:
		c.end()
	}
}

// run reads and writes until the connection ends. take gets each message.
// It reports whether the peer closed the connection on purpose.
func (c *conn) run(take func(Message)) bool {
	var wg conc.WaitGroup
	wg.Go(c.writeQueue)
	closed := c.readAll(take)
	c.end()
	wg.Wait()
	return closed
}

func (c *conn) readAll(take func(Message)) bool {
	for {
		m, err := c.read(readTimeout)
		if err != nil {
			return false
		}
		if _, ok := m.(Close); ok {
			return true
		}
		take(m)
	}
}

// writeQueue writes until the connection is to end, and then closes it.
func (c *conn) writeQueue() {
	defer c.tls.Close()
	for {
		select {
		case <-c.ended.Done():
			return
		case m := <-c.queue:
			if err := c.write(m); err != nil {
				c.end()
				return
			}
			if _, ok := m.(Close); ok {
				c.end()
				return
			}
		}
	}
}
