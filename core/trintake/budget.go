// Package trintake bounds what clients outside the limits can take of a process: the
// memory that it holds for them and their connections.
//
// A Budget is shared by all listeners of a process. Each connection has an Account. Memory
// is reserved there before it is filled and given back when it is released. If the budget
// is exhausted, the least useful connections are cut off: those without progress before
// those with progress, an address that holds much before one that holds little. A request
// that was read completely is never cut off before its answer.
//
// The load it is designed for: some thousands of connections, of which any share sends
// heads or bodies without end, stops short of the end, or reads no answers. A connection
// whose requests have no body costs some atomic operations a request; the budget's lock is
// taken when a connection opens or closes and when more than its usual memory is needed.
//
// # Usage
//
//	b := &trintake.Budget{Bytes: 27 << 20, Conns: 1700}
//	a, err := b.Open(addr, trintake.Callers, 20<<10, conn.cut)
//	if err != nil { ... } // ErrFull: close the connection
//	defer a.Close()
//	a.Enter(trintake.Body)
//	body, err := trintake.ReadAll(r.Body, r.ContentLength, limit, a)
//	a.Enter(trintake.Running)
//
//	clock.Every(trintake.SweepPeriod, b.Sweep)
package trintake

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrFull is returned if the budget is exhausted and no less useful connection is left to
// cut off.
var ErrFull = errors.New("memory or connections for clients are exhausted")

// Class is the use of a listener.
type Class int

// Classes of listeners.
const (
	Callers  Class = iota // callers of the service
	Internal              // other instances, operators and health checks
	classes
)

// Limits that keep the classes from starving each other.
const (
	// callerShare is the share of the budget that connections of callers may hold. The
	// rest keeps instances, health checks and operators connected.
	callerShare = 0.75
	// internalShare is the same for internal connections. 98 instances at 64 KiB each take
	// less than half of the budget of the smallest instance (136 MB).
	internalShare = 0.5
	// targetShare is the share of a limit down to which connections are cut off at once, so
	// that a flood of connections does not look for candidates at each arrival.
	targetShare = 0.875
)

// Budget bounds the memory held for clients and their connections. The zero value is
// unlimited and ready to use. Its limits must be set before use.
type Budget struct {
	Bytes int64 // for clients, in bytes; 0 for no limit
	Conns int   // open connections; 0 for no limit

	mu       sync.Mutex
	accounts map[*Account]struct{}
	used     [classes]int64 // by accounts that are not cut off
	conns    [classes]int   // open, also those cut off that are not closed yet
	ending   [classes]int   // cut off, and not closed yet
	byAddr   map[string]int64
	now      time.Time // of the latest sweep

	cut     [causes]atomic.Int64
	refused atomic.Int64
}

// Cause is the reason why a connection was cut off.
type Cause int

// Causes of cutting off a connection.
const (
	NoCause  Cause = iota
	Pressure       // the budget was exhausted
	Stalled        // no progress, or too little
	causes
)

// String returns the name of the cause, as in metrics.
func (c Cause) String() string { return [causes]string{"None", "Pressure", "Stalled"}[c] }

// Usage is the state of a budget.
type Usage struct {
	Bytes   int64 // held for clients
	Conns   int   // open connections
	Cut     map[Cause]int64
	Refused int64 // reservations and connections that were refused
}

// Usage returns the current usage and the counts since the start.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Cut: make(map[Cause]int64), Refused: b.refused.Load()}
	for c := range classes {
		u.Bytes += b.used[c]
		u.Conns += b.conns[c]
	}
	for c := Pressure; c < causes; c++ {
		u.Cut[c] = b.cut[c].Load()
	}
	return u
}

// classLimit returns the part of a limit that a class may take.
func classLimit(c Class, limit int64) int64 {
	if c == Callers {
		return int64(callerShare * float64(limit))
	}
	return int64(internalShare * float64(limit))
}

