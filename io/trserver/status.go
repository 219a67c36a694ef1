package trserver

import (
	"tanagerrock/core/trmember"
)

// Status is the response body of GET /v1/status.
type Status struct {
	InstanceID     string `json:"InstanceID"`
	Zone           string `json:"Zone"`
	StartedMs      int64  `json:"StartedMs"` // start of the process, Unix time
	Ready          bool   `json:"Ready"`
	Out            bool   `json:"Out"`
	SenderIndex    int    `json:"SenderIndex"` // -1 if none is held
	ConfigRevision uint64 `json:"ConfigRevision"`
	ConfigAgeMs    int64  `json:"ConfigAgeMs"` // time since the revision was last confirmed, -1 if never
	ConfigRejected uint64 `json:"ConfigRejected"`
	ConfigFault    string `json:"ConfigFault,omitempty"`
	HomesSettled   bool   `json:"HomesSettled"` // homes of request IDs do not move until the next claim or release of a sender index
	Members        int    `json:"Members"`
	Suspects       int    `json:"Suspects"`
	InFlight       int    `json:"InFlight"`
	Queued         int    `json:"Queued"`
	StoreReachable bool   `json:"StoreReachable"`
}

func (s *Server) status() Status {
	now := s.clock.Now()
	cfg := s.configs.Status(now)
	st := Status{
		InstanceID:     s.settings.InstanceID,
		Zone:           s.settings.Zone,
		StartedMs:      s.started.UnixMilli(),
		Ready:          s.ready(),
		Out:            s.peers.isOut(),
		SenderIndex:    -1,
		ConfigRevision: cfg.Revision,
		ConfigAgeMs:    cfg.AgeMs,
		ConfigRejected: cfg.Rejected,
		ConfigFault:    cfg.LastFault,
		StoreReachable: s.group.Self().StoreReachable,
	}
	if index, _, ok := s.lease.Sender(now); ok {
		st.SenderIndex = index
	}
	if table := s.lease.Table(); table != nil {
		st.HomesSettled = table.Settled()
	}
	for _, m := range s.group.Members() {
		switch m.State {
		case trmember.Alive:
			st.Members++
		case trmember.Suspect:
			st.Suspects++
		}
	}
	st.InFlight, st.Queued = s.admission.Load()
	return st
}

// registerMetrics registers the gauges and the counters of the leaf and platform
// clients.
func (s *Server) registerMetrics() {
	s.metrics.Set("Leafs", &s.leafs.Counters)
	s.metrics.Set("PlatformCalls", &s.platform.Calls)
	s.metrics.Gauge("ConfigRevision", func() int64 { return int64(s.configs.Status(s.clock.Now()).Revision) })
	s.metrics.Gauge("ConfigAgeMs", func() int64 { return s.configs.Status(s.clock.Now()).AgeMs })
	s.metrics.Gauge("SenderIndex", func() int64 { return int64(s.status().SenderIndex) })
	s.metrics.Gauge("InFlight", func() int64 { n, _ := s.admission.Load(); return int64(n) })
	s.metrics.Gauge("MaxInFlight", func() int64 { return int64(s.fleetPolicy().MaxInFlight) })
	s.metrics.Gauge("Queued", func() int64 { _, n := s.admission.Load(); return int64(n) })
	s.metrics.Gauge("RoutingConflicts", func() int64 { return int64(s.router.Table().Conflicts()) })
}

// HasCompleteSnapshot reports whether this instance is ready and has a complete snapshot
// of the service.
func (s *Server) HasCompleteSnapshot(service string) bool {
	if !s.ready() {
		return false
	}
	sv := s.router.Table().Service(service)
	if sv == nil {
		return false
	}
	_, complete := sv.Choose(0)
	return complete
}

// ExtraSubQueries returns how many hedged and how many retried sub-queries this instance
// has sent.
func (s *Server) ExtraSubQueries() (hedges, retries int64) {
	return s.totals.hedges.Load(), s.totals.retries.Load()
}

// SubQueries returns how many sub-queries this instance has sent and how many its
// requests needed, one per shard.
func (s *Server) SubQueries() (sent, needed int64) {
	return s.totals.sent.Load(), s.totals.needed.Load()
}

// Dials returns how many connections to leafs this instance has started to dial.
func (s *Server) Dials() int64 { return s.leafs.Counters.Dials.Load() }

// SetReportedLoad records the load that a leaf reports for itself. Only the picker
// trroute.ReportedLoad uses it.
func (s *Server) SetReportedLoad(leafID string, share float64) {
	if leaf := s.router.Leaf(leafID); leaf != nil {
		leaf.SetReportedLoad(share)
	}
}

// HoldsSenderIndex reports whether this instance holds a sender index.
func (s *Server) HoldsSenderIndex() bool {
	_, _, ok := s.lease.Sender(s.clock.Now())
	return ok
}

// HomeOf returns the ID of the instance that runs requests with this request ID.
func (s *Server) HomeOf(requestID string) (instanceID string, ok bool) {
	home, ok := s.lease.Home(requestID)
	return home.InstanceID, ok
}
