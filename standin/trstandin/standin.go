// Package trstandin implements the command tanagerstandin, which runs stand-ins for the
// platform, leafs and network links as processes.
//
// # Usage
//
//	tanagerstandin platform -settings platform.json
//	tanagerstandin leafs -settings leafs.json
//	tanagerstandin link -settings link.json
//
// Settings files are JSON with comments. Each process logs a line with the message
// "ready" and its address, and runs until SIGINT or SIGTERM.
package trstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"

	"tanagerrock/standin/trfakeleaf"
	"tanagerrock/standin/trfakelink"
	"tanagerrock/standin/trfakeplatform"
)

// registerTimeout limits the call that adds the leafs to the platform's instance list.
const registerTimeout = 5 * time.Second

type settingsArg struct {
	Settings string `arg:"-s,--settings,required" help:"settings file, JSON with comments"`
}

type arguments struct {
	Platform *settingsArg `arg:"subcommand:platform" help:"run the platform stand-in"`
	Leafs    *settingsArg `arg:"subcommand:leafs" help:"run leaf stand-ins for several services"`
	Link     *settingsArg `arg:"subcommand:link" help:"run network links between groups of processes"`
}

// platformSettings are the settings of the command platform.
type platformSettings struct {
	Listen    string `json:"Listen"`    // address of the platform protocol and the control endpoints
	StateFile string `json:"StateFile"` // file that preserves the state across a crash; empty for none
	trfakeplatform.Config
}

// leafsSettings are the settings of the command leafs.
type leafsSettings struct {
	Control  string `json:"Control"`  // address of the control endpoints
	Platform string `json:"Platform"` // base URL of the platform stand-in to register the leafs with; empty for none
	trfakeleaf.FleetConfig
}

// linkSettings are the settings of the command link.
type linkSettings struct {
	Control string `json:"Control"` // address of the control endpoints
	trfakelink.Config
}

// Main runs tanagerstandin with the given arguments, without the program name, until
// SIGINT or SIGTERM. It exits the process on an error.
func Main(args []string) {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.SetOutput(os.Stdout)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "tanagerstandin"}, &parsed)
	if err != nil {
		logrus.Fatal(err)
	}
	parser.MustParse(expandSettingsFlag(args))
	if parser.Subcommand() == nil {
		parser.Fail("a command is required: platform, leafs or link")
	}
	if err := run(ctx, parsed); err != nil {
		logrus.Fatal(err)
	}
}

// expandSettingsFlag replaces -settings by --settings, so that both spellings are
// accepted.
func expandSettingsFlag(args []string) []string {
	out := make([]string, 0, len(args))
	for _, a := range args {
		if a == "-settings" || strings.HasPrefix(a, "-settings=") {
			a = "-" + a
		}
		out = append(out, a)
	}
	return out
}

func run(ctx context.Context, args arguments) error {
	switch {
	case args.Platform != nil:
		return runPlatform(ctx, args.Platform.Settings)
	case args.Leafs != nil:
		return runLeafs(ctx, args.Leafs.Settings)
	}
	return runLink(ctx, args.Link.Settings)
}

func runPlatform(ctx context.Context, file string) error {
	var s platformSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	p := trfakeplatform.New(s.Config)
	defer p.Close()
	if s.StateFile != "" {
		if err := p.Persist(s.StateFile); err != nil {
			return err
		}
	}
	return serve(ctx, s.Listen, p.Handler(), nil)
}

func runLeafs(ctx context.Context, file string) error {
	var s leafsSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	f, err := trfakeleaf.StartFleet(s.FleetConfig)
	if err != nil {
		return err
	}
	defer f.Close()
	if s.Platform != "" {
		if err := registerLeafs(ctx, s.Platform, f); err != nil {
			return err
		}
	}
	return serve(ctx, s.Control, f.ControlHandler(), logrus.Fields{"Leafs": len(f.Leafs())})
}

func runLink(ctx context.Context, file string) error {
	var s linkSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	n, err := trfakelink.New(s.Config)
	if err != nil {
		return err
	}
	defer n.Close()
	return serve(ctx, s.Control, n.ControlHandler(), logrus.Fields{"Links": n.Links()})
}

// loadSettings decodes a settings file into v. Unknown fields are errors.
func loadSettings(file string, v any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return errors.Wrapf(err, "parse settings %s", file)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(v), "decode settings %s", file)
}

// registerLeafs adds the leafs to the instance list of a platform stand-in.
func registerLeafs(ctx context.Context, platform string, f *trfakeleaf.Fleet) error {
	body, err := json.Marshal(trfakeplatform.ListChange{Add: f.Instances()})
	if err != nil {
		return errors.Wrap(err, "encode leafs")
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, platform+"/control/instances", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register leafs")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "register leafs")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("register leafs: platform replied with status %s", resp.Status)
	}
	return nil
}

// serve logs that the process is ready and serves HTTP on addr until ctx is done.
func serve(ctx context.Context, addr string, h http.Handler, fields logrus.Fields) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h}
	defer context.AfterFunc(ctx, func() {
		_ = srv.Close() // an error is possible only if the listener is closed already
	})()
	logrus.WithFields(fields).WithField("Addr", ln.Addr().String()).Info("ready")
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
