package trserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trconfig"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trroute"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trplatform"
)

// Names of the documents that instances disseminate to each other.
const (
	docConfig    = "config"
	docInstances = "instances"
	docChanges   = "instances-changes"
)

const (
	// watchWait is how long the platform may hold one watch call. A watch without
	// changes costs one call per watchWait. A watch that the platform has dropped
	// without notice ends after watchWait and trplatform.WatchReplyTimeout, which must
	// leave time to bring a change into force within 3 s.
	watchWait = time.Second
	// watchBackoff is the upper bound of the first backoff after a failed watch call.
	// Backoffs are random, so that watchers do not all reconnect at once after an
	// outage.
	watchBackoff = 400 * time.Millisecond
	// maxWatchBackoff limits the backoff, and with it the delay of a change that is
	// made just after an outage.
	maxWatchBackoff = 2 * time.Second
	// watcherPollPeriod is how often an instance checks whether it is a watcher.
	watcherPollPeriod = 250 * time.Millisecond
	// catalogScanPeriod is how often the catalog (the snapshots that each leaf holds)
	// is scanned for stale entries.
	catalogScanPeriod = 100 * time.Millisecond
	// helloTimeout limits a hello, the call by which a leaf describes itself and what
	// it holds. Connecting takes 1 to 6 ms and a round trip between zones 10 ms.
	helloTimeout = time.Second
	// maxConcurrentHellos limits the hellos in flight.
	maxConcurrentHellos = 32
	// minRefreshPeriod limits each service to about 20 refreshes per second,
	// regardless of the number of requests that ask for one.
	minRefreshPeriod = 50 * time.Millisecond
	// confirmPeriod is how often the configuration's age is updated from the other
	// instances and the claim limit is adapted to the number of instances.
	confirmPeriod = time.Second
	// flushPeriod is how often the claims of requests that ran while the store was
	// unavailable are written again.
	flushPeriod = time.Second
)

// checkDocument rejects invalid documents before they are adopted or disseminated.
func (s *Server) checkDocument(doc trmember.Document) error {
	switch doc.Name {
	case docConfig:
		_, err := trconfig.Decode(doc.Body)
		return err
	case docInstances:
		_, err := s.decoder.decode(doc.Body)
		return err
	case docChanges:
		_, err := decodeChanges(doc.Body)
		return err
	}
	return nil
}

// subscribe registers the callbacks by which documents update the configuration and
// the routing, the configuration updates the components that depend on it, and the
// member list updates the lease.
func (s *Server) subscribe() {
	docs := s.group.Documents()
	docs.Subscribe(docConfig, func(doc trmember.Document) { s.adoptConfig(doc.Body) })
	docs.Subscribe(docInstances, func(doc trmember.Document) { s.adoptInstances(doc.Body) })
	docs.Subscribe(docChanges, func(doc trmember.Document) { s.adoptChanges(doc.Body) })
	s.group.Subscribe(s.lease.ObserveMembers)
	s.group.Notices().Subscribe(func(f trmember.LeafInfo) {
		s.router.ApplyNotice(f.LeafID, f.StartID, f.Draining, s.clock.Now().Sub(f.FirstSeen))
	})
	s.configs.Subscribe(s.applyPolicy)
}

func (s *Server) adoptConfig(body []byte) {
	adopted, err := s.configs.AdoptEncoded(body)
	if err != nil {
		s.log.WithError(err).Warn("configuration refused, the last good one stays in force")
		return
	}
	if adopted {
		s.log.WithField("Revision", s.configs.Current().Revision()).Info("configuration in force")
	}
}

func (s *Server) adoptInstances(body []byte) {
	list, err := s.decoder.decode(body)
	if err != nil {
		s.log.WithError(err).Warn("instance list refused")
		return
	}
	if republish := s.instanceList.setBase(list, len(body)); republish != nil {
		// Changes made against the previous base cannot be applied to this one.
		s.publishInstances(republish)
	}
}

func (s *Server) adoptChanges(body []byte) {
	changes, err := decodeChanges(body)
	if err != nil {
		s.log.WithError(err).Warn("instance list changes refused")
		return
	}
	s.instanceList.setChanges(changes)
}

func (s *Server) applyInstances(list *trwire.InstanceList) {
	s.absence.observe(list)
	s.router.SetInstances(list)
}

// publishInstances disseminates a list that this instance has read from the platform.
func (s *Server) publishInstances(list *trwire.InstanceList) {
	doc, err := s.instanceList.documentFor(list)
	if err != nil {
		s.log.WithError(err).Warn("instance list was not published")
		return
	}
	s.group.Documents().Set(doc)
}

func (s *Server) applyPolicy(p *trconfig.Policy) {
	s.router.SetPolicy(p)
	s.budgets.set(p.Fleet())
	s.applyAdmission(p)
	out := s.peers.isOut()
	s.group.Update(func(m *trmember.Member) { m.ConfigRevision, m.Out = p.Revision(), out })
	s.configuredOnce.Do(func() { close(s.configured) })
}

