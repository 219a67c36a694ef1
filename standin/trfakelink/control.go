package trfakelink

import (
	"encoding/json"
	"net/http"
)

// ControlRequest is the body of a control request. Each endpoint reads only the fields
// that it needs.
type ControlRequest struct {
	From     string `json:"From"` // group or AnyGroup
	To       string `json:"To"`   // group or AnyGroup
	On       bool   `json:"On"`
	DelayMs  int64  `json:"DelayMs"`
	JitterMs int64  `json:"JitterMs"`
}

// maxControlBytes limits the body of a control request.
const maxControlBytes = 1 << 16

// ControlHandler returns the HTTP handler of the control endpoints.
//
//	POST /control/delay   {"From", "To", "DelayMs", "JitterMs"}
//	POST /control/cut     {"From", "To", "On"}
//	POST /control/silent  {"From", "To"}
//	POST /control/links   Link -> {"Addr"}
//	GET  /control/links   list of Status
func (n *Network) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	fault := func(path string, apply func(ControlRequest) int) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var c ControlRequest
			if !decode(w, r, &c) {
				return
			}
			if apply(c) == 0 {
				http.Error(w, "no such link", http.StatusNotFound)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	fault("/control/delay", func(c ControlRequest) int { return n.SetDelay(c.From, c.To, c.DelayMs, c.JitterMs) })
	fault("/control/cut", func(c ControlRequest) int { return n.Cut(c.From, c.To, c.On) })
	fault("/control/silent", func(c ControlRequest) int { return n.Silence(c.From, c.To) })
	mux.HandleFunc("POST /control/links", n.serveAdd)
	mux.HandleFunc("GET /control/links", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, n.Links())
	})
	return mux
}

func (n *Network) serveAdd(w http.ResponseWriter, r *http.Request) {
	var l Link
	if !decode(w, r, &l) {
		return
	}
	addr, err := n.Add(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, struct {
		Addr string `json:"Addr"`
	}{addr})
}

// decode decodes the body of a control request into v. On an error it replies with
// status 400 and reports false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
