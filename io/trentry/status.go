package trentry

import (
	"encoding/json"
	"net/http"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
)

// Status is the response body of GET /v1/status, which an instance serves on its metrics
// address.
type Status struct {
	InstanceID        string   `json:"InstanceID"`
	Zone              string   `json:"Zone"`
	StartedMs         int64    `json:"StartedMs"` // start of the process, Unix time
	Ready             bool     `json:"Ready"`
	Draining          bool     `json:"Draining"`
	Isolated          bool     `json:"Isolated"`       // reaches no other zone, but needs upstreams there
	StoreReachable    bool     `json:"StoreReachable"` // this instance watches the store and gets replies
	DirectoryRevision uint64   `json:"DirectoryRevision"`
	ConfigVersion     uint64   `json:"ConfigVersion"`
	Members           int      `json:"Members"`
	Suspects          int      `json:"Suspects"`
	RunningRequests   int      `json:"RunningRequests"`
	LeavingUpstreams  int      `json:"LeavingUpstreams"` // that announced that they leave
	PausedUpstreams   int      `json:"PausedUpstreams"`  // that recently asked for a pause
	UnreachableZones  []string `json:"UnreachableZones"`
	ExhaustedBudgets  int      `json:"ExhaustedBudgets"`        // services for which no repeat is permitted now
	LeadsRollouts     bool     `json:"LeadsRollouts,omitempty"` // this instance decides on roll-outs
	// Rollouts holds the latest known plans of roll-outs.
	Rollouts []trdirectory.Plan `json:"Rollouts,omitempty"`

	Quotas []traccount.AccountStatus `json:"Quotas,omitempty"` // of the client accounts that were used here
}

// Status returns the current status.
func (s *Server) Status() Status {
	table, tracker := s.directory.Table(), s.frontend.gateway.Tracker()
	st := Status{
		InstanceID:        s.settings.InstanceID,
		Zone:              s.settings.Zone,
		StartedMs:         s.started.UnixMilli(),
		Ready:             s.ready(),
		Draining:          s.frontend.drain.started(),
		Isolated:          s.frontend.isolated.Load(),
		StoreReachable:    s.group.Self().StoreReachable,
		DirectoryRevision: s.directory.Revision(),
		ConfigVersion:     table.Version,
		RunningRequests:   s.frontend.drain.count(),
		LeavingUpstreams:  tracker.LeavingUpstreams(),
		PausedUpstreams:   tracker.PausedUpstreams(),
		UnreachableZones:  []string{},
		ExhaustedBudgets:  s.frontend.gateway.ExhaustedBudgets(),
		Quotas:            s.quotaStatus(),
	}
	if s.rollouts != nil {
		st.LeadsRollouts, st.Rollouts = s.rollouts.leader.Leading(), s.rollouts.controller.Plans()
	}
	for _, zone := range table.Zones() {
		if !tracker.Reachable(zone) {
			st.UnreachableZones = append(st.UnreachableZones, zone)
		}
	}
	for _, m := range s.group.Members() {
		switch m.State {
		case trmember.Alive:
			st.Members++
		case trmember.Suspect:
			st.Suspects++
		}
	}
	return st
}

// serveStatus handles GET /v1/status.
func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status()) // fails only if the connection is closed
}
