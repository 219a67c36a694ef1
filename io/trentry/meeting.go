package trentry

import (
	"context"
	"time"

	"tanagerrock/core/trmember"
)

// newMeeting returns the part of a server that finds instances through the store, nil if the store
// cannot be used for that.
func (s *Server) newMeeting(store Store, seed uint64) *trmember.Meeting {
	meetingStore, ok := store.(MeetingStore)
	if !ok {
		return nil
	}
	return trmember.NewMeeting(trmember.MeetingConfig{
		Group: s.group, Store: meetingStore, Key: meetingStore.ContactKey, Clock: s.clock, Seed: seed, OnFailing: s.logContact,
	})
}

// startMeeting makes the steps of the meeting until stop is called.
func (s *Server) startMeeting(ctx context.Context) (stop func()) {
	if s.meeting == nil {
		return func() {}
	}
	return s.clock.Every(trmember.MeetingPeriod, func(time.Time) { s.meeting.Step(ctx) })
}

// logContact logs that the contact of this instance cannot be written, or that it was again.
func (s *Server) logContact(err error) {
	if err != nil {
		s.log.WithError(err).Warn("failed to write the contact of this instance to the store")
		return
	}
	s.log.Info("the contact of this instance is in the store again")
}
