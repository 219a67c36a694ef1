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

// Names of the documents that instances pass on to each other.
const (
	docConfig    = "config"
	docInstances = "instances"
	docChanges   = "instances-changes"
)

const (
	// watchWait is how long one watch call waits at the store. A watch that waits
	// costs one call in this time.
	watchWait = 20 * time.Second
	// watchRetry is the longest first pause after a failed watch call. Pauses are
	// random, so that watchers do not return together after an outage.
	watchRetry = time.Second
	// watchRetryMax bounds the pause, and so the delay of a change that is made
	// just after an outage.
	watchRetryMax = 2 * time.Second
	// watcherPoll is how often an instance looks whether it has become a watcher.
	watcherPoll = 250 * time.Millisecond
	// helloPeriod is how often the catalog is looked through for old entries.
	helloPeriod = 100 * time.Millisecond
	// helloTimeout ends a hello; connecting takes 1 to 6 ms and a round trip
	// between zones 10 ms.
	helloTimeout = time.Second
	// maxHellos bounds the hellos in flight.
	maxHellos = 32
	// refreshPause bounds the refreshes of a service to some 20 a second, however
	// many requests ask for one.
	refreshPause = 50 * time.Millisecond
	// confirmPeriod is the resolution of the configuration's age, and the delay
	// with which shares follow the number of instances.
	confirmPeriod = time.Second
	// flushPeriod is how often claims made during an outage are tried again.
	flushPeriod = time.Second
)

// checkDocument keeps faulty documents from being adopted or passed on.
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

// subscribe connects the controllers: documents to configuration and routing,
// configuration to the parts that follow it, membership to the lease.
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
	if again := s.lists.setBase(list, len(body)); again != nil {
		// Changes on the former base cannot be applied to this one.
		s.offerInstances(again)
	}
}

func (s *Server) adoptChanges(body []byte) {
	changes, err := decodeChanges(body)
	if err != nil {
		s.log.WithError(err).Warn("changes of the instance list refused")
		return
	}
	s.lists.setChanges(changes)
}

func (s *Server) applyInstances(list *trwire.InstanceList) {
	s.listing.observe(list)
	s.router.SetInstances(list)
}

// offerInstances passes on a list that this instance has read.
func (s *Server) offerInstances(list *trwire.InstanceList) {
	doc, err := s.lists.document(list)
	if err != nil {
		s.log.WithError(err).Warn("instance list not passed on")
		return
	}
	s.group.Documents().Set(doc)
}

func (s *Server) applyPolicy(p *trconfig.Policy) {
	s.router.SetPolicy(p)
	s.budgets.set(p.Fleet())
	s.applyAdmission(p)
	out := s.directory.out()
	s.group.Update(func(m *trmember.Member) { m.ConfigRevision, m.Out = p.Revision(), out })
	s.configuredOnce.Do(func() { close(s.configured) })
}

// watch keeps one of the platform's values up to date while this instance is a
// watcher. poll waits for a value newer than the last one and passes it on.
func (s *Server) watch(ctx context.Context, name string, poll func(ctx context.Context) error) {
	pause := watchRetry
	for ctx.Err() == nil {
		if !s.group.IsWatcher(s.fleetPolicy().Watchers) {
			_ = trclock.Sleep(ctx, s.clock, watcherPoll)
			continue
		}
		err := poll(ctx)
		if err == nil || errors.Is(err, trplatform.ErrUnchanged) {
			s.storeReachable(true)
			pause = watchRetry
			continue
		}
		if errors.Is(err, trplatform.ErrNotFound) {
			_ = trclock.Sleep(ctx, s.clock, watcherPoll)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.storeReachable(false)
		s.log.WithError(err).WithField("Watch", name).Warn("watch on the platform failed")
		_ = trclock.Sleep(ctx, s.clock, time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, watchRetryMax)
	}
}

func (s *Server) storeReachable(ok bool) {
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
		s.offerConfig(entry.Value)
		return nil
	})
}

// offerConfig adopts a value of the store and passes it on. A value that is
// older or faulty is counted by the controller and not passed on.
func (s *Server) offerConfig(value []byte) {
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

// shareClaims sets this instance's share of the claims that the fleet may write.
// Identifiers are spread evenly over the holders of sender indexes.
func (s *Server) shareClaims(time.Time) {
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

// confirmConfig notes that a member with contact to the store holds the revision
// in force here. Instances that do not watch the store know its age that way.
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
		s.offerInstances(list)
		return nil
	})
}

// refreshCatalog asks leafs whose entry in the catalog is old for what they hold.
func (s *Server) refreshCatalog(now time.Time) {
	if _, _, ok := s.lease.Sender(now); !ok {
		return
	}
	for _, leaf := range s.router.NeedHello(now) {
		select {
		case s.refreshing <- struct{}{}:
		default:
			return // the rest is due again at the next period
		}
		go func() {
			defer func() { <-s.refreshing }()
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

// refreshService asks all leafs of a service for what they hold. It is called
// when a request needs a version that the catalog does not have.
func (s *Server) refreshService(ctx context.Context, service string) {
	_, _, _ = s.refreshes.Do(service, func() (any, error) {
		s.helloService(ctx, service)
		// Requests that need the same refresh within this time share it.
		return nil, trclock.Sleep(ctx, s.clock, refreshPause)
	})
}

func (s *Server) helloService(ctx context.Context, service string) {
	var wg sync.WaitGroup
	for _, leaf := range s.router.LeafsOf(service) {
		select {
		case s.refreshing <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() {
			defer func() { <-s.refreshing }()
			s.hello(ctx, leaf)
		})
	}
	wg.Wait()
}

func (s *Server) flushClaims(ctx context.Context) {
	for trclock.Sleep(ctx, s.clock, flushPeriod) == nil {
		written, err := s.once.Flush(ctx)
		if written > 0 || err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"Written": written}).Info("claims made without the store were written")
		}
	}
}
