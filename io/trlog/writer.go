// Package trlog writes the structured log of a process.
//
// Each line is a JSON object. A Writer passes lines to its output in a separate
// goroutine, so that a slow reader of the output never blocks a request. Lines that
// cannot be queued are dropped and counted.
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
	// maxPending is the maximum number of queued lines, of about 300 bytes each.
	maxPending = 2048
	// closeTimeout bounds the time that Close waits for the output to accept the queued
	// lines.
	closeTimeout = 200 * time.Millisecond
)

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.SetLevel(level)
	return log
}

// Writer is an io.Writer that queues lines for its output and never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	stopped atomic.Bool
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. The caller must call Close when done.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxPending), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. If the queue is full or the Writer is closed, it drops and
// counts the line. It never returns an error.
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

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. It gives up after closeTimeout
// if the output does not accept them.
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

// run writes queued lines to the output until it receives a nil line.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // the error cannot be logged
		}
	}
}
