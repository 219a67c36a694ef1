package trfakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trwire"
)

// Kinds of call in the counts.
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

// maxPutBytes bounds the body of a PUT, which holds a value in base64.
const maxPutBytes = 2 * trwire.MaxValueBytes

// maxControlBytes bounds the body of a control call, which may hold a list of
// thousands of instances.
const maxControlBytes = 4 << 20

// Handler returns the HTTP handler of the protocol and of the control endpoints.
//
//	POST /control/down       {"Mode": "Refuse", "Hang" or ""}
//	POST /control/slow       {"DelayMs": 200}
//	POST /control/lose       {"Count": 1}
//	POST /control/stale      {"Key": "config", "Back": 1}
//	POST /control/listlag    {"LagMs": 2000}
//	POST /control/instances  ListChange
//	GET  /control/counts     calls by kind
//	GET  /control/journal    events as JSON lines
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(pattern, kind string, f http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, kind, f) })
	}
	serve("GET "+trwire.PathKV+"/{key...}", countGet, p.serveGet)
	serve("PUT "+trwire.PathKV+"/{key...}", countPut, p.servePut)
	serve("DELETE "+trwire.PathKV+"/{key...}", countDelete, p.serveDelete)
	serve("GET "+trwire.PathKV, countList, p.serveList)
	serve("GET "+trwire.PathWatch+"/{key...}", countWatch, p.serveWatch)
	serve("POST "+trwire.PathLeases, countLeaseGrant, p.serveGrant)
	serve("PUT "+trwire.PathLeases+"/{id}", countLeaseRenew, p.serveRenew)
	serve("DELETE "+trwire.PathLeases+"/{id}", countLeaseDrop, p.serveDrop)
	serve("GET "+trwire.PathInstances, countInstances, p.serveInstances)
	mux.HandleFunc("POST /control/{fault}", p.serveControl)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		p.reply(w, http.StatusOK, p.Counts())
	})
	mux.Handle("GET /control/journal", p.journal)
	return mux
}

// serve counts a call and applies outages and delays to it.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, kind string, f http.HandlerFunc) {
	p.mu.Lock()
	p.counts[kind]++
	if p.down != DownNot {
		p.counts[countWhileDown]++
	}
	half := time.Duration(p.delayMs) * time.Millisecond / 2
	p.mu.Unlock()
	p.failIfDown(r)
	p.sleep(r, half)
	p.failIfDown(r)
	f(w, r)
}

// sleep waits for d and ends the call if the client gave up.
func (p *Platform) sleep(r *http.Request, d time.Duration) {
	if d > 0 && trclock.Sleep(r.Context(), p.clock, d) != nil {
		panic(http.ErrAbortHandler)
	}
}

