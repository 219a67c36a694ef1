package trentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trmember"
	"tanagerrock/io/trsettings"
)

// Guards against a request that runs although its connection was closed as idle,
// and against a connection that is closed with a request in it.
func TestConnectionIsClosedOrDelivers(t *testing.T) {
	clock := trclock.NewManual(time.Unix(0, 0))
	conns := callerConns{clock: clock}
	accept := func() (client net.Conn, cc *callerConn) {
		client, server := net.Pipe()
		cc = &callerConn{Conn: server, all: &conns, idleSince: clock.Now()}
		return client, cc
	}
	buf := make([]byte, 8)

	client, cc := accept()
	cc.closeIdle(clock.Now(), time.Second)
	go io.WriteString(client, "GET")
	n, err := cc.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	cc.closeIdle(clock.Now().Add(time.Hour), 0) // a request is in it
	assert.Assert(t, !cc.closed)
	observe(cc, http.StateIdle)
	cc.closeIdle(clock.Now(), 0)
	assert.Assert(t, cc.closed)

	// Bytes that arrive together with the close are not delivered.
	client, cc = accept()
	go io.WriteString(client, "GET")
	cc.mu.Lock()
	cc.closed = true
	cc.mu.Unlock()
	n, err = cc.Read(buf)
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, errIdleClosed))
}

// silentTransport reaches nobody.
type silentTransport struct{ trmember.Transport }

