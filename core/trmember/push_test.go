package trmember

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trclock"
)

// pushRecorder records the addresses that documents are pushed to.
type pushRecorder struct {
	Transport
	mu    sync.Mutex
	addrs map[string]bool
}

func (p *pushRecorder) Push(_ context.Context, addr string, _ *Push) (*PushReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs[addr] = true
	return &PushReply{}, nil
}

// Guards against a document that is pushed across zones by every member, and against
// a member that is alone in its zone and does not push its documents.
func TestPushInZone(t *testing.T) {
	for _, tc := range []struct {
		name       string
		neighbours int
	}{{"with neighbours", 3}, {"alone in its zone", 0}} {
		t.Run(tc.name, func(t *testing.T) {
			recorder := &pushRecorder{addrs: make(map[string]bool)}
			g := NewGroup(Config{
				Self:       Member{ID: "self", Zone: "a", PeerAddr: "self"},
				Clock:      trclock.NewManual(time.Unix(0, 0)),
				Transport:  recorder,
				PushInZone: true,
				Spawn:      func(f func()) { f() },
			})
			for i := range 20 + tc.neighbours {
				zone := "b"
				if i < tc.neighbours {
					zone = "a"
				}
				_, err := g.Exchange(t.Context(), &Exchange{From: Member{
					ID: fmt.Sprint("m", i), Zone: zone, PeerAddr: zone, State: Alive, Incarnation: 1, SenderIndex: -1,
				}})
				assert.NilError(t, err)
			}
			g.Documents().Set(Document{Name: "d", Revision: 1, Body: []byte("x")})
			assert.Equal(t, len(recorder.addrs), 1)
			assert.Equal(t, recorder.addrs["b"], tc.neighbours == 0)
		})
	}
}
