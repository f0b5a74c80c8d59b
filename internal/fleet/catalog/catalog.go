// Package catalog validates the configuration of routes and services, and computes and
// applies updates between its versions. It does no I/O.
package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
)

// Problem is the reason why a configuration is invalid.
type Problem uint8

// Problems of a configuration. problemTexts describes each one.
const (
	NoVersion Problem = iota
	NoName
	DuplicateName
	DuplicateRouteKey
	UnknownService
	NoTimeout
	NoLevel
	NameNotOneWord
	EmptyKey
	DuplicateKey
	BadLimit
)

var problemTexts = [...]string{
	NoVersion:         "the version is 0",
	NoName:            "a name is missing",
	DuplicateName:     "the name stands twice",
	DuplicateRouteKey: "another route has the same database and path",
	UnknownService:    "the service is not defined",
	NoTimeout:         "the timeout is 0",
	NoLevel:           "the read level is unknown",
	NameNotOneWord:    "the name contains spaces or control characters",
	EmptyKey:          "a key is empty",
	DuplicateKey:      "another workspace has one of its keys",
	BadLimit:          "the rate or the burst is negative or not finite",
}

// InvalidError reports an invalid configuration.
type InvalidError struct {
	// Item is the name of the invalid route, service or workspace, or empty if the problem
	// concerns the whole configuration. It is never a key.
	Item    string
	Problem Problem
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration is invalid at %q: %s", e.Item, problemTexts[e.Problem])
}

// Check validates c. Errors: *InvalidError for the first problem found.
func Check(c *fleetpb.Configuration) error {
	if c.Version == 0 {
		return &InvalidError{Problem: NoVersion}
	}
	services := make(map[string]bool)
	for _, s := range c.Services {
		if s.Name == "" {
			return &InvalidError{Problem: NoName}
		}
		if services[s.Name] {
			return &InvalidError{Item: s.Name, Problem: DuplicateName}
		}
		services[s.Name] = true
	}
	if err := checkRoutes(c.Routes, services); err != nil {
		return err
	}
	return checkWorkspaces(c.Workspaces)
}

