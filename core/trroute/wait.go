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

// waiter is a sub-query that waits for a permit. It is in the queues of all replicas
// that it may use.
type waiter struct {
	d        *Dispatcher
	request  AcquireRequest
	queuedAt time.Time
	seq      uint64
	result   chan result // receives once

	mu    sync.Mutex
	done  bool
	leafs []*Leaf
}

type result struct {
	grant   *Grant
	refused *trwire.AttemptError
}

// tryAcquire tries to take a permit and reports whether the waiter is done. If it is
// not, blocked is true if a replica refused a permit, and false if waiting is expected
// to be faster than the replicas that are left.
func (w *waiter) tryAcquire(now time.Time) (done, blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return true, false
	}
	grant, refused := w.d.pick(now, &w.request, w.leafs, w)
	if grant == nil && refused != errNoUsableReplica {
		return false, refused != errOnlySlow
	}
	w.done = true
	w.result <- result{grant, refused}
	return true, false
}

// joinQueues adds the waiter to the queues of the leafs that it does not exclude.
func (w *waiter) joinQueues(leafs []*Leaf) {
	for _, l := range leafs {
		if slices.Contains(w.request.Exclude, l) {
			continue
		}
		l.waiting.add(w)
		w.d.setTimer(l)
	}
}

// abandon marks the waiter as done. It returns false if the waiter was done already.
func (w *waiter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return false
	}
	w.done = true
	return true
}

// waitQueue is the priority queue of the waiters of one leaf.
type waitQueue struct {
	n        atomic.Int32
	mu       sync.Mutex
	heap     waiterHeap
	timerSet bool // a timer of Dispatcher.setTimer is running
}

func (q *waitQueue) len() int { return int(q.n.Load()) }

// outranks reports whether the first waiter has at least the priority of req.
func (q *waitQueue) outranks(req *AcquireRequest) bool {
	if q.len() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.heap) > 0 && comparePriority(&q.heap[0].request, req) <= 0
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

// first returns up to n waiters in order of priority without removing them.
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

// claimTimer marks the timer of the queue as running. It returns false if the timer was
// running already or no waiter is left; otherwise the caller must start it.
func (q *waitQueue) claimTimer() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.timerSet || len(q.heap) == 0 {
		return false
	}
	q.timerSet = true
	return true
}

// timerFired marks the timer as not running.
func (q *waitQueue) timerFired() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timerSet = false
}

// comparePriority orders by Worth descending, then by deadline.
func comparePriority(a, b *AcquireRequest) int {
	return cmp.Or(cmp.Compare(b.Worth, a.Worth), a.Deadline.Compare(b.Deadline))
}

// waiterHeap implements heap.Interface by priority, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(comparePriority(&a.request, &b.request), cmp.Compare(a.seq, b.seq)) < 0
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
