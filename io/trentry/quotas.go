package trentry

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/core/traccount"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
)

// newQuotas returns the limits of client accounts.
func (s *Server) newQuotas(seed uint64) *traccount.Quotas {
	return traccount.New(traccount.Config{
		Instance: s.settings.InstanceID, Clock: s.clock, Seed: seed, Bounds: s.settings.quotaBounds(),
		View: func() traccount.View {
			view := s.group.View()
			return traccount.View{Members: quotaMembers(view.Members), JoinedAt: view.JoinedAt, Covered: view.Covered}
		},
		FirstStart: s.settings.FirstStart, Peers: s.peerClient, Metrics: s.metrics, OnEvent: s.logQuota,
	})
}

// quotaBounds returns the fleet-wide limits of client accounts.
func (s *Settings) quotaBounds() traccount.Bounds {
	return traccount.Bounds{Window: fromMilliseconds(s.QuotaWindowMs), Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}

// quotaMembers returns the instances that count requests. Stopping instances own no accounts.
func quotaMembers(members []trmember.Member) []traccount.Member {
	list := make([]traccount.Member, len(members))
	for i := range members {
		m := &members[i]
		list[i] = traccount.Member{
			ID: m.ID, PeerAddr: m.PeerAddr, MilliCores: m.MilliCores, Alive: m.State == trmember.Alive && !m.NotReady,
			Started: time.UnixMilli(int64(m.Incarnation >> 16)),
		}
	}
	return list
}

// configureQuotas puts the quotas of an adopted directory in force.
func (s *Server) configureQuotas(d *trdirectory.Directory) {
	if d.Config != nil && d.Config.Version != s.quotaVersion.Swap(d.Config.Version) {
		s.quotas.Configure(d.Config.Version, d.Config.Accounts)
	}
}

// HandleCredit implements trpeer.CreditHandler.
func (h peerHandler) HandleCredit(m *traccount.CreditRequest) *traccount.CreditReply {
	return h.server.quotas.HandleCredit(m)
}

// logQuota logs a change in the state of a client account or its owner. Lines beyond the rate
// limit are dropped and counted.
func (s *Server) logQuota(e traccount.Event) {
	s.metrics.Add("QuotaEvents", string(e.Kind), 1)
	if !s.frontend.logLimiter.Allow() {
		s.metrics.Add("DroppedLines", "", 1)
		return
	}
	entry := s.log.WithFields(logrus.Fields{"Event": e.Kind, "Owner": e.Owner, "AgeMs": e.Age.Milliseconds()})
	if e.Err != nil {
		entry = entry.WithError(e.Err)
	}
	if e.Account != "" {
		entry = entry.WithFields(logrus.Fields{
			"Account": e.Account, "PerSecond": e.PerSecond, "Burst": e.Burst, "Refused": e.Refused, "WaitMs": e.Wait.Milliseconds(),
		})
	}
	switch e.Kind {
	case traccount.AtLimit:
		entry.Warn("client account has reached its limit")
	case traccount.BelowLimit:
		entry.Info("client account is below its limit again")
	default:
		entry.Warn("owner of client accounts does not answer")
	}
}

// quotaStatus returns the state of the client accounts that were used here, by name.
func (s *Server) quotaStatus() []traccount.AccountStatus {
	list := s.quotas.Status()
	slices.SortFunc(list, func(a, b traccount.AccountStatus) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
