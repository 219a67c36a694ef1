package trmember

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against changes of members that every member sends to other zones as often as
// within its own, and against changes that do not reach all zones because of that. The
// load is a stop of many instances of a large fleet, whose instances exchange state
// several times a second.
func TestChangesCrossZonesFewTimes(t *testing.T) {
	for _, tc := range []struct {
		size, zones int
		loss        float64
		maxCopies   int // of a change, sent to other zones by all members; 0 to skip the check
	}{
		// In a group without zones each member would send a change 21 times.
		{size: 80, zones: 5, maxCopies: 5 * 4 * 25},
		{size: 9, zones: 3, loss: 0.1},
		{size: 30, zones: 5, loss: 0.1},
	} {
		n := newNetwork(t, 17)
		var groups []*Group
		for i := range tc.size {
			groups = append(groups, n.add(fmt.Sprintf("%c%02d", "abcde"[i%tc.zones], i), "a00", "b01"))
		}
		assert.Assert(t, n.until(60, allSee(groups, Alive, idsOf(groups)...)) >= 0)
		exchange := func(rounds int) {
			for range rounds {
				for _, g := range groups {
					_, _ = g.Sync(context.Background(), groups[n.rnd.IntN(tc.size)].Self())
				}
				n.clock.Advance(400 * time.Millisecond)
			}
		}
		exchange(100) // until no changes of the start are left to send
		n.loss, n.crossZone = tc.loss, 0
		changed := groups[:tc.size/4]
		for _, g := range changed {
			g.Update(func(m *Member) { m.NotReady = true })
		}
		seen := func() bool {
			return !slices.ContainsFunc(groups, func(g *Group) bool {
				members := g.Members()
				return slices.ContainsFunc(changed, func(c *Group) bool { return !members[indexOf(members, c)].NotReady })
			})
		}
		started := n.clock.Now()
		for n.clock.Now().Sub(started) < 10*time.Second && !seen() {
			exchange(1)
		}
		assert.Assert(t, seen(), "%+v: changes did not spread", tc)
		took := n.clock.Now().Sub(started)
		exchange(100)
		copies := n.crossZone / len(changed)
		t.Logf("%+v: spread in %v, each change was sent to other zones %d times", tc, took, copies)
		if tc.maxCopies > 0 {
			assert.Assert(t, copies <= tc.maxCopies, "%+v: %d copies of a change", tc, copies)
		}
	}
}
