package trfakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// Kinds of call, the keys of Counts.
const (
	countGet        = "Get"
	countList       = "List"
	countPut        = "Put"
	countDelete     = "Delete"
	countWatch      = "Watch"
	countLeaseGrant = "LeaseGrant"
	countLeaseRenew = "LeaseRenew"
	countLeaseDrop  = "LeaseDrop"
	countInstances  = "Instances"
	countWhileDown  = "WhileDown"
)

// maxPutBytes limits the body of a PUT, which holds a base64-encoded value.
const maxPutBytes = 2 * trwire.MaxValueBytes

// maxControlBytes limits the body of a control request, which may list thousands of
// instances.
const maxControlBytes = 4 << 20

// Handler returns the HTTP handler of the platform's protocol and of the control
// endpoints.
//
//	POST /control/down       {"Mode": "Refuse", "Hang" or ""}: ends calls without a
//	                         response, or holds them
//	POST /control/slow       {"DelayMs": 200}: delays responses
//	POST /control/lose       {"Count": 1}: loses the responses to the next Count writes
//	                         that take effect
//	POST /control/stale      {"Key": "config", "Back": 1}: reads of Key return the value
//	                         of Back writes ago
//	POST /control/listlag    {"LagMs": 2000}: delays the visibility of changes of the
//	                         instance list
//	POST /control/instances  ListChange: changes the instance list
//	GET  /control/counts     number of calls by kind
//	GET  /control/journal    events as JSON lines
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, f http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { p.serveWithFaults(w, r, kind, f) })
	}
	handle("GET "+trwire.PathKV+"/{key...}", countGet, p.serveGet)
	handle("PUT "+trwire.PathKV+"/{key...}", countPut, p.servePut)
	handle("DELETE "+trwire.PathKV+"/{key...}", countDelete, p.serveDelete)
	handle("GET "+trwire.PathKV, countList, p.serveList)
	handle("GET "+trwire.PathWatch+"/{key...}", countWatch, p.serveWatch)
	handle("POST "+trwire.PathLeases, countLeaseGrant, p.serveGrant)
	handle("PUT "+trwire.PathLeases+"/{id}", countLeaseRenew, p.serveRenew)
	handle("DELETE "+trwire.PathLeases+"/{id}", countLeaseDrop, p.serveRevoke)
	handle("GET "+trwire.PathInstances, countInstances, p.serveInstances)
	mux.HandleFunc("POST /control/{fault}", p.serveControl)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		p.writeReply(w, http.StatusOK, p.Counts())
	})
	mux.Handle("GET /control/journal", p.journal)
	return mux
}

// serveWithFaults counts a call, applies an outage and the first half of the delay to
// it, and runs f.
func (p *Platform) serveWithFaults(w http.ResponseWriter, r *http.Request, kind string, f http.HandlerFunc) {
	p.mu.Lock()
	p.counts[kind]++
	if p.down != DownNone {
		p.counts[countWhileDown]++
	}
	half := time.Duration(p.delayMs) * time.Millisecond / 2
	p.mu.Unlock()
	p.abortIfDown(r)
	p.sleep(r, half)
	p.abortIfDown(r)
	f(w, r)
}

// sleep waits for d. It aborts the handler if the client disconnects meanwhile.
func (p *Platform) sleep(r *http.Request, d time.Duration) {
	if d > 0 && trclock.Sleep(r.Context(), p.clock, d) != nil {
		panic(http.ErrAbortHandler)
	}
}

