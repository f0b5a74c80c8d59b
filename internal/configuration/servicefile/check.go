package servicefile

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"hemlockmast/api/service"
)

// Limits on the values of a configuration.
const (
	maxGroups      = 10_000
	maxServices    = 10_000
	maxDatabases   = 1_000
	maxSlots       = 31
	maxUsers       = 100
	maxConnections = 100_000
	maxPriority    = 9
	maxConcurrency = 1_000_000
	maxQueueLength = 1_000_000
	minDeadline    = time.Millisecond
	maxDeadline    = 10 * time.Minute
	minMaxAge      = time.Millisecond
	maxMaxAge      = 24 * time.Hour
)

// namePattern matches valid names of groups, databases, slots, failure domains,
// services and users.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$`)

// Check checks all files together and builds a configuration with revision 0
// from them. It checks references between files only if every file was parsed
// without a problem, because a missing name may be defined in a damaged file.
func Check(files []*File) (*service.Configuration, Problems) {
	cfg := &service.Configuration{}
	c := checker{sources: make(map[any]*source), allParsed: true}
	for _, file := range files {
		switch {
		case file.Service != nil:
			cfg.Services = append(cfg.Services, file.Service)
			c.sources[file.Service] = &file.source
		case file.Group != nil:
			cfg.Groups = append(cfg.Groups, file.Group)
			c.sources[file.Group] = &file.source
		default:
			c.allParsed = false
		}
	}
	sortByName(cfg)
	c.check(cfg)
	return cfg, c.problems
}

// Validate checks a configuration that did not come from files by the same rules
// as Check. In addition, groups and services must be sorted by name.
func Validate(cfg *service.Configuration) Problems {
	c := checker{allParsed: true}
	sorted := &service.Configuration{
		Groups: slices.Clone(cfg.Groups), Services: slices.Clone(cfg.Services),
	}
	sortByName(sorted)
	if !slices.Equal(sorted.Groups, cfg.Groups) || !slices.Equal(sorted.Services, cfg.Services) {
		c.add(nil, KindBadValue, "", "groups or services are not sorted by name", "sort them")
	}
	c.check(cfg)
	return c.problems
}

