// Package fleetd runs a daemon with one role, entry or control, on the users' platform.
// It reads the daemon's settings and connects the parts that the role needs.
package fleetd

import (
	"fmt"
	"net/netip"
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/settings"
)

// Roles of a daemon. An entry is a proxy that callers connect to; a control daemon is a
// member of the control group.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Bounds of the span in which workspaces' limits are checked. Tokens are valid for a tenth of it,
// which must be long beside the time of a request to a granter.
const (
	minQuotaWindowS = 1
	maxQuotaWindowS = 60
)

// maxCrossDomainCostMs bounds cross_domain_cost_ms: longer waits are refused anyway.
const maxCrossDomainCostMs = 1000

// Load reads and checks the settings file at path. Errors: settings.Problems.
func Load(path string) (*fleetpb.DaemonSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.Problems{{File: path, Detail: err.Error(), Fix: "name a file that the daemon may read"}}
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file. name is the file name for error
// messages. Errors: settings.Problems.
func Parse(name string, data []byte) (*fleetpb.DaemonSettings, error) {
	s := &fleetpb.DaemonSettings{}
	if err := protojson.Unmarshal(data, s); err != nil {
		return nil, settings.Problems{{File: name, Detail: err.Error(), Fix: "use the fields and types of docs/platform.md"}}
	}
	c := &checker{file: name}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

// checker collects the problems of a settings file.
type checker struct {
	file     string
	problems settings.Problems
}

func (c *checker) add(field, detail, fix string) {
	c.problems = append(c.problems, &settings.Problem{File: c.file, Field: field, Detail: detail, Fix: fix})
}

func (c *checker) check(s *fleetpb.DaemonSettings) {
	c.required("name", s.Name)
	c.required("failure_domain", s.FailureDomain)
	c.address("internal", s.Internal)
	if s.ControlPort == 0 || s.ControlPort > 65535 {
		c.add("control_port", fmt.Sprintf("%d is no port", s.ControlPort), "give 1 to 65535")
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if s.GraceMs == 0 {
		c.add("grace_ms", "is missing", "give how long a stop may take, in milliseconds")
	}
	switch s.Role {
	case RoleEntry:
		c.address("callers", s.Callers)
		c.address("ready", s.Ready)
		if s.Carrier != "" {
			c.address("carrier", s.Carrier)
		}
		if w := s.QuotaWindowS; w != 0 && !(w >= minQuotaWindowS && w <= maxQuotaWindowS) {
			c.add("quota_window_s", fmt.Sprintf("%v is no window", w), fmt.Sprintf("give %d to %d seconds, or 0 for the default", minQuotaWindowS, maxQuotaWindowS))
		}
		if s.CrossDomainCostMs > maxCrossDomainCostMs {
			c.add("cross_domain_cost_ms", fmt.Sprintf("%d is too long", s.CrossDomainCostMs),
				fmt.Sprintf("give at most %d, or 0 for a fixed penalty", maxCrossDomainCostMs))
		}
	case RoleControl:
		c.address("operators", s.Operators)
		c.address("promoter", s.Promoter)
		c.required("data_folder", s.DataFolder)
		if s.HeartbeatMs == 0 {
			c.add("heartbeat_ms", "is missing", "give the time between two announcements of an endpoint, in milliseconds")
		}
	default:
		c.add("role", fmt.Sprintf("%q is no role", s.Role), `use "entry" or "control"`)
	}
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.add(field, "is missing", "give a value")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, fmt.Sprintf("%q is no address", value), `use "ip:port"`)
	}
}
