package daemon

import (
	"sync/atomic"
	"time"

	"hemlockmast/api/service"
	"hemlockmast/internal/entryside/entry"
)

// catalog maps the login of a caller to a service of the configuration in force.
type catalog struct {
	byLogin atomic.Pointer[map[login]entry.Service]
}

type login struct{ user, database string }

func newCatalog() *catalog {
	c := &catalog{}
	c.byLogin.Store(&map[login]entry.Service{})
	return c
}

// Lookup implements entry.Catalog.
func (c *catalog) Lookup(user, database string) (entry.Service, bool) {
	s, ok := (*c.byLogin.Load())[login{user, database}]
	return s, ok
}

// set replaces the services by those of cfg.
func (c *catalog) set(cfg *service.Configuration) {
	next := map[login]entry.Service{}
	for _, s := range cfg.Services {
		converted := convertService(s)
		for _, user := range s.Users {
			for _, database := range s.Databases {
				next[login{user, database}] = converted
			}
		}
	}
	c.byLogin.Store(&next)
}

func convertService(s *service.Service) entry.Service {
	return entry.Service{
		Name:            s.Name,
		Group:           s.Group,
		Deadline:        s.Deadline.AsDuration(),
		Priority:        int32(s.Priority),
		ReadOnlyDefault: s.DefaultAccess == service.AccessMode_ACCESS_MODE_READ_ONLY,
		Repeatable:      s.Repeatable,
		Level:           convertLevel(s.ReadLevel),
		MaxAge:          maxAge(s),
		PreferReplicas:  s.ReadPreference != service.ReadPreference_READ_PREFERENCE_LATENCY,
	}
}

// maxAge returns the staleness limit of s, or 0 if it has none.
func maxAge(s *service.Service) time.Duration {
	if s.MaxAge == nil {
		return 0
	}
	return s.MaxAge.AsDuration()
}

func convertLevel(level service.ReadLevel) entry.ReadLevel {
	switch level {
	case service.ReadLevel_READ_LEVEL_MAX_AGE:
		return entry.LevelMaxAge
	case service.ReadLevel_READ_LEVEL_PRIMARY:
		return entry.LevelPrimary
	default:
		return entry.LevelSession
	}
}
