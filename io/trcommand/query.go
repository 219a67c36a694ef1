package trcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Limits of response bodies, in bytes.
const (
	maxAnswerBytes = 4 * trwire.MaxReplyBytes // records from several leafs
	maxStatusBytes = 1 << 20
)

const pathStatus = "/v1/status"

type queryCommand struct {
	Kind       trwire.Kind `arg:"--kind" default:"Query" help:"Query, Fetch or Execute"`
	Tenant     string      `arg:"--tenant,required" help:"tenant of the request"`
	Class      string      `arg:"--class,required" help:"class of the request"`
	Service    string      `arg:"--service,required" help:"service to query"`
	Terms      string      `arg:"--terms" help:"Query: search text"`
	Key        string      `arg:"--key" help:"Fetch, Execute: key of the record"`
	Body       string      `arg:"--body" placeholder:"JSON" help:"Execute: operation for the leaf"`
	Limit      int         `arg:"--limit" help:"Query: maximum number of records to return"`
	MinVersion uint64      `arg:"--min-version" help:"lowest acceptable version of the snapshot"`
	TimeoutMs  int64       `arg:"--timeout-ms" help:"timeout of the request in milliseconds [default: that of the class]"`
	RequestID  string      `arg:"--request-id" help:"identifier of the request; an Execute runs at most once per identifier [default: random]"`
}

func (c *queryCommand) request() (*trwire.Request, error) {
	r := &trwire.Request{
		RequestID:  c.RequestID,
		Tenant:     c.Tenant,
		Class:      c.Class,
		Service:    c.Service,
		Kind:       c.Kind,
		Terms:      c.Terms,
		Key:        c.Key,
		Limit:      c.Limit,
		MinVersion: c.MinVersion,
		TimeoutMs:  c.TimeoutMs,
	}
	if r.RequestID == "" {
		r.RequestID = newID()
	}
	if c.Body != "" {
		r.Body = json.RawMessage(c.Body)
		if !json.Valid(r.Body) {
			return nil, errors.New("--body is not JSON")
		}
	}
	return r, r.Check()
}

func (c *queryCommand) run(s *session) int {
	req, err := c.request()
	if err != nil {
		s.printErr("error: %v", err)
		return ExitUsage
	}
	if len(s.args.Entry) == 0 {
		return s.noEntry()
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	answer, err := submit(ctx, s.args.Entry, req)
	var refusal *trwire.Refusal
	if errors.As(err, &refusal) {
		s.printErr("refused: %v", refusal)
		if refusal.RetryAfterMs > 0 {
			s.printErr("retry after %d ms", refusal.RetryAfterMs)
		}
		return ExitFailed
	}
	if err != nil {
		if req.Kind == trwire.Execute {
			s.printErr("outcome unknown; --request-id %s repeats the request, which runs at most once", req.RequestID)
		}
		return s.fail(err)
	}
	return s.printAnswer(answer)
}

func (s *session) noEntry() int {
	s.printErr("error: no entry instance is given; set --entry or TANAGERROCK_ENTRY")
	return ExitUsage
}

func (s *session) printAnswer(a *trwire.Answer) int {
	if code := s.printJSON(a); code != ExitOK {
		return code
	}
	if a.Coverage.Complete() {
		return ExitOK
	}
	s.printErr("partial answer: %d of %d shards", a.Coverage.Shards, a.Coverage.ShardsTotal)
	for _, m := range a.Coverage.Missing {
		s.printErr("  shard %d is missing: %s", m.Shard, m.Reason)
	}
	return ExitPartial
}

// submit sends req to the entry instances in order until one returns an answer or a
// refusal. Sending an Execute more than once is safe, since the instances together run
// a RequestID at most once.
func submit(ctx context.Context, entries []string, req *trwire.Request) (*trwire.Answer, error) {
	path := map[trwire.Kind]string{
		trwire.Query:   "/v1/query",
		trwire.Fetch:   "/v1/fetch",
		trwire.Execute: "/v1/execute",
	}[req.Kind]
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		var answer *trwire.Answer
		answer, err = submitTo(ctx, entryURL(entry)+path, body, req.RequestID)
		var refusal *trwire.Refusal
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return answer, err
		}
	}
	return nil, err
}

func submitTo(ctx context.Context, target string, body []byte, requestID string) (*trwire.Answer, error) {
	resp, err := send(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		refusal, err := trwire.Decode[trwire.Refusal](resp.Body, trwire.MaxRequestBytes)
		if err != nil {
			return nil, errors.Wrapf(err, "status %d from %s", resp.StatusCode, target)
		}
		return nil, refusal
	}
	answer, err := trwire.Decode[trwire.Answer](resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "answer from %s", target)
	}
	if answer.RequestID != requestID {
		return nil, errors.Errorf("%s answered request %q", target, answer.RequestID)
	}
	return answer, nil
}

// httpClient uses no proxy. The dial timeout is 500 ms, which leaves time to try
// another entry instance.
var httpClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
}}

func send(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return httpClient.Do(req)
}

func entryURL(addr string) string {
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return strings.TrimSuffix(addr, "/")
}

type statusCommand struct {
	JSON bool `arg:"--json" help:"print one JSON object by entry instance"`
}

func (c *statusCommand) run(s *session) int {
	entries := s.args.Entry
	if len(entries) == 0 {
		return s.noEntry()
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	statuses := make([]map[string]any, len(entries))
	errs := make([]error, len(entries))
	var wg sync.WaitGroup
	for i, entry := range entries {
		wg.Go(func() { statuses[i], errs[i] = fetchStatus(ctx, entry) })
	}
	wg.Wait()
	code := ExitOK
	for i, err := range errs {
		if err != nil {
			code = s.fail(errors.Wrap(err, entries[i]))
		}
	}
	if c.JSON {
		s.printStatuses(entries, statuses)
		return code
	}
	columns := make([]map[string]string, len(entries))
	for i, fields := range statuses {
		columns[i] = make(map[string]string)
		flatten(columns[i], "", fields)
	}
	s.printTable(entries, columns)
	return code
}

// printStatuses prints the statuses as one JSON object by entry instance, without those
// that were not received.
func (s *session) printStatuses(entries []string, statuses []map[string]any) {
	byEntry := make(map[string]any)
	for i, fields := range statuses {
		if fields != nil {
			byEntry[entries[i]] = fields
		}
	}
	enc := json.NewEncoder(s.streams.Out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(byEntry) // the values came from JSON
}

func fetchStatus(ctx context.Context, entry string) (map[string]any, error) {
	resp, err := send(ctx, http.MethodGet, entryURL(entry)+pathStatus, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes))
	dec.UseNumber()
	var fields map[string]any
	if err := dec.Decode(&fields); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return fields, nil
}

// flatten adds fields to column. It joins the names of nested fields with dots, as in
// Config.Revision.
func flatten(column map[string]string, prefix string, fields map[string]any) {
	for name, v := range fields {
		switch v := v.(type) {
		case map[string]any:
			flatten(column, prefix+name+".", v)
		case string:
			column[prefix+name] = v
		default:
			data, _ := json.Marshal(v) // v came from JSON
			column[prefix+name] = string(data)
		}
	}
}

// printTable prints a table with one row per field and one column per instance.
func (s *session) printTable(entries []string, columns []map[string]string) {
	names := make(map[string]bool)
	for _, column := range columns {
		for name := range column {
			names[name] = true
		}
	}
	w := tabwriter.NewWriter(s.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FIELD\t"+strings.Join(entries, "\t"))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		row := []string{name}
		for _, column := range columns {
			value, ok := column[name]
			if !ok {
				value = "-"
			}
			row = append(row, value)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}
