package trcapacity

import (
	pq "container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	modelSubQueries = 50_000
	modelSigma      = 0.4 // of the lognormal service time with median 1
	modelSlotsUsed  = 1.6 // 40% of four slots
)

// UrgentP99 returns the p99 latency of urgent sub-queries, in units of the median
// service time, in a model of one queue for all senders in front of the given
// number of slots. The load is 1.6 slots; urgent is the share of urgent
// sub-queries, which are served first if byWorth is set. It is a model, not the
// product.
func UrgentP99(seed uint64, slots int, urgent float64, byWorth bool) float64 {
	rnd := rand.New(rand.NewPCG(seed, 0))
	rate := modelSlotsUsed / math.Exp(modelSigma*modelSigma/2)
	free := make([]float64, slots) // times at which the slots are free
	var queue modelQueue
	var latencies []float64
	urgentAt := make(map[float64]bool)
	serve := func(until float64) {
		for queue.Len() > 0 {
			slices.Sort(free)
			if free[0] >= until {
				return
			}
			q := pq.Pop(&queue).(modelQuery)
			begin := max(free[0], q.arrived)
			free[0] = begin + q.service
			if urgentAt[q.arrived] {
				latencies = append(latencies, free[0]-q.arrived)
			}
		}
	}
	now := 0.0
	for range modelSubQueries {
		now += rnd.ExpFloat64() / rate
		serve(now)
		q := modelQuery{arrived: now, service: math.Exp(modelSigma * rnd.NormFloat64())}
		if rnd.Float64() < urgent {
			urgentAt[now] = true
		} else if byWorth {
			q.rank = 1
		}
		pq.Push(&queue, q)
	}
	serve(math.Inf(1))
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

type modelQuery struct {
	rank    int // 0 is served first
	arrived float64
	service float64
}

type modelQueue []modelQuery

func (q modelQueue) Len() int { return len(q) }

func (q modelQueue) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank < q[j].rank
	}
	return q[i].arrived < q[j].arrived
}

func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *modelQueue) Push(x any) { *q = append(*q, x.(modelQuery)) }

func (q *modelQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
