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

// FaultName names a fault, also as the last part of POST /control/{name}.
type FaultName string

// Faults, with the fields of Fault that they read.
const (
	FaultSlow    FaultName = "slow"    // Factor of the service time; 1 ends it
	FaultDrain   FaultName = "drain"   // On shows the drain flag; Refuse also refuses new work
	FaultRestart FaultName = "restart" // cold start with a new StartID after DownMs
	FaultSilent  FaultName = "silent"  // all open connections carry nothing any more
	FaultShed    FaultName = "shed"    // Share of sub-queries to shed
	FaultLoad    FaultName = "load"    // Load to report; without it the true load
	FaultRoll    FaultName = "roll"    // add Version; zero ShardCount and no Shards keep the newest ones
	FaultLoaded  FaultName = "loaded"  // set Loaded of Version
	FaultDrop    FaultName = "drop"    // drop Version
	FaultBad     FaultName = "bad"     // spoil the next Count replies as Bad says
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

// BadReply is a way to spoil a reply.
type BadReply string

// Ways to spoil a reply.
const (
	BadWrongShard BadReply = "WrongShard" // of the next shard
	BadCrossed    BadReply = "Crossed"    // with the SubID of the sub-query before
	BadDoubled    BadReply = "Doubled"    // sent twice on the connection
	BadTruncated  BadReply = "Truncated"  // connection closed after half of the body
	BadFrozen     BadReply = "Frozen"     // half of the body, then nothing
	BadEndless    BadReply = "Endless"    // records without end
	BadGarbage    BadReply = "Garbage"    // not JSON
	BadNotLoaded  BadReply = "NotLoaded"  // empty because the shard is not loaded
	BadFailed     BadReply = "Failed"     // error Failed although the sub-query ran
)

var badReplies = []BadReply{
	BadWrongShard, BadCrossed, BadDoubled, BadTruncated, BadFrozen, BadEndless, BadGarbage, BadNotLoaded, BadFailed,
}

// faults holds the switches. They are guarded by Leaf.mu and survive a restart.
type faults struct {
	factor    float64
	draining  bool
	refusing  bool
	shedShare float64
	load      *trwire.Load
	bad       BadReply
	badLeft   int
}

// Apply switches a fault.
func (l *Leaf) Apply(name FaultName, f Fault) error {
	switch name {
	case FaultSlow:
		return l.setFault(f.Factor > 0, "Factor must be positive", func(s *faults) { s.factor = f.Factor })
	case FaultDrain:
		return l.setFault(true, "", func(s *faults) { s.draining, s.refusing = f.On, f.On && f.Refuse })
	case FaultShed:
		return l.setFault(f.Share >= 0 && f.Share <= 1, "Share must be from 0 to 1", func(s *faults) { s.shedShare = f.Share })
	case FaultLoad:
		return l.setFault(true, "", func(s *faults) { s.load = f.Load })
	case FaultBad:
		known := slices.Contains(badReplies, f.Bad)
		return l.setFault(known, "Bad is not a known way to spoil a reply", func(s *faults) { s.bad, s.badLeft = f.Bad, f.Count })
	case FaultRestart:
		l.Restart(time.Duration(f.DownMs) * time.Millisecond)
		return nil
	case FaultSilent:
		l.Silence()
		return nil
	case FaultRoll:
		return l.Roll(Holding{Version: f.Version, ShardCount: f.ShardCount, Shards: f.Shards, Loaded: f.Loaded})
	case FaultLoaded:
		if !l.index.setLoaded(f.Version, f.Loaded) {
			return errors.Errorf("version %d is not held", f.Version)
		}
		l.noteRolled(f.Version, fmt.Sprintf("Loaded %t", f.Loaded))
		return nil
	case FaultDrop:
		l.index.drop(f.Version)
		l.noteRolled(f.Version, "dropped")
		return nil
	}
	return errors.Errorf("no such fault %q", name)
}

func (l *Leaf) setFault(valid bool, message string, set func(*faults)) error {
	if !valid {
		return errors.New(message)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.faults)
	return nil
}

// Silence lets the connections that are open now carry nothing any more. The
// sub-queries that run on them end as if nothing had happened. New connections
// work.
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

// Roll adds a version. With a zero ShardCount it keeps the shards of the newest
// version.
func (l *Leaf) Roll(h Holding) error {
	newest, ok := l.index.newest()
	if h.ShardCount == 0 {
		h.ShardCount, h.Shards = newest.ShardCount, newest.Shards
	}
	switch {
	case h.ShardCount == 0:
		return errors.New("ShardCount is missing and the leaf holds no version")
	case ok && h.Version <= newest.Version:
		return errors.Errorf("version %d is not above %d", h.Version, newest.Version)
	}
	for _, shard := range h.Shards {
		if shard < 0 || shard >= h.ShardCount {
			return errors.Errorf("shard %d of %d is impossible", shard, h.ShardCount)
		}
	}
	l.index.roll(h)
	l.noteRolled(h.Version, fmt.Sprintf("added, Loaded %t", h.Loaded))
	return nil
}

func (l *Leaf) noteRolled(number uint64, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil {
		p = &process{} // the leaf is down: no StartID
	}
	l.note(p, EventRolled, &trwire.SubQuery{Version: number}, reason)
}

// takeBad returns how the next reply is spoilt, or "", and the SubID that a
// crossed reply carries.
func (l *Leaf) takeBad(p *process, q *trwire.SubQuery) (bad BadReply, otherSub string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	otherSub = p.lastSub
	p.lastSub = q.SubID
	if l.faults.badLeft <= 0 {
		return "", ""
	}
	l.faults.badLeft--
	if otherSub == "" {
		otherSub = q.SubID + "-other"
	}
	l.note(p, EventBadReply, q, string(l.faults.bad))
	return l.faults.bad, otherSub
}

// send writes the reply to a sub-query and spoils it if that is switched on.
func (l *Leaf) send(w http.ResponseWriter, r *http.Request, q *trwire.SubQuery, reply *trwire.SubReply) {
	bad, otherSub := l.takeBad(processOf(r), q)
	switch bad {
	case BadWrongShard:
		reply.Shard = (reply.Shard + 1) % (reply.ShardCount + 1)
	case BadCrossed:
		reply.SubID = otherSub
	case BadNotLoaded:
		reply.Loaded, reply.Records, reply.ShardRecords = false, []trwire.Record{}, 0
	case BadEndless:
		sendEndless(w)
	case BadFailed:
		l.refuse(w, processOf(r), q.SubID, trwire.LeafFailed, "failed on purpose")
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
	// A write fails only if the client is gone.
	_, _ = w.Write(body)
}

// sendHalf announces the whole body and sends half of it.
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

// sendTwice sends a whole reply twice, as an answer to one request. It then reads
// the connection until the client closes it.
func sendTwice(w http.ResponseWriter, body []byte) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	one := append([]byte(head), body...)
	if _, err := nc.Write(append(one, one...)); err != nil {
		return
	}
	// Ends when the client or the leaf closes the connection.
	_, _ = io.Copy(io.Discard, nc)
}

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 1 << 20

// ControlHandler returns the HTTP handler of the leaf's control endpoints.
//
//	POST /control/{fault}  Fault
//	GET  /control/journal  events as JSON lines
func (l *Leaf) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{fault}", func(w http.ResponseWriter, r *http.Request) {
		control(w, r, func(f Fault) error { return l.Apply(FaultName(r.PathValue("fault")), f) })
	})
	mux.Handle("GET /control/journal", l.journal)
	return mux
}

// control decodes the body of a control call and answers 204, or 400 with the
// reason.
func control[T any](w http.ResponseWriter, r *http.Request, apply func(T) error) {
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