// Open accounts for a new connection from addr (without port) that always takes size bytes.
// cut is called, without locks held, to make the connection end: its reads must fail from
// then on, and a write that is blocked must fail. Open returns ErrFull if the connection must
// be closed at once.
func (b *Budget) Open(addr string, class Class, size int64, cut func()) (*Account, error) {
	a := &Account{budget: b, addr: addr, class: class, cut: cut}
	b.mu.Lock()
	victims, err := b.makeRoom(a, size, 1)
	if err == nil {
		if b.accounts == nil {
			b.accounts, b.byAddr = make(map[*Account]struct{}), make(map[string]int64)
		}
		a.movedAt, a.enteredAt = b.now, b.now
		b.accounts[a] = struct{}{}
		b.conns[class]++
		b.add(a, size)
	}
	b.mu.Unlock()
	cutAll(victims)
	if err != nil {
		b.refused.Add(1)
		return nil, err
	}
	return a, nil
}

// add adds n bytes, which may be negative, to an account. The caller holds mu.
func (b *Budget) add(a *Account, n int64) {
	a.held += n
	if a.cause != NoCause {
		return // its bytes are given back already
	}
	b.used[a.class] += n
	if b.byAddr[a.addr] += n; b.byAddr[a.addr] <= 0 {
		delete(b.byAddr, a.addr)
	}
}

// makeRoom selects connections to cut off so that a can take n more bytes and conns more
// connections, or returns ErrFull. The caller holds mu, and cuts the connections off.
func (b *Budget) makeRoom(a *Account, n int64, conns int) (victims []*Account, err error) {
	class := a.class
	bytesLimit, connsLimit := classLimit(class, b.Bytes), int(classLimit(class, int64(b.Conns)))
	var all int64
	for c := range classes {
		all += b.used[c]
	}
	overBytes := b.Bytes > 0 && (b.used[class]+n > bytesLimit || all+n > b.Bytes)
	overConns := conns > 0 && b.Conns > 0 && float64(b.conns[class]-b.ending[class]+conns) > targetShare*float64(connsLimit)
	if !overBytes && !overConns {
		return nil, nil
	}
	fits := func() bool {
		return (b.Bytes <= 0 || b.used[class]+n <= bytesLimit && b.used[Callers]+b.used[Internal]+n <= b.Bytes) &&
			(conns == 0 || b.Conns <= 0 || b.conns[class]+conns <= connsLimit)
	}
	enough := func() bool {
		return (!overBytes || float64(b.used[class]+n) <= targetShare*float64(bytesLimit)) &&
			(!overConns || float64(b.conns[class]-b.ending[class]+conns) <= targetShare*targetShare*float64(connsLimit))
	}
	for _, v := range b.candidates(a, n) {
		if enough() {
			break
		}
		b.end(v, Pressure)
		victims = append(victims, v)
	}
	if !fits() {
		return victims, ErrFull
	}
	return victims, nil
}

// candidates returns the connections of the class of a that are less useful than a with n
// more bytes, the least useful first. Within an address, a request that was read completely
// is more useful than one that was not, whatever its answer takes. The caller holds mu.
func (b *Budget) candidates(a *Account, n int64) []*Account {
	var list []*Account
	addrHeld, held, complete := b.byAddr[a.addr]+n, a.held+n, a.Stage() == Running
	for v := range b.accounts {
		if v == a || v.class != a.class || v.cause != NoCause || !v.endable() {
			continue
		}
		if v.stalled = b.now.Sub(v.movedAt) >= stallTime; v.stalled ||
			b.byAddr[v.addr] > addrHeld || v.addr == a.addr && (complete || v.held > held) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(v, w *Account) int {
		if v.stalled != w.stalled {
			if v.stalled {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.byAddr[w.addr], b.byAddr[v.addr]), cmp.Compare(w.held, v.held), v.movedAt.Compare(w.movedAt))
	})
	return list
}

// end gives back the bytes of an account that is to be cut off. The memory itself is freed
// some milliseconds later. The caller holds mu.
func (b *Budget) end(a *Account, cause Cause) {
	held := a.held
	b.add(a, -held)
	a.held, a.cause = held, cause
	b.ending[a.class]++
	b.cut[cause].Add(1)
	a.ended.Store(int32(cause))
}

// cutAll cuts connections off.
func cutAll(list []*Account) {
	for _, a := range list {
		a.cut()
	}
}
