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
	sendQueueLength  = 256     // messages
	readBufferSize   = 4 << 10 // bytes
)

// byteCounter counts the bytes on all connections of a process, including TLS overhead.
type byteCounter struct{ sent, received atomic.Uint64 }

// countingConn adds the bytes that it reads and writes to counter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}

// conn is one authenticated connection to a peer.
type conn struct {
	hello   Hello // received from the peer
	dialled bool  // true if this process dialled
	tls     *tls.Conn
	reader  *bufio.Reader
	timer   *timer.Service
	queue   chan Message
	// ctx is cancelled to close the connection.
	ctx    context.Context
	cancel context.CancelFunc
}

// handshake authenticates both sides by mutual TLS and exchanges Hello. It closes raw on failure.
func handshake(ctx context.Context, raw net.Conn, dialled bool, cfg Config, counter *byteCounter) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	counted := countingConn{Conn: raw, counter: counter}
	session := tls.Server(counted, cfg.Credentials.serverConfig())
	if dialled {
		session = tls.Client(counted, cfg.Credentials.clientConfig())
	}
	c := &conn{
		dialled: dialled,
		tls:     session,
		reader:  bufio.NewReaderSize(session, readBufferSize),
		timer:   cfg.Timer,
		queue:   make(chan Message, sendQueueLength),
	}
	if err := c.exchangeHello(ctx, cfg); err != nil {
		session.Close()
		return nil, err
	}
	return c, nil
}

func (c *conn) exchangeHello(ctx context.Context, cfg Config) error {
	if err := c.tls.HandshakeContext(ctx); err != nil {
		return err
	}
	local := Hello{Oldest: oldestProtocol, Newest: newestProtocol, Name: cfg.Name, DataCentre: cfg.DataCentre}
	if err := c.write(local); err != nil {
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
	return verifyPeerName(c.tls.ConnectionState(), hello.Name)
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

// send queues a message. It closes the connection when the queue is full, since
// the peer then reads too slowly.
func (c *conn) send(m Message) {
	select {
	case c.queue <- m:
	default:
		c.cancel()
	}
}

// run reads and writes until the connection ends and calls handle with each
// received message. It reports whether the peer sent Close.
func (c *conn) run(handle func(Message)) bool {
	var wg conc.WaitGroup
	wg.Go(c.writeMessages)
	graceful := c.readMessages(handle)
	c.cancel()
	wg.Wait()
	return graceful
}

func (c *conn) readMessages(handle func(Message)) bool {
	for {
		m, err := c.read(readTimeout)
		if err != nil {
			return false
		}
		if _, ok := m.(Close); ok {
			return true
		}
		handle(m)
	}
}

// writeMessages writes queued messages until ctx is cancelled, a write fails or
// Close was written, and then closes the connection.
func (c *conn) writeMessages() {
	defer c.tls.Close()
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.queue:
			if err := c.write(m); err != nil {
				c.cancel()
				return
			}
			if _, ok := m.(Close); ok {
				c.cancel()
				return
			}
		}
	}
}
