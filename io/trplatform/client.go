// Package trplatform is a client for the platform's key-value store, leases, watches and
// instance list.
//
// A call returns the platform's answer or a typed error: ErrNotFound, ErrLeaseNotFound,
// ErrUnchanged, *ConflictError, *RejectedError, or *UnavailableError, which tells whether
// a write may have taken effect. The client does not retry calls, except that it tries
// the next base URL if one gives no usable answer. A write is tried at the next base URL
// only if no byte of it was sent, because a second copy of a write that took effect would
// report a conflict with the first.
//
// # Usage
//
//	client := trplatform.New("http://10.0.0.1:8500", "http://10.0.0.2:8500")
//	client.OnStoreTime = storeClock.Observe
//	entry, err := client.Get(ctx, "config")
//	if errors.Is(err, trplatform.ErrNotFound) {
//		entry, err = client.Put(ctx, "config", &trwire.PutRequest{Value: data})
//	}
package trplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// Size limits of reply bodies, in bytes.
const (
	// MaxEntryBytes leaves room for an entry with a base64-encoded value of
	// trwire.MaxValueBytes.
	MaxEntryBytes = trwire.MaxValueBytes*4/3 + 64<<10
	// MaxListBytes leaves room for about 30,000 instances. It keeps the memory of one
	// listing within the 64 MB that control-plane work may use.
	MaxListBytes = 8 << 20

	// maxSmallReplyBytes limits replies with a lease, the message of an error, and the
	// rest of a body that is read so that its connection can be reused.
	maxSmallReplyBytes = 64 << 10
)

// DefaultTimeout limits one attempt of a call. The store answers in milliseconds, so a
// connection without a response for this long is abandoned.
const DefaultTimeout = 2 * time.Second

// WatchReplyTimeout replaces DefaultTimeout for calls that wait for a change: how long
// after the wait the reply may take. A change must not be delayed much by a call that the
// platform has dropped.
const WatchReplyTimeout = time.Second

// maxHeadBytes limits the head of a reply. Package http would read 10 MB.
const maxHeadBytes = 64 << 10

// dialTimeout leaves time to try another base URL within typical call deadlines.
const dialTimeout = 500 * time.Millisecond

// Client calls the platform. Its methods are safe for concurrent use. Its fields must not
// be changed after the first call.
type Client struct {
	BaseURLs []string      // tried in order, starting with the one that answered last
	HTTP     *http.Client  // sends the requests
	Timeout  time.Duration // of one attempt, in addition to the wait of a watch; 0 for the defaults
	Clock    trclock.Clock // nil for the system clock

	// OnStoreTime, if set, is called with the store's time from every reply. The store
	// read its clock between sent and received.
	OnStoreTime func(store time.Time, sent, received time.Time)

	// Calls counts the HTTP requests by kind: Get, Put, Delete, List, Watch, Grant,
	// Renew, Revoke and Instances. It counts every attempt.
	Calls expvar.Map

	lastBase atomic.Int32 // index of the base URL that answered last
}

// New returns a client for the base URLs. It does not use proxies or follow redirects.
func New(baseURLs ...string) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    4, // a watch, the instance list, a lease and one other call
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{
		BaseURLs: baseURLs,
		HTTP: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Get reads a key, or returns ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (*trwire.Entry, error) {
	entry := new(trwire.Entry)
	err := c.do(ctx, &call{kind: "Get", method: http.MethodGet, path: keyPath(key), notFound: ErrNotFound},
		decodeInto(entry, MaxEntryBytes))
	return result(entry, err)
}

// Put writes a key if its version equals put.PrevVersion, or returns a *ConflictError.
func (c *Client) Put(ctx context.Context, key string, put *trwire.PutRequest) (*trwire.Entry, error) {
	if err := put.Check(); err != nil {
		return nil, err
	}
	entry := new(trwire.Entry)
	err := c.do(ctx, &call{kind: "Put", method: http.MethodPut, path: keyPath(key), body: put, writes: true, notFound: ErrNotFound},
		decodeInto(entry, MaxEntryBytes))
	return result(entry, err)
}

// Delete deletes a key if its version equals prevVersion, or returns a *ConflictError.
func (c *Client) Delete(ctx context.Context, key string, prevVersion uint64) error {
	query := url.Values{"PrevVersion": {formatUint(prevVersion)}}
	return c.do(ctx, &call{kind: "Delete", method: http.MethodDelete, path: keyPath(key), query: query, writes: true, notFound: ErrNotFound}, nil)
}

// List returns the entries of all keys that begin with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]trwire.Entry, error) {
	list := new(trwire.EntryList)
	query := url.Values{"Prefix": {prefix}}
	err := c.do(ctx, &call{kind: "List", method: http.MethodGet, path: trwire.PathKV, query: query}, decodeInto(list, MaxListBytes))
	return list.Entries, err
}

