// Package settings reads and validates the settings file of a daemon. Each reported
// problem names the file, the field and a fix.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "hemlockmast/api/settings"
)

// Roles of a daemon.
const (
	RoleEntry   = "entry"
	RoleHolder  = "holder"
	RoleControl = "control"
)

// Defaults of optional settings.
const (
	// DefaultMaxCallers is the default limit of caller connections.
	DefaultMaxCallers = 20000
	// DefaultDrainTimeout is the default time for connections to end after SIGTERM.
	DefaultDrainTimeout = 30 * time.Second
	// DefaultHoldersPerSlot is the default number of holders of one slot.
	DefaultHoldersPerSlot = 2
	// MaxHoldersPerSlot bounds the number of holders of one slot.
	MaxHoldersPerSlot = 3
	// maxFileBytes bounds the size of a settings file.
	maxFileBytes = 1 << 20
	// minTokenKeyBytes is the minimum length of a token key.
	minTokenKeyBytes = 16
	// maxNameBytes bounds the names of daemons and failure domains.
	maxNameBytes = 64
)

// Settings are the validated settings of a daemon. DrainTimeout, MaxCallers and
// HoldersPerSlot have their defaults filled in, unlike the limits of the embedded message.
type Settings struct {
	*pb.Settings
	DrainTimeout   time.Duration
	MaxCallers     int
	HoldersPerSlot int
	// TokenKey signs session tokens.
	TokenKey []byte
}

// Problem is one problem in a settings file.
type Problem struct {
	File string
	// Field is a path such as "listen.callers". It is empty if the file as a whole cannot
	// be read.
	Field string
	// Detail tells what is wrong, and Fix how to correct it.
	Detail string
	Fix    string
}

func (p *Problem) Error() string {
	where := p.File
	if p.Field != "" {
		where += ": " + p.Field
	}
	return fmt.Sprintf("%s: %s; %s", where, p.Detail, p.Fix)
}

// Problems is the list of all problems of one settings file.
type Problems []*Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the file at path. Errors: Problems.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	if info.Size() > maxFileBytes {
		return nil, Problems{{
			File: path, Detail: fmt.Sprintf("the file has %d bytes", info.Size()),
			Fix: fmt.Sprintf("keep it under %d bytes", maxFileBytes),
		}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	return Parse(path, data)
}

func unreadable(path string, err error) Problems {
	return Problems{{File: path, Detail: err.Error(), Fix: "name a file that the daemon may read"}}
}

// Parse decodes and validates the content of a settings file. Problems refer to the file
// by name. Errors: Problems.
func Parse(name string, data []byte) (*Settings, error) {
	raw := &pb.Settings{}
	if err := protojson.Unmarshal(data, raw); err != nil {
		return nil, Problems{{
			File: name, Detail: err.Error(),
			Fix: "use the fields and types of docs/settings.md",
		}}
	}
	return Check(name, raw)
}

// Check validates settings that a program created, and fills in defaults. Problems refer
// to them by name. Errors: Problems.
func Check(name string, raw *pb.Settings) (*Settings, error) {
	c := &checker{file: name, s: &Settings{Settings: raw}}
	c.check()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return c.s, nil
}

// checker collects the problems of one settings file.
type checker struct {
	file     string
	s        *Settings
	problems Problems
}

func (c *checker) add(field, detail, fix string) {
	c.problems = append(c.problems, &Problem{File: c.file, Field: field, Detail: detail, Fix: fix})
}

func (c *checker) check() {
	c.checkNames()
	c.checkRoles()
	c.checkListen()
	c.checkAdvertise()
	c.checkPeers()
	c.checkLimits()
	c.checkLog()
	c.checkSecurity()
}

func (c *checker) checkNames() {
	c.checkName("name", c.s.Name)
	c.checkName("failure_domain", c.s.FailureDomain)
}

func (c *checker) checkName(field, value string) {
	if value == "" {
		c.add(field, "is missing", "give a name of letters, digits, '-', '_' or '.'")
		return
	}
	isInvalid := func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r)
	}
	if len(value) > maxNameBytes || strings.ContainsFunc(value, isInvalid) {
		c.add(field, fmt.Sprintf("%q is no name", value),
			"use at most 64 letters, digits, '-', '_' or '.'")
	}
}

func (c *checker) checkRoles() {
	if len(c.s.Roles) == 0 {
		c.add("roles", "is missing", `give at least one of "entry", "holder", "control"`)
	}
	for i, role := range c.s.Roles {
		field := fmt.Sprintf("roles[%d]", i)
		if !slices.Contains([]string{RoleEntry, RoleHolder, RoleControl}, role) {
			c.add(field, fmt.Sprintf("%q is no role", role), `use "entry", "holder" or "control"`)
		}
		if slices.Contains(c.s.Roles[:i], role) {
			c.add(field, fmt.Sprintf("%q stands twice", role), "remove one")
		}
	}
	if c.s.HasRole(RoleControl) && c.s.DataFolder == "" {
		c.add("data_folder", "is missing", "the role control needs a folder on a disk")
	}
}

// HasRole reports whether the daemon has the given role.
func (s *Settings) HasRole(role string) bool { return slices.Contains(s.Roles, role) }

