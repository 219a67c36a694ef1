package trroute

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerrock/core/trwire"
)

// waiter is a sub-query that waits for a permit of one of its replicas. It is in
// the queue of each of them.
type waiter struct {
	d      *Dispatcher
	want   AcquireRequest
	since  time.Time
	seq    uint64
	result chan result // receives once

	mu    sync.Mutex
	done  bool
	leafs []*Leaf
}

type result struct {
	grant   *Grant
	refused *trwire.AttemptError
}

// try looks for a permit and reports whether the waiter is done. blocked is true
// if it is not done because a leaf has no permit.
func (w *waiter) try(now time.Time) (done, blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return true, false
	}
	grant, refused := w.d.pick(now, &w.want, w.leafs, w)
	if grant == nil && refused != errNoReplica {
		return false, refused != errSlow
	}
	w.done = true
	w.result <- result{grant, refused}
	return true, false
}

// join adds the waiter to the queues of the leafs that it can use.
func (w *waiter) join(leafs []*Leaf) {
	for _, l := range leafs {
		if slices.Contains(w.want.Exclude, l) {
			continue
		}
		l.waiting.add(w)
		w.d.setTimer(l)
	}
}

// end marks the waiter as done and reports whether it was not done before.
func (w *waiter) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return false
	}
	w.done = true
	return true
}

// waitQueue holds the waiters of one leaf by worth, then by deadline.
type waitQueue struct {
	n     atomic.Int32
	mu    sync.Mutex
	heap  waiterHeap
	timed bool // a timer is set
}

func (q *waitQueue) len() int { return int(q.n.Load()) }

// outranks reports whether the first waiter is at least as worthy and as urgent
// as w.
func (q *waitQueue) outranks(w *AcquireRequest) bool {
	if q.len() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.heap) > 0 && compareWants(&q.heap[0].want, w) <= 0
}

func (q *waitQueue) add(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	heap.Push(&q.heap, w)
	q.n.Store(int32(len(q.heap)))
}

func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.heap, w); i >= 0 {
		heap.Remove(&q.heap, i)
	}
	q.n.Store(int32(len(q.heap)))
}

// first returns up to n waiters in order without removing them.
func (q *waitQueue) first(n int) []*waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return nil
	}
	if len(q.heap) == 1 || n == 1 {
		return []*waiter{q.heap[0]}
	}
	list := make([]*waiter, 0, n)
	for len(q.heap) > 0 && len(list) < n {
		list = append(list, heap.Pop(&q.heap).(*waiter))
	}
	for _, w := range list {
		heap.Push(&q.heap, w)
	}
	return list
}

// setTimer reports whether the caller has to set the timer of the queue.
func (q *waitQueue) setTimer() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timed || len(q.heap) == 0 {
		return false
	}
	q.timed = true
	return true
}

func (q *waitQueue) timerFired() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timed = false
}

// compareWants orders by worth descending, then by deadline.
func compareWants(a, b *AcquireRequest) int {
	return cmp.Or(cmp.Compare(b.Worth, a.Worth), a.Deadline.Compare(b.Deadline))
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(compareWants(&a.want, &b.want), cmp.Compare(a.seq, b.seq)) < 0
}

func (h waiterHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *waiterHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