func checkWorkspaces(workspaces []*fleetpb.Workspace) error {
	names := make(map[string]bool)
	holders := make(map[string]string)
	for _, w := range workspaces {
		problem, found := Problem(0), true
		switch {
		case w.Name == "":
			problem = NoName
		case strings.ContainsFunc(w.Name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
			// Endpoints receive the name as one word of a line.
			problem = NameNotOneWord
		case names[w.Name]:
			problem = DuplicateName
		case !isLimit(w.RatePerS) || !isLimit(w.Burst):
			problem = BadLimit
		default:
			problem, found = checkKeys(w, holders)
		}
		if found {
			return &InvalidError{Item: w.Name, Problem: problem}
		}
		names[w.Name] = true
	}
	return nil
}

// isLimit reports whether x can be a rate or a burst.
func isLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// checkKeys adds the keys of w to holders, which maps keys to names of workspaces, and reports
// whether it found a problem. A workspace may name a key of its own twice.
func checkKeys(w *fleetpb.Workspace, holders map[string]string) (Problem, bool) {
	for _, key := range w.Keys {
		if key == "" {
			return EmptyKey, true
		}
		if holder, ok := holders[key]; ok && holder != w.Name {
			return DuplicateKey, true
		}
		holders[key] = w.Name
	}
	return 0, false
}

// routeKey is what a request is routed by. No two routes may have the same key.
type routeKey struct{ database, path string }

func checkRoutes(routes []*fleetpb.Route, services map[string]bool) error {
	names := make(map[string]bool)
	keys := make(map[routeKey]bool)
	for _, r := range routes {
		key := routeKey{database: r.Database, path: r.Path}
		problem, found := Problem(0), true
		switch {
		case r.Name == "" || r.Database == "":
			problem = NoName
		case names[r.Name]:
			problem = DuplicateName
		case keys[key]:
			problem = DuplicateRouteKey
		case !services[r.Service]:
			problem = UnknownService
		case r.TimeoutMs == 0:
			problem = NoTimeout
		case r.Level == fleetpb.Level_LEVEL_UNSPECIFIED:
			problem = NoLevel
		default:
			found = false
		}
		if found {
			return &InvalidError{Item: r.Name, Problem: problem}
		}
		names[r.Name] = true
		keys[key] = true
	}
	return nil
}

// HasService reports whether c defines the service with the given name.
func HasService(c *fleetpb.Configuration, name string) bool {
	return slices.ContainsFunc(c.Services, func(s *fleetpb.Service) bool { return s.Name == name })
}

// Diff returns the update from base to next. If base is nil, the update contains the whole
// configuration. Otherwise it contains all services, but only the routes and workspaces that
// differ.
func Diff(base, next *fleetpb.Configuration) *fleetpb.ConfigurationUpdate {
	if base == nil {
		return &fleetpb.ConfigurationUpdate{Changed: next}
	}
	before := routesByName(base)
	changed := &fleetpb.Configuration{
		Version: next.Version, Services: next.Services, IdleTransactionMs: next.IdleTransactionMs,
		IdentifiesCallers: next.IdentifiesCallers,
	}
	update := &fleetpb.ConfigurationUpdate{BaseVersion: base.Version, Changed: changed}
	for _, r := range next.Routes {
		if !proto.Equal(before[r.Name], r) {
			changed.Routes = append(changed.Routes, r)
		}
		delete(before, r.Name)
	}
	for _, r := range base.Routes {
		if before[r.Name] != nil {
			update.Removed = append(update.Removed, r.Name)
		}
	}
	changed.Workspaces, update.RemovedWorkspaces = diffWorkspaces(base.Workspaces, next.Workspaces)
	return update
}

// diffWorkspaces returns the workspaces of next that are not in base, and the names of those of
// base that are not in next.
func diffWorkspaces(base, next []*fleetpb.Workspace) (changed []*fleetpb.Workspace, removed []string) {
	before := workspacesByName(base)
	for _, w := range next {
		if !proto.Equal(before[w.Name], w) {
			changed = append(changed, w)
		}
		delete(before, w.Name)
	}
	for _, w := range base {
		if before[w.Name] != nil {
			removed = append(removed, w.Name)
		}
	}
	return changed, removed
}

func workspacesByName(workspaces []*fleetpb.Workspace) map[string]*fleetpb.Workspace {
	byName := make(map[string]*fleetpb.Workspace, len(workspaces))
	for _, w := range workspaces {
		byName[w.Name] = w
	}
	return byName
}

// applyWorkspaces returns the workspaces of base without the removed ones and with the changed
// ones. It returns base itself if there are neither.
func applyWorkspaces(base, changed []*fleetpb.Workspace, removed []string) []*fleetpb.Workspace {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	newer := workspacesByName(changed)
	var next []*fleetpb.Workspace
	for _, w := range base {
		switch {
		case newer[w.Name] != nil:
			next = append(next, newer[w.Name])
			delete(newer, w.Name)
		case !slices.Contains(removed, w.Name):
			next = append(next, w)
		}
	}
	for _, w := range changed {
		if newer[w.Name] != nil {
			next = append(next, w)
		}
	}
	return next
}

func routesByName(c *fleetpb.Configuration) map[string]*fleetpb.Route {
	byName := make(map[string]*fleetpb.Route, len(c.Routes))
	for _, r := range c.Routes {
		byName[r.Name] = r
	}
	return byName
}

// BaseVersionError reports an update whose base version, Base, is not the version of the
// configuration that it was applied to, Held.
type BaseVersionError struct{ Held, Base uint64 }

func (e *BaseVersionError) Error() string {
	return fmt.Sprintf("update from version %d does not fit version %d", e.Base, e.Held)
}

// Apply applies u to base and returns the new configuration, whose routes are in no
// particular order. If u is not newer than base, it returns base. Errors:
// *BaseVersionError, together with base.
func Apply(base *fleetpb.Configuration, u *fleetpb.ConfigurationUpdate) (*fleetpb.Configuration, error) {
	if u.GetChanged().GetVersion() <= base.GetVersion() {
		return base, nil
	}
	if u.BaseVersion == 0 {
		return u.Changed, nil
	}
	if u.BaseVersion != base.GetVersion() {
		return base, &BaseVersionError{Held: base.GetVersion(), Base: u.BaseVersion}
	}
	next := &fleetpb.Configuration{
		Version: u.Changed.Version, Services: u.Changed.Services,
		IdleTransactionMs: u.Changed.IdleTransactionMs, IdentifiesCallers: u.Changed.IdentifiesCallers,
		Workspaces: applyWorkspaces(base.GetWorkspaces(), u.Changed.Workspaces, u.RemovedWorkspaces),
	}
	routes := routesByName(base)
	for _, name := range u.Removed {
		delete(routes, name)
	}
	for _, r := range u.Changed.Routes {
		routes[r.Name] = r
	}
	for _, r := range routes {
		next.Routes = append(next.Routes, r)
	}
	return next, nil
}
