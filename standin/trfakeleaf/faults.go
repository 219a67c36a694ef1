package trfakeleaf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// FaultName is the name of a fault, which is also the last path element of
// POST /control/{name}.
type FaultName string

// Names of the faults, with the fields of Fault that each one reads.
const (
	FaultSlow    FaultName = "slow"    // multiply the service time by Factor; 1 restores it
	FaultDrain   FaultName = "drain"   // On sets the Draining flag of replies; Refuse also refuses new sub-queries
	FaultRestart FaultName = "restart" // stop, and start cold with a new StartID after DownMs
	FaultSilent  FaultName = "silent"  // all connections that are open now drop all data
	FaultShed    FaultName = "shed"    // shed this Share of the sub-queries
	FaultLoad    FaultName = "load"    // report Load instead of the actual load; nil restores it
	FaultRoll    FaultName = "roll"    // add Version with ShardCount, Shards and Loaded; if ShardCount is 0, with the shards of the newest version
	FaultLoaded  FaultName = "loaded"  // set the Loaded flag of Version
	FaultDrop    FaultName = "drop"    // drop Version
	FaultBad     FaultName = "bad"     // corrupt the next Count replies as Bad says
)

// Fault holds the parameters of a fault.
type Fault struct {
	Factor     float64      `json:"Factor"`
	On         bool         `json:"On"`
	Refuse     bool         `json:"Refuse"`
	DownMs     int64        `json:"DownMs"`
	Share      float64      `json:"Share"`
	Load       *trwire.Load `json:"Load"`
	Version    uint64       `json:"Version"`
	ShardCount int          `json:"ShardCount"`
	Shards     []int        `json:"Shards"`
	Loaded     bool         `json:"Loaded"`
	Count      int          `json:"Count"`
	Bad        BadReply     `json:"Bad"`
}

// BadReply is a way to corrupt a reply.
type BadReply string

// Kinds of bad reply.
const (
	BadWrongShard BadReply = "WrongShard" // names the following shard number, which may be out of range
	BadCrossed    BadReply = "Crossed"    // with the SubID of the previous sub-query
	BadDoubled    BadReply = "Doubled"    // sent twice on the same connection
	BadTruncated  BadReply = "Truncated"  // connection closed after half of the body
	BadFrozen     BadReply = "Frozen"     // half of the body, then nothing while the connection stays open
	BadEndless    BadReply = "Endless"    // an endless list of records
	BadGarbage    BadReply = "Garbage"    // not JSON
	BadNotLoaded  BadReply = "NotLoaded"  // empty, as if the shard were not loaded
	BadFailed     BadReply = "Failed"     // error Failed, although the sub-query has run
)

var badReplies = []BadReply{
	BadWrongShard, BadCrossed, BadDoubled, BadTruncated, BadFrozen, BadEndless, BadGarbage, BadNotLoaded, BadFailed,
}

// faultState holds the faults in force. It is guarded by Leaf.mu and survives a restart.
type faultState struct {
	factor    float64
	draining  bool
	refusing  bool
	shedShare float64
	load      *trwire.Load
	bad       BadReply
	badLeft   int // number of replies still to be corrupted
}

// Apply injects a fault or ends it, depending on the fields of f.
func (l *Leaf) Apply(name FaultName, f Fault) error {
	switch name {
	case FaultSlow:
		return l.setFault(f.Factor > 0, "Factor must be positive", func(s *faultState) { s.factor = f.Factor })
	case FaultDrain:
		return l.setFault(true, "", func(s *faultState) { s.draining, s.refusing = f.On, f.On && f.Refuse })
	case FaultShed:
		return l.setFault(f.Share >= 0 && f.Share <= 1, "Share must be from 0 to 1", func(s *faultState) { s.shedShare = f.Share })
	case FaultLoad:
		return l.setFault(true, "", func(s *faultState) { s.load = f.Load })
	case FaultBad:
		known := slices.Contains(badReplies, f.Bad)
		return l.setFault(known, "Bad is not a known kind of bad reply", func(s *faultState) { s.bad, s.badLeft = f.Bad, f.Count })
	case FaultRestart:
		l.Restart(time.Duration(f.DownMs) * time.Millisecond)
		return nil
	case FaultSilent:
		l.Silence()
		return nil
	case FaultRoll:
		return l.AddVersion(Holding{Version: f.Version, ShardCount: f.ShardCount, Shards: f.Shards, Loaded: f.Loaded})
	case FaultLoaded:
		if !l.index.setLoaded(f.Version, f.Loaded) {
			return errors.Errorf("version %d is not held", f.Version)
		}
		l.recordVersionChange(f.Version, fmt.Sprintf("Loaded %t", f.Loaded))
		return nil
	case FaultDrop:
		l.index.remove(f.Version)
		l.recordVersionChange(f.Version, "dropped")
		return nil
	}
	return errors.Errorf("unknown fault %q", name)
}

// setFault calls set with the faults in force, or returns an error if valid is false.
func (l *Leaf) setFault(valid bool, message string, set func(*faultState)) error {
	if !valid {
		return errors.New(message)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.faults)
	return nil
}

