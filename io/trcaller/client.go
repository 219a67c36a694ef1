// Package trcaller is a client that sends requests to an instance as JSON over HTTP.
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

// Client sends requests to instances and reuses its connections.
type Client struct {
	HTTP *http.Client
}

// New returns a client that keeps up to maxIdle idle connections per instance.
func New(maxIdle int) *Client {
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Do sends req to the instance at addr. If the instance refuses the request, the error
// is a *trwire.Refusal. Any other error leaves open whether the request was run.
func (c *Client) Do(ctx context.Context, addr string, req *trwire.Request) (*trwire.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	url := "http://" + addr + "/v1/" + strings.ToLower(string(req.Kind))
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(httpReq)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() {
		// The connection is only reused if the body has been read to its end.
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