// Guards against an instance that trusts watchers which do not work.
func TestInstanceWatchesOnItsOwnWithoutWatchers(t *testing.T) {
	clock := trclock.NewManual(time.Unix(0, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 20 {
		group := trmember.NewGroup(trmember.Config{
			Self:  trmember.Member{ID: fmt.Sprint("self", i), Zone: "a", PeerAddr: "10.0.0.1:1"},
			Clock: clock, Transport: silentTransport{},
		})
		_, err := group.Exchange(context.Background(), &trmember.Exchange{From: trmember.Member{
			ID: "other", Zone: "a", PeerAddr: "10.0.0.2:1", State: trmember.Alive, Incarnation: 1, SenderIndex: -1,
		}})
		assert.NilError(t, err)
		d := watchDuty{clock: clock, group: group, zone: "a", log: log}
		assert.Assert(t, d.needed(false), "without a directory it watches")
		if group.IsWatcher(1) {
			assert.Assert(t, d.needed(true))
			continue
		}
		assert.Assert(t, !d.needed(true))
		d.observe("other", 1, false, errors.New("planted"))
		d.observe("other", 1, true, nil)
		d.observe("other", 1, false, errors.New("planted"))
		assert.Assert(t, !d.needed(true))
		d.observe("other", 1, false, errors.New("planted"))
		assert.Assert(t, d.needed(true))
		d.observe("other", 1, true, nil)
		assert.Assert(t, !d.needed(true))
		d.observe("other", 1, false, errors.New("planted"))
		d.observe("other", 1, false, errors.New("planted"))
		assert.Assert(t, d.needed(true))
		clock.Advance(ownWatch)
		assert.Assert(t, !d.needed(true))
	}
}

// Guards against an instance that begins and ends its own watch with every exchange
// while the store turns two of three watchers away, and against one that trusts in
// them when none works.
func TestOneWorkingWatcherIsEnough(t *testing.T) {
	clock := trclock.NewManual(time.Unix(0, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	group := trmember.NewGroup(trmember.Config{
		Self: trmember.Member{ID: "self", Zone: "a", PeerAddr: "10.0.0.1:1"}, Clock: clock, Transport: silentTransport{},
	})
	d := watchDuty{clock: clock, group: group, zone: "a", log: log}
	const watchers = 3
	for i := range 30 {
		d.observe("other", watchers, i%watchers == 0, errors.New("planted"))
		assert.Assert(t, d.until.IsZero(), "exchange %d", i)
	}
	for range watchers {
		d.observe("other", watchers, false, errors.New("planted"))
	}
	assert.Assert(t, d.until.After(clock.Now()))
}

// fakeStore plays a list of results.
type fakeStore struct {
	list, watch []func() ([]Change, uint64, error)
	after       []uint64
	waits       []time.Duration
	fresh       []bool // of listings
}

func pop(calls *[]func() ([]Change, uint64, error)) ([]Change, uint64, error) {
	if len(*calls) == 0 {
		return nil, 0, errors.New("planted")
	}
	call := (*calls)[0]
	*calls = (*calls)[1:]
	return call()
}

func (s *fakeStore) List(_ context.Context, fresh bool) ([]Change, uint64, error) {
	s.fresh = append(s.fresh, fresh)
	return pop(&s.list)
}

func (s *fakeStore) Watch(_ context.Context, after uint64, wait time.Duration) ([]Change, uint64, error) {
	s.after, s.waits = append(s.after, after), append(s.waits, wait)
	return pop(&s.watch)
}

func change(key string, revision uint64, service string) Change {
	return Change{Key: key, Revision: revision, Entry: trdirectory.Entry{
		Upstream: &trdirectory.Upstream{ID: key, Service: service, Addr: "10.0.0.1:" + key, Slots: 1},
	}}
}

// Guards against changes that are lost between listing and watching, and
// against a history that is gone.
func TestFollowerListsAgainWhenTheHistoryIsGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &fakeStore{}
	store.list = append(store.list,
		func() ([]Change, uint64, error) { return []Change{change("1", 3, "s")}, 5, nil },
		func() ([]Change, uint64, error) { return []Change{change("2", 8, "s"), change("3", 9, "s")}, 8, nil },
	)
	store.watch = append(store.watch,
		func() ([]Change, uint64, error) { return []Change{change("2", 6, "s")}, 6, nil },
		func() ([]Change, uint64, error) { return nil, 0, ErrHistoryGone },
		func() ([]Change, uint64, error) { cancel(); return []Change{change("3", 9, "s")}, 9, nil },
	)
	log := logrus.New()
	log.SetOutput(io.Discard)
	keeper := &trdirectory.Cache{Clock: trclock.System()}
	f := follower{store: store, clock: trclock.System(), keeper: keeper, log: log,
		needed: func() bool { return true }, onReach: func(bool) {}}
	f.run(ctx)
	assert.DeepEqual(t, store.after, []uint64{5, 6, 8})
	assert.Equal(t, keeper.Revision(), uint64(9))
	assert.Equal(t, len(keeper.Table().Upstreams("s")), 3) // the first one is held for a while
}

// Guards against a listing that counts as complete up to its newest key: its pages
// are read one after the other, and a change between them, here the deletion of
// the upstream of key "servers/a", would never be put in force.
func TestChangesBetweenPagesOfAListingAreAdopted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keeper := &trdirectory.Cache{Clock: trclock.System()}
	var listed, watched uint64
	store := &fakeStore{
		list: []func() ([]Change, uint64, error){func() ([]Change, uint64, error) {
			// The page of "servers/b" was read at revision 9, after the change at 7.
			return []Change{change("servers/a", 4, "old"), change("servers/b", 9, "s")}, 5, nil
		}},
		watch: []func() ([]Change, uint64, error){
			func() ([]Change, uint64, error) {
				listed = keeper.Revision()
				return []Change{{Key: "servers/a", Revision: 7}}, 8, nil
			},
			func() ([]Change, uint64, error) {
				watched = keeper.Revision()
				return []Change{change("servers/b", 9, "s")}, 9, nil
			},
			func() ([]Change, uint64, error) {
				cancel()
				return nil, 9, nil
			},
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := follower{fresh: true, store: store, clock: trclock.System(), keeper: keeper, log: log,
		needed: func() bool { return true }, onReach: func(bool) {}}
	f.run(ctx)
	assert.Equal(t, listed, uint64(5))
	assert.Equal(t, watched, uint64(8))
	// The upstream that was deleted is held for a while, as one that vanished.
	assert.Assert(t, keeper.Table().Upstreams("old")[0].Vanished)
	assert.Equal(t, keeper.Revision(), uint64(9))
}

// Guards against a listing of seconds ago that is put in force as it is, and against
// listing so again when the store has no history since then.
func TestListingOfSecondsAgoIsCompletedFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	keeper := &trdirectory.Cache{Clock: trclock.System()}
	var revisions []uint64
	note := func() { revisions = append(revisions, keeper.Revision()) }
	stale := func() ([]Change, uint64, error) { return []Change{change("servers/a", 4, "s")}, 5, nil }
	store := &fakeStore{
		list: []func() ([]Change, uint64, error){stale, func() ([]Change, uint64, error) {
			note()
			return []Change{change("servers/b", 8, "s")}, 8, nil
		}, stale},
		watch: []func() ([]Change, uint64, error){
			func() ([]Change, uint64, error) { return nil, 0, ErrHistoryGone },
			func() ([]Change, uint64, error) {
				note()
				return nil, 0, ErrHistoryGone
			},
			func() ([]Change, uint64, error) { return []Change{change("servers/c", 9, "s")}, 9, nil },
			func() ([]Change, uint64, error) {
				note()
				cancel()
				return nil, 9, nil
			},
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := follower{store: store, clock: trclock.System(), keeper: keeper, log: log,
		needed: func() bool { return true }, onReach: func(bool) {}}
	f.run(ctx)
	assert.DeepEqual(t, store.fresh, []bool{false, true, false})
	assert.DeepEqual(t, store.waits, []time.Duration{0, watchWait, 0, watchWait})
	assert.DeepEqual(t, revisions, []uint64{0, 8, 9})
}

// Guards against instances that spend their processor on reading directories while
// many upstreams change, and against a last change that is never adopted.
func TestDirectoriesOfOthersAreAdoptedAtAPace(t *testing.T) {
	clock := trclock.NewManual(time.Unix(0, 0))
	var used []uint64
	p := pacer{clock: clock, use: func(doc trmember.Document) { used = append(used, doc.Revision) }}
	const step = 50 * time.Millisecond
	revision := uint64(0)
	for range 40 { // 2 s
		revision++
		p.offer(trmember.Document{Revision: revision})
		clock.Advance(step)
	}
	clock.Advance(adoptPeriod)
	assert.Assert(t, len(used) <= 1+int(41*step/adoptPeriod)+1, "%v", used)
	assert.Equal(t, used[0], uint64(1))
	assert.Equal(t, used[len(used)-1], revision)
	assert.Assert(t, slices.IsSorted(used))
}

// Guards against settings faults that are found one at a time.
func TestSettingsReportAllFaults(t *testing.T) {
	faults := trsettings.Parse([]byte("{\n  // comment\n  \"Zone\": 3,\n  \"CallerAddr\": \"host:1\",\n  \"GraceMs\": -1,\n  \"Unknown\": 1,\n}"), DefaultSettings())
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%d:%d", f.Line, f.Column))
	}
	assert.Assert(t, len(got) >= 6, "%v", faults)
}