// Watch waits until the version of a key is greater than after and returns the entry. It
// returns ErrUnchanged if that does not happen within wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*trwire.Entry, error) {
	entry := new(trwire.Entry)
	err := c.do(ctx, &call{kind: "Watch", method: http.MethodGet, path: trwire.PathWatch + "/" + url.PathEscape(key),
		query: waitQuery(after, wait), wait: wait, notFound: ErrNotFound}, decodeInto(entry, MaxEntryBytes))
	return result(entry, err)
}

// Grant creates a lease. After an error with MayHaveTakenEffect, a lease without keys may
// exist until its TTL ends.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (*trwire.Lease, error) {
	lease := new(trwire.Lease)
	body := &trwire.LeaseRequest{TTLMs: ttl.Milliseconds()}
	err := c.do(ctx, &call{kind: "Grant", method: http.MethodPost, path: trwire.PathLeases, body: body, writes: true},
		decodeInto(lease, maxSmallReplyBytes))
	return result(lease, err)
}

// Renew restarts the TTL of a lease, or returns ErrLeaseNotFound.
func (c *Client) Renew(ctx context.Context, id string) (*trwire.Lease, error) {
	lease := new(trwire.Lease)
	err := c.do(ctx, &call{kind: "Renew", method: http.MethodPut, path: leasePath(id), writes: true, notFound: ErrLeaseNotFound},
		decodeInto(lease, maxSmallReplyBytes))
	return result(lease, err)
}

// Revoke ends a lease and deletes the keys attached to it. It returns ErrLeaseNotFound if
// the lease has already ended.
func (c *Client) Revoke(ctx context.Context, id string) error {
	return c.do(ctx, &call{kind: "Revoke", method: http.MethodDelete, path: leasePath(id), writes: true, notFound: ErrLeaseNotFound}, nil)
}

// Instances waits until the revision of the platform's instance list is greater than
// after and returns the list. It returns ErrUnchanged if that does not happen within wait.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (*trwire.InstanceList, error) {
	list := new(trwire.InstanceList)
	err := c.do(ctx, &call{kind: "Instances", method: http.MethodGet, path: trwire.PathInstances,
		query: waitQuery(after, wait), wait: wait}, decodeInto(list, MaxListBytes))
	return result(list, err)
}

func keyPath(key string) string { return trwire.PathKV + "/" + url.PathEscape(key) }

func leasePath(id string) string { return trwire.PathLeases + "/" + url.PathEscape(id) }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func waitQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{"After": {formatUint(after)}, "WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
}

func result[T any](v *T, err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return v, nil
}

// decodeInto returns a function that decodes a reply body into dst.
func decodeInto[T any, P interface {
	*T
	trwire.Checker
}](dst P, limit int64) func(io.Reader) error {
	return func(body io.Reader) error {
		v, err := trwire.Decode[T, P](body, limit)
		if err != nil {
			return err
		}
		*dst = *v
		return nil
	}
}

// call describes one call to the platform.
type call struct {
	kind     string
	method   string
	path     string
	query    url.Values
	body     any           // encoded as JSON if not nil
	wait     time.Duration // how long the platform may hold back the reply
	writes   bool
	notFound error // result of status 404, nil if the protocol has no 404 for the call
}