// Silence makes the connections that are open now drop all data. Sub-queries that run on
// them are not interrupted. New connections work.
func (l *Leaf) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return
	}
	for c := range l.process.conns {
		c.silent.Store(true)
	}
}

// AddVersion adds a version, which must be newer than all others. If ShardCount is 0,
// the new version has the shards of the newest one.
func (l *Leaf) AddVersion(h Holding) error {
	newest, ok := l.index.newest()
	if h.ShardCount == 0 {
		h.ShardCount, h.Shards = newest.ShardCount, newest.Shards
	}
	switch {
	case h.ShardCount == 0:
		return errors.New("ShardCount is missing and the leaf holds no version")
	case ok && h.Version <= newest.Version:
		return errors.Errorf("version %d is not newer than version %d", h.Version, newest.Version)
	}
	for _, shard := range h.Shards {
		if shard < 0 || shard >= h.ShardCount {
			return errors.Errorf("shard %d is out of range for shard count %d", shard, h.ShardCount)
		}
	}
	l.index.add(h)
	l.recordVersionChange(h.Version, fmt.Sprintf("added, Loaded %t", h.Loaded))
	return nil
}

// recordVersionChange records an EventRolled for a version.
func (l *Leaf) recordVersionChange(number uint64, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil {
		p = &process{} // the leaf is down: no StartID
	}
	l.recordEvent(p, EventRolled, &trwire.SubQuery{Version: number}, reason)
}

// nextBadReply returns how to corrupt the reply to q, or "" to send it unchanged, and
// the SubID for a crossed reply.
func (l *Leaf) nextBadReply(p *process, q *trwire.SubQuery) (bad BadReply, previousSubID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previousSubID = p.lastSubID
	p.lastSubID = q.SubID
	if l.faults.badLeft <= 0 {
		return "", ""
	}
	l.faults.badLeft--
	if previousSubID == "" {
		previousSubID = q.SubID + "-other"
	}
	l.recordEvent(p, EventBadReply, q, string(l.faults.bad))
	return l.faults.bad, previousSubID
}

// sendReply writes the reply to a sub-query, corrupted if FaultBad is in force.
func (l *Leaf) sendReply(w http.ResponseWriter, r *http.Request, q *trwire.SubQuery, reply *trwire.SubReply) {
	bad, previousSubID := l.nextBadReply(processOf(r), q)
	switch bad {
	case BadWrongShard:
		reply.Shard = (reply.Shard + 1) % (reply.ShardCount + 1)
	case BadCrossed:
		reply.SubID = previousSubID
	case BadNotLoaded:
		reply.Loaded, reply.Records, reply.ShardRecords = false, []trwire.Record{}, 0
	case BadEndless:
		sendEndless(w)
	case BadFailed:
		l.writeError(w, processOf(r), q.SubID, trwire.LeafFailed, "injected failure")
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		panic(err) // SubReply has no field that can fail
	}
	w.Header().Set("Content-Type", "application/json")
	switch bad {
	case BadGarbage:
		body = bytes.Repeat([]byte("\x00{]"), len(body)/3+1)
	case BadDoubled:
		sendTwice(w, body)
		return
	case BadTruncated, BadFrozen:
		sendHalf(w, body)
		if bad == BadFrozen {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// Write fails only if the client has disconnected.
	_, _ = w.Write(body)
}

// sendHalf sends the Content-Length of the whole body and half of the body.
func sendHalf(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body[:len(body)/2])
	if err != nil || http.NewResponseController(w).Flush() != nil {
		panic(http.ErrAbortHandler)
	}
}

// sendEndless sends records until the client closes the connection.
func sendEndless(w http.ResponseWriter) {
	part := bytes.Repeat([]byte(`{"Key":"k","Score":1},`), 500)
	_, err := io.WriteString(w, `{"Records":[`)
	for err == nil {
		_, err = w.Write(part)
	}
	panic(http.ErrAbortHandler)
}

// sendTwice sends a complete response twice in reply to one request. It then reads from
// the connection until either end closes it.
func sendTwice(w http.ResponseWriter, body []byte) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	response := append([]byte(head), body...)
	if _, err := nc.Write(append(response, response...)); err != nil {
		return
	}
	// Copy returns when the client or the leaf closes the connection.
	_, _ = io.Copy(io.Discard, nc)
}

// maxControlBytes limits the body of a control request.
const maxControlBytes = 1 << 20

// ControlHandler returns the HTTP handler of the leaf's control endpoints.
//
//	POST /control/{fault}  Fault
//	GET  /control/journal  events as JSON lines
func (l *Leaf) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{fault}", func(w http.ResponseWriter, r *http.Request) {
		handleControl(w, r, func(f Fault) error { return l.Apply(FaultName(r.PathValue("fault")), f) })
	})
	mux.Handle("GET /control/journal", l.journal)
	return mux
}

// handleControl decodes the body of a control request and passes it to apply. It
// replies with status 204, or 400 and the error.
func handleControl[T any](w http.ResponseWriter, r *http.Request, apply func(T) error) {
	var v T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&v)
	if err == nil {
		err = apply(v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
