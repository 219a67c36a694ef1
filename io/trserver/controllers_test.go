package trserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
)

// hangingPlatform is a platform that returns a configuration with the second call and
// leaves all others without a reply.
type hangingPlatform struct {
	mu    sync.Mutex
	calls int
	value []byte
}

// RoundTrip implements http.RoundTripper.
func (p *hangingPlatform) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	p.calls++
	hangs := p.calls != 2
	p.mu.Unlock()
	if hangs {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, err := json.Marshal(&trwire.Entry{Key: trconfig.Key, Value: p.value, Version: 1})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

// TestHungWatchDoesNotHideConfiguration guards against a late one because of a dropped watch.
func TestHungWatchDoesNotHideConfiguration(t *testing.T) {
	value, err := trconfig.Encode(&trconfig.Document{Revision: 1, ChangeID: "c", Defaults: trconfig.BuiltInDefaults()})
	assert.NilError(t, err)
	synctest.Test(t, func(t *testing.T) {
		const applyTime = 3 * time.Second // of a configuration, on every connected instance
		log := logrus.New()
		log.SetOutput(io.Discard)
		s, err := New(&Settings{InstanceID: "a1", Zone: "a", CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0",
			Platform: []string{"http://platform.example"}, Seed: 1}, log)
		assert.NilError(t, err)
		defer s.callerListener.Close()
		defer s.peerListener.Close()
		s.platform.HTTP = &http.Client{Transport: &hangingPlatform{value: value}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { s.watchConfig(ctx) })
		time.Sleep(applyTime)
		policy := s.configs.Current()
		cancel()
		wg.Wait()
		assert.Assert(t, policy != nil && policy.Revision() == 1)
	})
}
