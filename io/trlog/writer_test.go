package trlog_test

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagerrock/io/trlog"
)

// blockedOutput is a writer that blocks until released is closed.
type blockedOutput struct{ released chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// TestWriterDoesNotBlock guards against requests, or the exit of the process, that
// wait for a log reader that has stopped reading.
func TestWriterDoesNotBlock(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	defer close(out.released)
	w := trlog.NewWriter(out)
	log := trlog.New(w, logrus.InfoLevel)
	const lines = 10_000
	for range lines {
		log.Info("line")
	}
	assert.Assert(t, w.Dropped() > 0 && w.Dropped() < lines, "%d lines dropped", w.Dropped())
	w.Close()
}

// TestCloseWritesQueuedLines guards against lines that are lost when a process exits.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := trlog.NewWriter(&out)
	log := trlog.New(w, logrus.InfoLevel)
	for range 100 {
		log.Info("line")
	}
	w.Close()
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 100)
	assert.Equal(t, w.Dropped(), int64(0))
}
