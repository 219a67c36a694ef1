package trgateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
)

// lost reports whether an upstream loses its n-th reply, as it does with two of five.
func lost(id string, n int) bool { return xxhash.Sum64String(fmt.Sprint(id, "/", n))%5 < 2 }

// Guards against parts of merged queries that get no second attempt at a relay although the
// fleet leaves most of its repeats unused. The load is that of a relay of a large fleet while
// replies are lost: three queries a second of 20 parts, and each upstream loses two of five
// replies. Of 100 parts 40 need a second attempt, and 16 would need a third one.
func TestRelaysRepeatPartsWithLostReplies(t *testing.T) {
	const queries, parts = 120, 20
	missing := func(relays int) int {
		lacking := 0
		bubble(t, func(t *testing.T) {
			var mu sync.Mutex
			requests := make(map[string]int) // by upstream
			sender := &fakeSender{reply: func(ctx context.Context, up *trdirectory.Upstream) trgateway.Outcome {
				mu.Lock()
				n := requests[up.ID]
				requests[up.ID]++
				mu.Unlock()
				if lost(up.ID, n) {
					return after(ctx, 5*time.Millisecond, unanswered(trgateway.OutcomeUnknown))
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
				resp := f.get("/search/x")
				lacking += resp.Missing
				if !resp.Merged {
					lacking += parts // the query failed
				}
				time.Sleep(time.Second/3 - objective)
			}
		})
		return lacking
	}
	alone, relay := missing(0), missing(15)
	t.Logf("parts without a reply, of %d, those of failed queries included: %d with the share of an instance, %d with that of a relay", queries*parts, alone, relay)
	assert.Assert(t, relay <= queries*parts/2, "%d parts without a reply", relay)
	assert.Assert(t, alone > queries*parts/2, "%d parts without a reply: the load does not need the share of a relay", alone)
}
