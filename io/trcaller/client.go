// Package trcaller is the client that callers use to send requests to an
// instance over HTTP/JSON.
//
// # Usage
//
//	client := trcaller.New(64)
//	answer, err := client.Do(ctx, "127.0.0.1:7001", &trwire.Request{Kind: trwire.Query, ...})
//	var refusal *trwire.Refusal
//	if errors.As(err, &refusal) { ... }
package trcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Client sends requests to instances. Its connections are kept alive.
type Client struct {
	HTTP *http.Client
}

// New returns a client that keeps up to idle connections per instance.
func New(idle int) *Client {
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Do sends req to the instance at addr. A refusal of the instance is returned as
// a *trwire.Refusal. Any other error says nothing of whether the request ran.
func (c *Client) Do(ctx context.Context, addr string, req *trwire.Request) (*trwire.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	url := "http://" + addr + "/v1/" + strings.ToLower(string(req.Kind))
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(httpReq)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() {
		// A read to the end lets the connection be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, 1<<10)
		_ = resp.Body.Close()
	}()
	if resp.StatusCode == http.StatusOK {
		return trwire.Decode[trwire.Answer](resp.Body, trwire.MaxReplyBytes)
	}
	refusal, err := trwire.Decode[trwire.Refusal](resp.Body, trwire.MaxReplyBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "status %d", resp.StatusCode)
	}
	return nil, refusal
}