// abortIfDown aborts the handler without a response during an outage. In mode Hang it
// first waits until the mode changes.
func (p *Platform) abortIfDown(r *http.Request) {
	mode, changed := p.downMode()
	if mode == DownNone {
		return
	}
	for mode == DownHang {
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		mode, changed = p.downMode()
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) downMode() (DownMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down, p.changed
}

func (p *Platform) writeReply(w http.ResponseWriter, status int, v any) {
	w.Header().Set(trwire.HeaderStoreTimeMs, strconv.FormatInt(p.clock.Now().UnixMilli(), 10))
	if v == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// replyAfterDelay applies the second half of the delay and an outage before it calls
// writeReply.
func (p *Platform) replyAfterDelay(w http.ResponseWriter, r *http.Request, status int, v any) {
	p.mu.Lock()
	half := time.Duration(p.delayMs) * time.Millisecond / 2
	p.mu.Unlock()
	p.sleep(r, half)
	p.abortIfDown(r)
	p.writeReply(w, status, v)
}

func (p *Platform) replyError(w http.ResponseWriter, r *http.Request, status int, message string) {
	p.replyAfterDelay(w, r, status, trwire.KVError{Message: message})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	e, ok := p.read(r.PathValue("key"))
	if !ok {
		p.replyError(w, r, http.StatusNotFound, "key not found")
		return
	}
	p.replyAfterDelay(w, r, http.StatusOK, e)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.replyAfterDelay(w, r, http.StatusOK, p.list(r.FormValue("Prefix")))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	req, err := trwire.Decode[trwire.PutRequest](r.Body, maxPutBytes)
	if err != nil {
		p.replyError(w, r, http.StatusBadRequest, err.Error())
		return
	}
	e, ok, lost, err := p.put(r.PathValue("key"), *req)
	switch {
	case err != nil:
		p.replyError(w, r, http.StatusNotFound, err.Error())
	case lost:
		panic(http.ErrAbortHandler)
	case !ok:
		p.replyAfterDelay(w, r, http.StatusConflict, trwire.KVError{Message: "version mismatch", Present: &e})
	default:
		p.replyAfterDelay(w, r, http.StatusOK, e)
	}
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	prev, err := uintParam(r, "PrevVersion")
	if err != nil {
		p.replyError(w, r, http.StatusBadRequest, err.Error())
		return
	}
	present, ok := p.Delete(r.PathValue("key"), prev)
	if !ok {
		p.replyAfterDelay(w, r, http.StatusConflict, trwire.KVError{Message: "version mismatch", Present: &present})
		return
	}
	p.replyAfterDelay(w, r, http.StatusNoContent, nil)
}

func uintParam(r *http.Request, field string) (uint64, error) {
	s := r.FormValue(field)
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	p.longPoll(w, r, func(after uint64) (any, bool) {
		e, ok := p.read(key)
		return e, ok && e.Version > after
	})
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.longPoll(w, r, func(after uint64) (any, bool) {
		l := p.Instances()
		return l, l.Revision > after
	})
}

// longPoll replies as soon as lookup finds a version newer than the parameter After,
// or with status 304 after WaitMs.
func (p *Platform) longPoll(w http.ResponseWriter, r *http.Request, lookup func(after uint64) (any, bool)) {
	after, err := uintParam(r, "After")
	if err != nil {
		p.replyError(w, r, http.StatusBadRequest, err.Error())
		return
	}
	waitMs, err := uintParam(r, "WaitMs")
	if err != nil {
		p.replyError(w, r, http.StatusBadRequest, err.Error())
		return
	}
	timeout := make(chan struct{})
	stop := p.clock.After(time.Duration(waitMs)*time.Millisecond, func(time.Time) { close(timeout) })
	defer stop()
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		p.abortIfDown(r)
		if v, ok := lookup(after); ok {
			p.replyAfterDelay(w, r, http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			p.replyAfterDelay(w, r, http.StatusNotModified, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	req, err := trwire.Decode[trwire.LeaseRequest](r.Body, trwire.MaxRequestBytes)
	if err != nil {
		p.replyError(w, r, http.StatusBadRequest, err.Error())
		return
	}
	p.replyAfterDelay(w, r, http.StatusOK, p.Grant(req.TTLMs))
}

func (p *Platform) serveRenew(w http.ResponseWriter, r *http.Request) {
	l, ok := p.Renew(r.PathValue("id"))
	if !ok {
		p.replyError(w, r, http.StatusNotFound, "lease has expired")
		return
	}
	p.replyAfterDelay(w, r, http.StatusOK, l)
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !p.Revoke(r.PathValue("id")) {
		p.replyError(w, r, http.StatusNotFound, "lease has expired")
		return
	}
	p.replyAfterDelay(w, r, http.StatusNoContent, nil)
}

// ControlRequest is the body of a control request. Each endpoint reads only the fields
// that it needs.
type ControlRequest struct {
	Mode    DownMode `json:"Mode"`
	DelayMs int64    `json:"DelayMs"`
	Count   int      `json:"Count"`
	Key     string   `json:"Key"`
	Back    int      `json:"Back"`
	LagMs   int64    `json:"LagMs"`
	ListChange
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var c ControlRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		p.writeReply(w, http.StatusBadRequest, trwire.KVError{Message: err.Error()})
		return
	}
	switch r.PathValue("fault") {
	case "down":
		if c.Mode != DownNone && c.Mode != DownRefuse && c.Mode != DownHang {
			p.writeReply(w, http.StatusBadRequest, trwire.KVError{Message: "Mode must be Refuse, Hang or empty"})
			return
		}
		p.SetDown(c.Mode)
	case "slow":
		p.SetDelay(c.DelayMs)
	case "lose":
		p.LosePutResponses(c.Count)
	case "stale":
		p.SetStale(c.Key, c.Back)
	case "listlag":
		p.SetListLag(c.LagMs)
	case "instances":
		p.ChangeInstances(c.ListChange)
	default:
		p.writeReply(w, http.StatusNotFound, trwire.KVError{Message: "unknown control endpoint"})
		return
	}
	p.writeReply(w, http.StatusNoContent, nil)
}