// do sends the call to the base URLs in turn until one answers.
func (c *Client) do(ctx context.Context, call *call, decode func(io.Reader) error) error {
	var body []byte
	if call.body != nil {
		data, err := json.Marshal(call.body)
		if err != nil {
			return errors.Wrap(err, "encode platform call")
		}
		body = data
	}
	start := int(c.lastBase.Load())
	err := errors.New("no base URL is configured")
	for i := range c.BaseURLs {
		base := (start + i) % len(c.BaseURLs)
		var sent bool
		sent, err = c.attempt(ctx, c.BaseURLs[base], call, body, decode)
		var noAnswer *noAnswerError
		if !errors.As(err, &noAnswer) {
			c.lastBase.Store(int32(base))
			return err
		}
		if call.writes && sent {
			return &UnavailableError{MayHaveTakenEffect: true, Err: err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &UnavailableError{Err: err}
}

// noAnswerError is the error of an attempt without a usable answer.
type noAnswerError struct{ err error }

func (e *noAnswerError) Error() string { return e.err.Error() }

func (e *noAnswerError) Unwrap() error { return e.err }

// attempt sends the call to one base URL. sent reports whether a connection was obtained,
// after which bytes may have been sent.
func (c *Client) attempt(ctx context.Context, base string, call *call, body []byte, decode func(io.Reader) error) (sent bool, err error) {
	timeout := c.Timeout
	switch {
	case timeout != 0:
	case call.wait > 0:
		timeout = WatchReplyTimeout
	default:
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+call.wait)
	defer cancel()
	var connected atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		now := c.now()
		connected.CompareAndSwap(nil, &now) // the transport may retry on a second connection
	}})
	req, err := newRequest(ctx, base, call, body)
	if err != nil {
		return false, &noAnswerError{err}
	}
	c.Calls.Add(call.kind, 1)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return connected.Load() != nil, &noAnswerError{err}
	}
	defer drainBody(resp.Body)
	if at := connected.Load(); at != nil {
		c.reportStoreTime(resp.Header, *at)
	}
	return true, call.handleResponse(resp, decode)
}

func newRequest(ctx context.Context, base string, call *call, body []byte) (*http.Request, error) {
	target := strings.TrimSuffix(base, "/") + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// handleResponse decodes a successful reply and maps the other statuses to errors.
func (call *call) handleResponse(resp *http.Response, decode func(io.Reader) error) error {
	switch status := resp.StatusCode; {
	case status == http.StatusNoContent && decode == nil:
		return nil
	case status == http.StatusOK && decode == nil:
		return nil
	case status == http.StatusOK:
		if err := decode(resp.Body); err != nil {
			return &noAnswerError{errors.Wrapf(err, "reply to %s", call.kind)}
		}
		return nil
	case status == http.StatusNotModified && !call.writes:
		return ErrUnchanged
	case status == http.StatusNotFound && call.notFound != nil:
		return call.notFound
	case status == http.StatusConflict:
		kv := readError(resp.Body)
		return &ConflictError{Message: kv.Message, Present: kv.Present}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &RejectedError{Status: status, Message: readError(resp.Body).Message}
	default:
		return &noAnswerError{errors.Errorf("%s was answered with status %d: %s", call.kind, status, readError(resp.Body).Message)}
	}
}

// readError decodes the body of an error reply. If the body cannot be decoded, it
// returns a placeholder message, since the status is sufficient.
func readError(body io.Reader) trwire.KVError {
	kv, err := trwire.Decode[trwire.KVError](body, MaxEntryBytes+maxSmallReplyBytes)
	if err != nil {
		return trwire.KVError{Message: "no readable message"}
	}
	return *kv
}

func drainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxSmallReplyBytes) // allows the connection to be reused
	_ = body.Close()
}

func (c *Client) reportStoreTime(header http.Header, sent time.Time) {
	if c.OnStoreTime == nil {
		return
	}
	ms, err := strconv.ParseInt(header.Get(trwire.HeaderStoreTimeMs), 10, 64)
	if err != nil {
		return
	}
	c.OnStoreTime(time.UnixMilli(ms), sent, c.now())
}

func (c *Client) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock.Now()
}