// watch calls poll in a loop while this instance is a watcher. poll waits for a value
// of the platform that is newer than the last one and publishes it.
func (s *Server) watch(ctx context.Context, name string, poll func(ctx context.Context) error) {
	backoff := watchBackoff
	for ctx.Err() == nil {
		if !s.group.IsWatcher(s.fleetPolicy().Watchers) {
			_ = trclock.Sleep(ctx, s.clock, watcherPollPeriod)
			continue
		}
		err := poll(ctx)
		if err == nil || errors.Is(err, trplatform.ErrUnchanged) {
			s.setStoreReachable(true)
			backoff = watchBackoff
			continue
		}
		if errors.Is(err, trplatform.ErrNotFound) {
			_ = trclock.Sleep(ctx, s.clock, watcherPollPeriod)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.setStoreReachable(false)
		s.log.WithError(err).WithField("Watch", name).Warn("watch on the platform failed")
		_ = trclock.Sleep(ctx, s.clock, time.Duration(rand.Int64N(int64(backoff))))
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

func (s *Server) setStoreReachable(ok bool) {
	s.group.Update(func(m *trmember.Member) { m.StoreReachable = ok })
}

func (s *Server) watchConfig(ctx context.Context) {
	after := uint64(0)
	s.watch(ctx, docConfig, func(ctx context.Context) error {
		entry, err := s.platform.Watch(ctx, trconfig.Key, after, watchWait)
		if errors.Is(err, trplatform.ErrUnchanged) {
			s.configs.Confirm(s.clock.Now())
		}
		if err != nil {
			return err
		}
		after = entry.Version
		s.publishConfig(entry.Value)
		return nil
	})
}

// publishConfig adopts a configuration read from the store and disseminates it. The
// controller counts older and invalid ones, and they are not disseminated.
func (s *Server) publishConfig(value []byte) {
	s.adoptConfig(value)
	doc, err := trconfig.Decode(value)
	if err != nil {
		return
	}
	if p := s.configs.Current(); p != nil && p.Revision() == doc.Revision {
		s.configs.Confirm(s.clock.Now())
	}
	s.group.Documents().Set(trmember.Document{Name: docConfig, Revision: doc.Revision, Body: value})
}

// updateClaimLimit sets this instance's share of the claims per second that the fleet
// may write. Request IDs are distributed evenly over the holders of sender indexes.
func (s *Server) updateClaimLimit(time.Time) {
	holders := 0
	if table := s.lease.Table(); table != nil {
		for i := range table.Entries {
			if !table.Entries[i].Released {
				holders++
			}
		}
	}
	s.claims.SetLimit(s.fleetPolicy().ClaimsPerSecond / float64(max(1, holders)))
}

// confirmConfig confirms the revision in force if a live member that reaches the store
// has the same one. Instances that do not watch the store learn the age of their
// configuration this way.
func (s *Server) confirmConfig(now time.Time) {
	policy := s.configs.Current()
	if policy == nil {
		return
	}
	for _, m := range s.group.Members() {
		if m.State == trmember.Alive && m.StoreReachable && m.ConfigRevision == policy.Revision() {
			s.configs.Confirm(now)
			return
		}
	}
}

func (s *Server) watchInstances(ctx context.Context) {
	after := uint64(0)
	s.watch(ctx, docInstances, func(ctx context.Context) error {
		list, err := s.platform.Instances(ctx, after, watchWait)
		if err != nil {
			return err
		}
		after = list.Revision
		s.publishInstances(list)
		return nil
	})
}

// refreshCatalog sends a hello to the leafs whose catalog entries are stale.
func (s *Server) refreshCatalog(now time.Time) {
	if _, _, ok := s.lease.Sender(now); !ok {
		return
	}
	for _, leaf := range s.router.NeedHello(now) {
		select {
		case s.helloSlots <- struct{}{}:
		default:
			return // NeedHello returns the remaining leafs again later
		}
		go func() {
			defer func() { <-s.helloSlots }()
			s.hello(context.Background(), leaf)
		}()
	}
}

func (s *Server) hello(ctx context.Context, leaf *trroute.Leaf) {
	ctx, cancel := trclock.WithTimeout(ctx, s.clock, helloTimeout)
	defer cancel()
	if _, err := s.leafs.Hello(ctx, target(leaf)); err != nil {
		s.log.WithError(err).WithField("Leaf", leaf.ID).Debug("hello failed")
	}
}

// refreshService sends a hello to all leafs of a service. It is called when a request
// needs a version that is not in the catalog.
func (s *Server) refreshService(ctx context.Context, service string) {
	_, _, _ = s.refreshGroup.Do(service, func() (any, error) {
		s.helloService(ctx, service)
		// Requests for the same service share one refresh within this time.
		return nil, trclock.Sleep(ctx, s.clock, minRefreshPeriod)
	})
}

func (s *Server) helloService(ctx context.Context, service string) {
	var wg sync.WaitGroup
	for _, leaf := range s.router.LeafsOf(service) {
		select {
		case s.helloSlots <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() {
			defer func() { <-s.helloSlots }()
			s.hello(ctx, leaf)
		})
	}
	wg.Wait()
}

func (s *Server) flushClaims(ctx context.Context) {
	for trclock.Sleep(ctx, s.clock, flushPeriod) == nil {
		written, err := s.onceTable.Flush(ctx)
		if written > 0 || err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"Written": written}).Info("claims made without the store were written")
		}
	}
}
