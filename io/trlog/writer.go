// Package trlog writes the structured log of a process.
//
// Lines are JSON objects. A Writer hands them to its output in a goroutine of
// its own: a reader of the output that falls behind costs lines, which are
// counted, but never holds a request up.
//
// # Usage
//
//	w := trlog.NewWriter(os.Stdout)
//	defer w.Close()
//	log := trlog.New(w, logrus.InfoLevel)
package trlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxPending is the number of lines that may wait, some 300 bytes each.
	maxPending = 2048
	// closeTimeout bounds the wait for an output that does not take the rest.
	closeTimeout = 200 * time.Millisecond
)

// New returns a logger of JSON lines.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.SetLevel(level)
	return log
}

// Writer passes lines on without blocking its callers.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	stopped atomic.Bool
	dropped atomic.Int64
}

// NewWriter returns a writer to out. Close must be called at the end.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxPending), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops and counts it if too many wait. It returns no
// error.
func (w *Writer) Write(line []byte) (int, error) {
	if w.stopped.Load() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines out and stops. It gives up after a short time if
// the output does not take them.
func (w *Writer) Close() {
	w.closing.Do(func() {
		w.stopped.Store(true)
		end := time.After(closeTimeout)
		select {
		case w.lines <- nil:
		case <-end:
			return
		}
		select {
		case <-w.done:
		case <-end:
		}
	})
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // there is nowhere else to say it
		}
	}
}
