package configservice

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// IndexHeader is the HTTP response header with the index of the value or list.
	IndexHeader = "Platform-Index"

	defaultTimeout     = 2 * time.Second
	defaultWait        = 2 * time.Second
	maxInstancesSize   = 4 << 20 // bytes
	maxIdleConnections = 2
	valuesPath         = "/v1/values/"
	instancesPath      = "/v1/instances"
	userAgentPrefix    = "corianderbay/"
	idleConnTimeout    = 30 * time.Second
	dialTimeout        = time.Second
	maxHeaderBytes     = 16 << 10 // all response headers together
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the base URL of the platform, as in "http://10.0.0.1:8500".
	Address string
	// Reader is the name of this process. It is sent in the User-Agent header.
	Reader string
	// Timeout bounds each call. For a watch it is added to Wait. Zero selects 2 s.
	Timeout time.Duration
	// Wait is how long the platform blocks a watch while nothing changes. Zero selects 2 s.
	Wait time.Duration
}

// Counts holds the call statistics of a client. A watch counts as one call.
type Counts struct {
	Calls    uint64 `json:"calls"`
	Failures uint64 `json:"failures"`
	// Bytes is the total size of the response bodies.
	Bytes uint64 `json:"bytes"`
}

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	cfg      Config // read-only after NewClient
	http     *http.Client
	calls    atomic.Uint64
	failures atomic.Uint64
	bytes    atomic.Uint64
}

// NewClient returns a Client of the platform at cfg.Address.
func NewClient(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Wait == 0 {
		cfg.Wait = defaultWait
	}
	cfg.Address = strings.TrimSuffix(cfg.Address, "/")
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport}}
}

// Counts returns the statistics of all calls so far.
func (c *Client) Counts() Counts {
	return Counts{Calls: c.calls.Load(), Failures: c.failures.Load(), Bytes: c.bytes.Load()}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read returns the current value. It returns *NotFoundError, *SizeError,
// *DecodeError, *StatusError or *UnreachableError.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	v, _, err := c.fetchValue(ctx, name, 0, 0)
	return v, err
}

// Watch blocks until the index of the value differs from index and returns the
// new value. It returns false when Config.Wait passes without a change, and the
// errors of Read.
func (c *Client) Watch(ctx context.Context, name string, index uint64) (Value, bool, error) {
	return c.fetchValue(ctx, name, index, c.cfg.Wait)
}

// Instances returns the current instance list. It returns *SizeError,
// *DecodeError, *InstanceError, *StatusError or *UnreachableError.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	l, _, err := c.fetchInstances(ctx, 0, 0)
	return l, err
}

// WatchInstances blocks until the index of the list differs from index and
// returns the new list. It returns false when Config.Wait passes without a change,
// and the errors of Instances.
func (c *Client) WatchInstances(ctx context.Context, index uint64) (InstanceList, bool, error) {
	return c.fetchInstances(ctx, index, c.cfg.Wait)
}

func (c *Client) fetchValue(ctx context.Context, name string, index uint64, wait time.Duration) (Value, bool, error) {
	a, err := c.get(ctx, valuesPath+url.PathEscape(name), index, wait, MaxValueSize)
	if err != nil {
		return Value{}, false, err
	}
	switch a.code {
	case http.StatusOK:
		return Value{Name: name, Index: a.index, Body: a.body}, true, nil
	case http.StatusNotModified:
		return Value{Name: name, Index: index}, false, nil
	case http.StatusNotFound:
		return Value{}, false, &NotFoundError{Name: name}
	}
	return Value{}, false, &StatusError{Path: name, Code: a.code}
}

func (c *Client) fetchInstances(ctx context.Context, index uint64, wait time.Duration) (InstanceList, bool, error) {
	a, err := c.get(ctx, instancesPath, index, wait, maxInstancesSize)
	if err != nil {
		return InstanceList{}, false, err
	}
	switch a.code {
	case http.StatusOK:
		var l InstanceList
		if err := l.UnmarshalJSON(a.body); err != nil {
			return InstanceList{}, false, err
		}
		return l, true, nil
	case http.StatusNotModified:
		return InstanceList{Index: index}, false, nil
	}
	return InstanceList{}, false, &StatusError{Path: instancesPath, Code: a.code}
}

// response is an HTTP response with its complete body.
type response struct {
	code  int
	index uint64
	body  []byte
}

func (c *Client) get(ctx context.Context, path string, index uint64, wait time.Duration, limit int) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Timeout)
	defer cancel()
	c.calls.Add(1)
	a, err := c.roundTrip(ctx, path, index, wait, limit)
	if err != nil {
		c.failures.Add(1)
		return response{}, err
	}
	c.bytes.Add(uint64(len(a.body)))
	return a, nil
}

func (c *Client) roundTrip(ctx context.Context, path string, index uint64, wait time.Duration, limit int) (response, error) {
	target := c.cfg.Address + path
	if wait > 0 {
		target += "?wait=" + wait.String() + "&index=" + strconv.FormatUint(index, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return response{}, &UnreachableError{Path: path, Cause: err}
	}
	req.Header.Set("User-Agent", userAgentPrefix+c.cfg.Reader)
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, &UnreachableError{Path: path, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return response{}, &UnreachableError{Path: path, Cause: err}
	}
	if len(body) > limit {
		return response{}, &SizeError{Name: path, Limit: limit}
	}
	return newResponse(resp, body)
}

func newResponse(resp *http.Response, body []byte) (response, error) {
	a := response{code: resp.StatusCode, body: body}
	if a.code != http.StatusOK {
		return a, nil
	}
	index, err := strconv.ParseUint(resp.Header.Get(IndexHeader), 10, 64)
	if err != nil {
		return response{}, &DecodeError{What: IndexHeader, Cause: err}
	}
	a.index = index
	return a, nil
}