// failIfDown ends the call without an answer during an outage. In mode Hang it
// first waits until the mode changes.
func (p *Platform) failIfDown(r *http.Request) {
	mode, changed := p.mode()
	if mode == DownNot {
		return
	}
	for mode == DownHang {
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		mode, changed = p.mode()
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) mode() (DownMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down, p.changed
}

func (p *Platform) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set(trwire.HeaderStoreTimeMs, strconv.FormatInt(p.clock.Now().UnixMilli(), 10))
	if v == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// answer is reply after the second half of the delay.
func (p *Platform) answer(w http.ResponseWriter, r *http.Request, status int, v any) {
	p.mu.Lock()
	half := time.Duration(p.delayMs) * time.Millisecond / 2
	p.mu.Unlock()
	p.sleep(r, half)
	p.failIfDown(r)
	p.reply(w, status, v)
}

func (p *Platform) fail(w http.ResponseWriter, r *http.Request, status int, message string) {
	p.answer(w, r, status, trwire.KVError{Message: message})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	e, ok := p.read(r.PathValue("key"))
	if !ok {
		p.fail(w, r, http.StatusNotFound, "no such key")
		return
	}
	p.answer(w, r, http.StatusOK, e)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.answer(w, r, http.StatusOK, p.list(r.FormValue("Prefix")))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	req, err := trwire.Decode[trwire.PutRequest](r.Body, maxPutBytes)
	if err != nil {
		p.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	e, ok, lost, err := p.put(r.PathValue("key"), *req)
	switch {
	case err != nil:
		p.fail(w, r, http.StatusNotFound, err.Error())
	case lost:
		panic(http.ErrAbortHandler)
	case !ok:
		p.answer(w, r, http.StatusConflict, trwire.KVError{Message: "version differs", Present: &e})
	default:
		p.answer(w, r, http.StatusOK, e)
	}
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	prev, err := number(r, "PrevVersion")
	if err != nil {
		p.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	present, ok := p.Delete(r.PathValue("key"), prev)
	if !ok {
		p.answer(w, r, http.StatusConflict, trwire.KVError{Message: "version differs", Present: &present})
		return
	}
	p.answer(w, r, http.StatusNoContent, nil)
}

func number(r *http.Request, field string) (uint64, error) {
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

// longPoll answers as soon as look finds something, or 304 after WaitMs.
func (p *Platform) longPoll(w http.ResponseWriter, r *http.Request, look func(after uint64) (any, bool)) {
	after, err := number(r, "After")
	if err != nil {
		p.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	waitMs, err := number(r, "WaitMs")
	if err != nil {
		p.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	timeout := make(chan struct{})
	stop := p.clock.After(time.Duration(waitMs)*time.Millisecond, func(time.Time) { close(timeout) })
	defer stop()
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		p.failIfDown(r)
		if v, ok := look(after); ok {
			p.answer(w, r, http.StatusOK, v)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			p.answer(w, r, http.StatusNotModified, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	req, err := trwire.Decode[trwire.LeaseRequest](r.Body, trwire.MaxRequestBytes)
	if err != nil {
		p.fail(w, r, http.StatusBadRequest, err.Error())
		return
	}
	p.answer(w, r, http.StatusOK, p.Grant(req.TTLMs))
}

func (p *Platform) serveRenew(w http.ResponseWriter, r *http.Request) {
	l, ok := p.Renew(r.PathValue("id"))
	if !ok {
		p.fail(w, r, http.StatusNotFound, "lease has lapsed")
		return
	}
	p.answer(w, r, http.StatusOK, l)
}

func (p *Platform) serveDrop(w http.ResponseWriter, r *http.Request) {
	if !p.Drop(r.PathValue("id")) {
		p.fail(w, r, http.StatusNotFound, "lease has lapsed")
		return
	}
	p.answer(w, r, http.StatusNoContent, nil)
}

// Control is the body of a control call. Each call reads the fields it needs.
type Control struct {
	Mode    DownMode `json:"Mode"`
	DelayMs int64    `json:"DelayMs"`
	Count   int      `json:"Count"`
	Key     string   `json:"Key"`
	Back    int      `json:"Back"`
	LagMs   int64    `json:"LagMs"`
	ListChange
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		p.reply(w, http.StatusBadRequest, trwire.KVError{Message: err.Error()})
		return
	}
	switch r.PathValue("fault") {
	case "down":
		if c.Mode != DownNot && c.Mode != DownRefuse && c.Mode != DownHang {
			p.reply(w, http.StatusBadRequest, trwire.KVError{Message: "Mode is not Refuse, Hang or empty"})
			return
		}
		p.SetDown(c.Mode)
	case "slow":
		p.SetDelay(c.DelayMs)
	case "lose":
		p.LosePuts(c.Count)
	case "stale":
		p.SetStale(c.Key, c.Back)
	case "listlag":
		p.SetListLag(c.LagMs)
	case "instances":
		p.ChangeInstances(c.ListChange)
	default:
		p.reply(w, http.StatusNotFound, trwire.KVError{Message: "no such control"})
		return
	}
	p.reply(w, http.StatusNoContent, nil)
}
