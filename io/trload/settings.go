// Package trload is the load generator. It starts a whole fleet inside its own
// process, sends requests on an open-loop schedule, and reports the latency,
// coverage, goodput and extra load of the tier's policy and of baselines.
//
// Arrivals follow a Poisson process that depends only on the deployment, the seed and
// the load, never on answers. Latency is measured from the scheduled time of a
// request, so that it includes any time by which the generator or the fleet has
// fallen behind. The load is given as a share of the slots of each service group.
//
// # Usage
//
//	deployment, err := trload.ReadDeployment("examples/bertoldi.jsonc")
//	reports, err := trload.Run(ctx, trload.Options{
//		Deployment: deployment, Scenario: "straggler", Policies: []string{"tanagerrock", "random"}, Seed: 1,
//	})
//	trload.Print(os.Stdout, reports)
package trload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"tanagerrock/core/trconfig"
	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// Deployment describes a fleet, its services and the requests that they receive.
type Deployment struct {
	Name          string          `json:"Name"`
	Zones         []string        `json:"Zones"`
	Instances     int             `json:"Instances"`
	ZoneDelayMs   float64         `json:"ZoneDelayMs"`   // one way between zones
	CallerDelayMs float64         `json:"CallerDelayMs"` // one way between callers and instances
	Urgent        []string        `json:"Urgent"`        // classes that the latency target applies to
	Groups        []Group         `json:"Groups"`
	Config        json.RawMessage `json:"Config"` // the fleet's configuration

	document *trconfig.Document
}

// Group is a number of equally sized services and the requests they receive.
type Group struct {
	Name         string    `json:"Name"`
	Services     int       `json:"Services"`
	Leafs        int       `json:"Leafs"`  // per service
	Shards       int       `json:"Shards"` // per service, with two replicas each
	Slots        int       `json:"Slots"`  // per leaf
	Queue        int       `json:"Queue"`  // sub-queries that can wait at a leaf
	Connections  int       `json:"Connections"`
	ConnectMs    int64     `json:"ConnectMs"`
	ServiceMs    float64   `json:"ServiceMs"`    // median service time of a sub-query
	ServiceSigma float64   `json:"ServiceSigma"` // standard deviation of the logarithm of the service time, which is lognormal
	Mix          []MixItem `json:"Mix"`
}

// MixItem is one kind of request in the mix that a group receives.
type MixItem struct {
	Tenant string      `json:"Tenant"`
	Class  string      `json:"Class"`
	Kind   trwire.Kind `json:"Kind"`
	Share  float64     `json:"Share"` // of the group's sub-queries
}

const replicas = 2 // per shard

// recordsPerService is small, so that a sub-query takes the configured service time
// and not the time of the search in the stand-in.
const recordsPerService = 60

// ReadDeployment reads a deployment file in JSON with comments.
func ReadDeployment(file string) (*Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read deployment")
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	s := new(Deployment)
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return s, errors.Wrap(s.check(file), file)
}

func (s *Deployment) check(file string) error {
	doc, findings := trconfig.Parse(file, s.Config)
	var faults []string
	for _, f := range findings {
		faults = append(faults, fmt.Sprint("Config: ", f))
	}
	s.document = doc
	if len(s.Zones) == 0 || s.Instances < 1 || len(s.Groups) == 0 {
		faults = append(faults, "Zones, Instances and Groups are required")
	}
	for _, g := range s.Groups {
		faults = append(faults, g.faults()...)
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "\n"))
	}
	return nil
}

func (g *Group) faults() []string {
	var faults []string
	if g.Services < 1 || g.Leafs < 1 || g.Shards < 1 || g.Slots < 1 || g.ServiceMs <= 0 {
		faults = append(faults, fmt.Sprintf("group %q: Services, Leafs, Shards, Slots and ServiceMs must be positive", g.Name))
	}
	sum := 0.0
	for _, item := range g.Mix {
		sum += item.Share
	}
	if math.Abs(sum-1) > 0.001 {
		faults = append(faults, fmt.Sprintf("group %q: the shares of the mix add up to %g, not 1", g.Name, sum))
	}
	return faults
}

// service returns the name of the i-th service of the group.
func (g *Group) service(i int) string {
	if g.Services == 1 {
		return g.Name
	}
	return fmt.Sprintf("%s-%02d", g.Name, i)
}

// capacity returns the number of sub-queries per second that all slots of the group
// can run.
func (g *Group) capacity() float64 {
	mean := g.ServiceMs * math.Exp(g.ServiceSigma*g.ServiceSigma/2)
	return float64(g.Services*g.Leafs*g.Slots) / mean * float64(time.Second/time.Millisecond)
}

// fanOut returns the number of sub-queries that a request of the given kind needs.
func (g *Group) fanOut(kind trwire.Kind) int {
	if kind == trwire.Query {
		return g.Shards
	}
	return 1
}

// services returns the configurations of the leaf stand-ins of all groups. The leafs
// are warm from the start, since the load program does not measure cold starts.
func (s *Deployment) services() []trfakeleaf.ServiceConfig {
	var list []trfakeleaf.ServiceConfig
	for _, g := range s.Groups {
		for i := range g.Services {
			list = append(list, trfakeleaf.ServiceConfig{
				Name: g.service(i), Shards: g.Shards, Replicas: replicas, Leafs: g.Leafs, Records: recordsPerService,
				Limits: trfakeleaf.Limits{
					Slots: g.Slots, Queue: g.Queue, Connections: g.Connections, ConnectMs: g.ConnectMs,
					ServiceMs: g.ServiceMs, ServiceSigma: g.ServiceSigma,
				},
			})
		}
	}
	return list
}
