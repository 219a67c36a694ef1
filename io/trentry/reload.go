package trentry

import (
	"context"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tanagerrock/io/trsettings"
)

// reloadPeriod is the interval at which the settings file is checked for changes. It may change
// without a signal, and an instance that cannot join with its seeds waits for that.
const reloadPeriod = time.Second

// settingsReloader puts changes of the settings file in force while the server runs.
type settingsReloader struct {
	server *Server
	hangup <-chan os.Signal

	mu    sync.Mutex
	file  *trsettings.File
	known *Settings // as last read without an error
}

// FollowSettings makes Run read the settings again from the file that they came from: at
// intervals, and at once when hangup delivers a value. Seeds and LogLevel are put in force, other
// fields at the next start. A file with errors changes nothing. FollowSettings must be called
// before Run.
func (s *Server) FollowSettings(file *trsettings.File, hangup <-chan os.Signal) {
	s.reloader = &settingsReloader{server: s, file: file, hangup: hangup, known: s.settings}
}

// start follows the file until stop is called. The receiver may be nil.
func (r *settingsReloader) start(ctx context.Context) (stop func()) {
	if r == nil {
		return func() {}
	}
	clock := r.server.clock
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.hangup:
				clock.After(0, func(time.Time) { r.reload() })
			}
		}
	}()
	return clock.Every(reloadPeriod, func(time.Time) { r.reload() })
}

// reload reads the file if it has changed.
func (r *settingsReloader) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.file.Changed() {
		return
	}
	log := r.server.log.WithField("File", r.file.Path)
	next := DefaultSettings()
	if diagnostics := r.file.Load(next); len(diagnostics) > 0 {
		log.WithField("Errors", diagnostics).Error("the changed settings are invalid; those in force stay")
		return
	}
	var inForce, atNextStart []string
	for _, name := range changedFields(r.known, next) {
		if r.server.adopt(name, next) {
			inForce = append(inForce, name)
		} else {
			atNextStart = append(atNextStart, name)
		}
	}
	r.known = next
	log.WithFields(logrus.Fields{"InForce": inForce, "AtNextStart": atNextStart, "Seeds": next.Seeds}).Info("the settings have changed")
}

// changedFields returns the names of the fields in which two settings differ.
func changedFields(a, b *Settings) (names []string) {
	va, vb := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Name)
		}
	}
	return names
}

// adopt puts a changed field in force, and reports whether that is possible while the server runs.
func (s *Server) adopt(field string, next *Settings) bool {
	switch field {
	case "Seeds":
		s.group.SetSeeds(next.Seeds)
		s.updateFleet()
		return true
	case "LogLevel":
		if level, err := logrus.ParseLevel(next.LogLevel); err == nil { // Check has parsed it
			s.log.SetLevel(level)
		}
		return true
	}
	return false
}

// logJoin logs that this instance knows the members from now on, or that no seed answers.
func (s *Server) logJoin(err error) {
	entry := s.log.WithField("Seeds", s.group.Seeds())
	if err != nil {
		entry.WithError(err).Warn("no seed answers; the other instances are not known")
		return
	}
	s.updateFleet()
	entry.WithField("Members", len(s.group.Members())).Info("joined the other instances")
}
