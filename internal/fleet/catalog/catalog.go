// Package catalog validates the configuration of routes and services, and computes and
// applies updates between its versions. It does no I/O.
package catalog

import (
	"fmt"
	"slices"

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
)

var problemTexts = [...]string{
	NoVersion:         "the version is 0",
	NoName:            "a name is missing",
	DuplicateName:     "the name stands twice",
	DuplicateRouteKey: "another route has the same database and path",
	UnknownService:    "the service is not defined",
	NoTimeout:         "the timeout is 0",
	NoLevel:           "the read level is unknown",
}

// InvalidError reports an invalid configuration.
type InvalidError struct {
	// Item is the name of the invalid route or service, or empty if the problem concerns
	// the whole configuration.
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
	return checkRoutes(c.Routes, services)
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
// configuration. Otherwise it contains all services, but only the routes that differ.
func Diff(base, next *fleetpb.Configuration) *fleetpb.ConfigurationUpdate {
	if base == nil {
		return &fleetpb.ConfigurationUpdate{Changed: next}
	}
	before := routesByName(base)
	changed := &fleetpb.Configuration{
		Version: next.Version, Services: next.Services, IdleTransactionMs: next.IdleTransactionMs,
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
	return update
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
		IdleTransactionMs: u.Changed.IdleTransactionMs,
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
