package traccount

import (
	"github.com/pkg/errors"

	"tanagerrock/core/trwire"
)

// Limits of received messages. Counts are requests; larger ones are invalid.
const (
	maxItems  = 1_024
	maxCount  = 1 << 20
	maxTermMs = 60_000
)

// CreditRequest is sent by an instance to the owner of some slots.
type CreditRequest struct {
	From    string       `json:"From"` // ID of the instance
	Version uint64       `json:"Version"`
	Lease   *Lease       `json:"Lease,omitempty"`
	Items   []CreditItem `json:"Items,omitempty"`
}

// Lease hands the sender's share of the accounts in some slots to the receiver, until TermMs
// after the receiver issued Stamp. A delayed message therefore grants nothing. A message without
// a stamp asks for one.
type Lease struct {
	Slots   uint32  `json:"Slots,omitempty"`   // bit set
	Fresh   uint32  `json:"Fresh,omitempty"`   // slots whose share had no owner in the last window
	Release uint32  `json:"Release,omitempty"` // slots whose share the receiver must give up
	Full    bool    `json:"Full,omitempty"`    // nobody can have used credit: that of fresh slots is full
	Share   float64 `json:"Share,omitempty"`   // 0 to 1
	Owner   uint64  `json:"Owner,omitempty"`   // process of the receiver that issued Stamp
	Stamp   int64   `json:"Stamp,omitempty"`   // as received in a CreditReply
	TermMs  int64   `json:"TermMs,omitempty"`
	// Credit comes with the shares, from their former owner. It is sent at most once.
	Credit []MovedCredit `json:"Credit,omitempty"`
}

// MovedCredit is the part of an account's credit that belongs to a share.
type MovedCredit struct {
	Account string  `json:"Account"`
	Level   float64 `json:"Level"` // requests; negative if more were debited
}

// CreditItem is what an instance reports and asks for an account. All counts are requests.
type CreditItem struct {
	Account   string  `json:"Account"`
	PerSecond float64 `json:"PerSecond"` // the quota by the sender's configuration
	Burst     float64 `json:"Burst,omitempty"`
	Debit     int     `json:"Debit,omitempty"` // admitted by the allowance and not debited yet
	Want      int     `json:"Want,omitempty"`  // waiting
	Ahead     int     `json:"Ahead,omitempty"` // credit for requests to come
	Held      int     `json:"Held,omitempty"`  // credit that the sender holds
	Back      int     `json:"Back,omitempty"`  // credit returned
}

// CreditReply answers a CreditRequest.
type CreditReply struct {
	Owner  uint64        `json:"Owner"`
	Stamp  int64         `json:"Stamp"` // milliseconds on the owner's clock
	Grants []CreditGrant `json:"Grants,omitempty"`
	Credit []MovedCredit `json:"Credit,omitempty"` // of the shares that were given up
}

// CreditGrant is the answer to a CreditItem.
type CreditGrant struct {
	Account string `json:"Account"`
	Granted int    `json:"Granted,omitempty"` // of Want
	Ahead   int    `json:"Ahead,omitempty"`   // of Ahead
	// Uncovered is how many of Debit there was no credit for. They stay with the sender, whose
	// allowance they use up until they are covered or a window has passed.
	Uncovered int `json:"Uncovered,omitempty"`
	// AtLimit is set if the account is at its limit: there is no credit for another request.
	// WaitMs is when there will be.
	AtLimit bool  `json:"AtLimit,omitempty"`
	WaitMs  int64 `json:"WaitMs,omitempty"`
	// NoShare is set if the receiver owns no share of the account.
	NoShare bool `json:"NoShare,omitempty"`
}

// Check returns an error if the message is invalid.
func (m *CreditRequest) Check() error {
	if m.From == "" || len(m.From) > trwire.MaxNameBytes || len(m.Items) > maxItems {
		return errors.Errorf("credit request from %.32q with %d items is invalid", m.From, len(m.Items))
	}
	if l := m.Lease; l != nil {
		if !(l.Share >= 0 && l.Share <= 1) || l.Stamp < 0 || l.TermMs < 0 || l.TermMs > maxTermMs || (l.Slots|l.Release|l.Fresh)>>slotCount != 0 {
			return errors.Errorf("lease of share %v with stamp %d, term %d ms and slots %x is invalid", l.Share, l.Stamp, l.TermMs, l.Slots)
		}
	}
	if m.Lease != nil && !validCredit(m.Lease.Credit) {
		return errors.New("lease has credit out of range")
	}
	for i := range m.Items {
		it := &m.Items[i]
		if it.Account == "" || len(it.Account) > trwire.MaxNameBytes || !(it.PerSecond > 0 && it.PerSecond <= maxQuota) || !(it.Burst >= 0 && it.Burst <= maxQuota) {
			return errors.Errorf("credit item of account %.32q has quota %v, %v", it.Account, it.PerSecond, it.Burst)
		}
		if !validCounts(it.Debit, it.Want, it.Ahead, it.Held, it.Back) {
			return errors.Errorf("credit item of account %.32q has a count out of range", it.Account)
		}
	}
	return nil
}

// Check returns an error if the message is invalid.
func (m *CreditReply) Check() error {
	if m.Stamp < 0 || len(m.Grants) > maxItems || !validCredit(m.Credit) {
		return errors.Errorf("credit reply with stamp %d and %d grants is invalid", m.Stamp, len(m.Grants))
	}
	for i := range m.Grants {
		g := &m.Grants[i]
		if len(g.Account) > trwire.MaxNameBytes || !validCounts(g.Granted, g.Ahead, g.Uncovered) || g.WaitMs < 0 || g.WaitMs > maxWaitMs {
			return errors.Errorf("credit grant for account %.32q is out of range", g.Account)
		}
	}
	return nil
}

func validCredit(list []MovedCredit) bool {
	for _, c := range list {
		if len(c.Account) > trwire.MaxNameBytes || !(c.Level >= -maxQuota && c.Level <= maxQuota) {
			return false
		}
	}
	return len(list) <= maxItems
}

func validCounts(counts ...int) bool {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}