func sortByName(cfg *service.Configuration) {
	slices.SortStableFunc(cfg.Groups, func(a, b *service.Group) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	slices.SortStableFunc(cfg.Services, func(a, b *service.Service) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
}

// checker collects the problems of one configuration. Its methods other than add
// and addDuplicate each check the part of the configuration that they are named
// for and record the problems found.
type checker struct {
	// sources locates the groups and services that came from files. The key is a
	// *service.Group or *service.Service.
	sources map[any]*source
	// allParsed is set when every file was parsed without a problem.
	allParsed bool
	problems  Problems
}

// add records a problem of owner, a *service.Group or *service.Service. A nil
// owner, or one that did not come from a file, gives a problem without a file.
func (c *checker) add(owner any, kind Kind, field, detail, fix string) {
	src := c.sources[owner]
	if src == nil {
		p := &Problem{Kind: kind, Field: field, Detail: detail, Fix: fix}
		c.problems = append(c.problems, p)
		return
	}
	c.problems = append(c.problems, src.problem(kind, field, detail, fix))
}

func (c *checker) check(cfg *service.Configuration) {
	c.count(nil, "groups", len(cfg.Groups), 0, maxGroups)
	c.count(nil, "services", len(cfg.Services), 0, maxServices)
	for i, group := range cfg.Groups {
		c.group(group)
		if i > 0 && cfg.Groups[i-1].GetName() == group.GetName() {
			c.addDuplicate(group, "group.name", group.GetName(), cfg.Groups[i-1])
		}
	}
	for i, svc := range cfg.Services {
		c.service(svc)
		if i > 0 && cfg.Services[i-1].GetName() == svc.GetName() {
			c.addDuplicate(svc, "service.name", svc.GetName(), cfg.Services[i-1])
		}
	}
	if c.allParsed {
		c.references(cfg)
	}
	c.problems.sort()
}

// addDuplicate records a name that is used twice. first is the group or service
// that uses it first, or nil.
func (c *checker) addDuplicate(owner any, field, name string, first any) {
	detail := fmt.Sprintf("name %q is used twice", name)
	if src := c.sources[first]; src != nil {
		detail += ", first in " + src.file
	}
	c.add(owner, KindDuplicateName, field, detail, "rename or remove one of the two")
}

func (c *checker) group(group *service.Group) {
	c.name(group, "group.name", group.GetName())
	c.names(group, "group.databases", group.GetDatabases(), maxDatabases)
	c.count(group, "group.slots", len(group.GetSlots()), 1, maxSlots)
	seen := make(map[string]bool)
	for i, slot := range group.GetSlots() {
		path := fmt.Sprintf("group.slots[%d]", i)
		c.name(group, path+".name", slot.GetName())
		c.name(group, path+".failure_domain", slot.GetFailureDomain())
		c.bounds(group, path+".connection_limit", slot.GetConnectionLimit(), 1, maxConnections)
		if seen[slot.GetName()] {
			c.addDuplicate(group, path+".name", slot.GetName(), nil)
		}
		seen[slot.GetName()] = true
	}
}

func (c *checker) service(svc *service.Service) {
	c.name(svc, "service.name", svc.GetName())
	c.name(svc, "service.group", svc.GetGroup())
	c.names(svc, "service.databases", svc.GetDatabases(), maxDatabases)
	c.names(svc, "service.users", svc.GetUsers(), maxUsers)
	c.duration(svc, "service.deadline", svc.GetDeadline(), minDeadline, maxDeadline)
	c.bounds(svc, "service.priority", svc.GetPriority(), 0, maxPriority)
	c.bounds(svc, "service.concurrency", svc.GetConcurrency(), 1, maxConcurrency)
	c.bounds(svc, "service.queue_length", svc.GetQueueLength(), 0, maxQueueLength)
	needs := svc.GetConnections()
	c.bounds(svc, "service.connections.max", needs.GetMax(), 1, maxConnections)
	if needs.GetMin() > needs.GetMax() {
		c.add(svc, KindOutOfRange, "service.connections.min",
			fmt.Sprintf("min %d is above max %d", needs.GetMin(), needs.GetMax()),
			"lower min or raise max")
	}
	c.readSettings(svc)
}

// readSettings checks the read level, maximum age, read preference and default
// access mode.
func (c *checker) readSettings(svc *service.Service) {
	switch svc.GetReadLevel() {
	case service.ReadLevel_READ_LEVEL_MAX_AGE:
		if svc.MaxAge == nil {
			c.add(svc, KindMissingField, "service.max_age",
				"read level max_age needs an age", "add \"max_age\", such as \"2s\"")
		}
	case service.ReadLevel_READ_LEVEL_PRIMARY:
		if svc.MaxAge != nil {
			c.add(svc, KindBadValue, "service.max_age",
				"read level primary accepts no age",
				"remove \"max_age\" or choose another read level")
		}
	case service.ReadLevel_READ_LEVEL_SESSION:
	default:
		c.add(svc, KindBadValue, "service.read_level", "read level is not known", "choose one")
	}
	if svc.MaxAge != nil {
		c.duration(svc, "service.max_age", svc.MaxAge, minMaxAge, maxMaxAge)
	}
	if p := svc.GetReadPreference(); p < 1 || p > service.ReadPreference_READ_PREFERENCE_LATENCY {
		c.add(svc, KindBadValue, "service.read_preference", "preference is not known", "choose one")
	}
	if a := svc.GetDefaultAccess(); a < 1 || a > service.AccessMode_ACCESS_MODE_READ_ONLY {
		c.add(svc, KindBadValue, "service.default_access", "access mode is not known", "choose one")
	}
}

func (c *checker) name(owner any, field, name string) {
	if !namePattern.MatchString(name) {
		c.add(owner, KindBadValue, field, fmt.Sprintf("%q is not a name", name),
			"use 1 to 63 letters, digits, \"_\", \".\" or \"-\", starting with a letter or digit")
	}
}

func (c *checker) names(owner any, field string, names []string, limit int) {
	c.count(owner, field, len(names), 1, limit)
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", field, i)
		c.name(owner, item, name)
		if slices.Contains(names[:i], name) {
			c.addDuplicate(owner, item, name, nil)
		}
	}
}

// count checks that a list has low to high entries.
func (c *checker) count(owner any, field string, n, low, high int) {
	if n < low || n > high {
		c.add(owner, KindOutOfRange, field, fmt.Sprintf("has %d entries", n),
			fmt.Sprintf("give %d to %d", low, high))
	}
}

func (c *checker) bounds(owner any, field string, n, low, high uint32) {
	if n < low || n > high {
		c.add(owner, KindOutOfRange, field, fmt.Sprintf("is %d", n),
			fmt.Sprintf("write %d to %d", low, high))
	}
}

func (c *checker) duration(owner any, field string, p *durationpb.Duration, low, high time.Duration) {
	if d := p.AsDuration(); !p.IsValid() || d < low || d > high {
		c.add(owner, KindOutOfRange, field, fmt.Sprintf("is %s", d),
			fmt.Sprintf("write %s to %s", low, high))
	}
}
