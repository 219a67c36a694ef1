package trgateway_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// Guards against parts of merged queries that get no second attempt at a relay although the
// fleet leaves most of its repeats unused. The load is that of a relay of a large fleet while
// upstreams hang: three queries a second of 20 parts, of which one in eight is never answered
// by the upstream that is asked first.
func TestRelaysRepeatPartsOfHangingUpstreams(t *testing.T) {
	const queries, parts = 60, 20
	missing := func(relays int) int {
		lacking := 0
		bubble(t, func(t *testing.T) {
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(1, 2))
			sender := &fakeSender{reply: func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
				mu.Lock()
				hangs := rnd.IntN(8) == 0
				mu.Unlock()
				if hangs {
					return after(ctx, time.Minute, ok(up.Service))
				}
				return after(ctx, 10*time.Millisecond, ok(up.Service))
			}}
			cache := trdirectory.Cache{Clock: trclock.System()}
			cache.Adopt(directory(parts))
			g := trgateway.New(trgateway.Config{
				Clock: trclock.System(), Tables: &cache, Sender: sender, Zone: "a", Seed: 1,
				Bounds: trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 430, RepeatWindow: 10 * time.Second},
				Fleet:  func() trgateway.Fleet { return trgateway.Fleet{Size: 195, Relays: relays} },
			})
			f := &fixture{Gateway: g, sender: sender}
			for range queries {
				lacking += f.get("/search/x").Missing
				time.Sleep(time.Second/3 - objective)
			}
		})
		return lacking
	}
	alone, relay := missing(0), missing(15)
	t.Logf("parts without a reply, of %d: %d with the share of an instance, %d with that of a relay", queries*parts, alone, relay)
	assert.Assert(t, relay <= queries*parts/20, "%d parts without a reply", relay)
	assert.Assert(t, relay < alone, "%d parts without a reply, %d without the share of a relay", relay, alone)
}