func (c *checker) checkListen() {
	listen := c.s.Listen
	if listen == nil {
		c.add("listen", "is missing", "give the addresses link, admin, heartbeat and, for entries, callers")
		return
	}
	c.checkAddress("listen.link", listen.Link)
	c.checkAddress("listen.admin", listen.Admin)
	c.checkAddress("listen.heartbeat", listen.Heartbeat)
	if c.s.HasRole(RoleEntry) {
		c.checkAddress("listen.callers", listen.Callers)
	} else if listen.Callers != "" {
		c.add("listen.callers", "is set without the role entry", "remove it or add the role entry")
	}
	tcp := map[string]string{}
	for _, a := range [][2]string{{"listen.callers", listen.Callers}, {"listen.link", listen.Link}, {"listen.admin", listen.Admin}} {
		c.checkDuplicateAddress(tcp, a[0], a[1])
	}
}

// checkAdvertise validates the advertised addresses and fills missing ones from the
// listen addresses.
func (c *checker) checkAdvertise() {
	listen := c.s.GetListen()
	if listen == nil {
		return
	}
	if c.s.Advertise == nil {
		c.s.Advertise = &pb.Listen{}
	}
	a := c.s.Advertise
	for _, f := range []struct {
		name     string
		value    *string
		fallback string
	}{
		{"advertise.callers", &a.Callers, listen.Callers},
		{"advertise.link", &a.Link, listen.Link},
		{"advertise.admin", &a.Admin, listen.Admin},
		{"advertise.heartbeat", &a.Heartbeat, listen.Heartbeat},
	} {
		if *f.value == "" {
			*f.value = f.fallback
		} else {
			c.checkAddress(f.name, *f.value)
		}
	}
}

// checkDuplicateAddress reports an address that another field in seen already has. Port 0
// is exempt, because the kernel then chooses a free port.
func (c *checker) checkDuplicateAddress(seen map[string]string, field, addr string) {
	if addr == "" || strings.HasSuffix(addr, ":0") {
		return
	}
	if other, taken := seen[addr]; taken {
		c.add(field, fmt.Sprintf("%s is the address of %s too", addr, other), "give each its own port")
	}
	seen[addr] = field
}

func (c *checker) checkAddress(field, addr string) {
	if addr == "" {
		c.add(field, "is missing", `give an address such as "10.0.0.1:6432"`)
		return
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.add(field, fmt.Sprintf("%q is no address", addr), `use an IP address and a port, such as "10.0.0.1:6432"`)
	}
}

func (c *checker) checkPeers() {
	names := map[string]bool{c.s.Name: true}
	for i, p := range c.s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.checkName(field+".name", p.Name)
		c.checkName(field+".failure_domain", p.FailureDomain)
		c.checkAddress(field+".link", p.Link)
		c.checkAddress(field+".admin", p.Admin)
		c.checkAddress(field+".heartbeat", p.Heartbeat)
		if names[p.Name] {
			c.add(field+".name", fmt.Sprintf("%q stands twice", p.Name),
				"list each other daemon once, and not this one")
		}
		names[p.Name] = true
	}
}

func (c *checker) checkLimits() {
	limits := c.s.Limits
	if limits == nil {
		limits = &pb.Limits{}
	}
	c.s.MaxCallers = int(limits.MaxCallers)
	if c.s.MaxCallers == 0 {
		c.s.MaxCallers = DefaultMaxCallers
	}
	c.s.HoldersPerSlot = int(limits.HoldersPerSlot)
	if c.s.HoldersPerSlot == 0 {
		c.s.HoldersPerSlot = DefaultHoldersPerSlot
	}
	if c.s.HoldersPerSlot > MaxHoldersPerSlot {
		c.add("limits.holders_per_slot", fmt.Sprintf("%d is too many", c.s.HoldersPerSlot),
			fmt.Sprintf("use 1 to %d", MaxHoldersPerSlot))
	}
	c.s.DrainTimeout = DefaultDrainTimeout
	if limits.DrainTimeout == "" {
		return
	}
	d, err := time.ParseDuration(limits.DrainTimeout)
	if err != nil || d < 0 {
		c.add("limits.drain_timeout", fmt.Sprintf("%q is no duration", limits.DrainTimeout),
			`use a number with a unit, such as "30s"`)
		return
	}
	c.s.DrainTimeout = d
}

func (c *checker) checkLog() {
	if c.s.Log == nil || c.s.Log.Level == "" {
		return
	}
	if !slices.Contains([]string{"error", "info", "debug"}, c.s.Log.Level) {
		c.add("log.level", fmt.Sprintf("%q is no level", c.s.Log.Level), `use "error", "info" or "debug"`)
	}
}

// loopbackKey is the key for session tokens of daemons that only listen on loopback and
// have no key file.
const loopbackKey = "loopback-only-token-key"

func (c *checker) checkSecurity() {
	file := c.s.GetSecurity().GetTokenKeyFile()
	if file == "" {
		if c.s.onLoopback() {
			c.s.TokenKey = []byte(loopbackKey)
			return
		}
		c.add("security.token_key_file", "is missing",
			"give a file with at least 16 random bytes, the same on all daemons")
		return
	}
	key, err := os.ReadFile(file)
	switch {
	case err != nil:
		c.add("security.token_key_file", err.Error(), "name a file that the daemon may read")
	case len(key) < minTokenKeyBytes:
		c.add("security.token_key_file", fmt.Sprintf("the key has %d bytes", len(key)),
			"use at least 16 random bytes")
	default:
		c.s.TokenKey = key
	}
}

// onLoopback reports whether every listen address is on loopback.
func (s *Settings) onLoopback() bool {
	listen := s.GetListen()
	for _, addr := range []string{listen.GetCallers(), listen.GetLink(), listen.GetAdmin(), listen.GetHeartbeat()} {
		if addr == "" {
			continue
		}
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return false
		}
		ip, err := netip.ParseAddr(host)
		if err != nil || !ip.IsLoopback() {
			return false
		}
	}
	return true
}
