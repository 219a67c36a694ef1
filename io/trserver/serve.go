package trserver

import (
	"context"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Serve runs an instance from a settings file until ctx is done and returns an exit
// code. It writes logs to stdout as JSON lines and errors in the settings to stderr.
func Serve(ctx context.Context, settingsFile string, stdout, stderr io.Writer) int {
	settings, diagnostics := LoadSettings(settingsFile)
	if len(diagnostics) > 0 {
		for _, d := range diagnostics {
			fmt.Fprintln(stderr, d)
		}
		return 2
	}
	log := logrus.New()
	log.SetOutput(stdout)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	log.SetLevel(level)
	server, err := New(settings, log)
	if err != nil {
		log.WithError(err).Error("start failed")
		return 1
	}
	if err := server.Run(ctx); err != nil {
		log.WithError(err).Error("instance failed")
		return 1
	}
	return 0
}
