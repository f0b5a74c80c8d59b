package servicefile

import (
	"fmt"
	"slices"

	"hemlockmast/api/service"
)

// login is the user and database that a caller names when it connects.
type login struct {
	user     string
	database string
}

// references checks the rules that concern several services and groups:
// groups and databases exist, no login is ambiguous, and connection limits
// suffice.
func (c *checker) references(cfg *service.Configuration) {
	groups := make(map[string]*service.Group, len(cfg.Groups))
	for _, group := range cfg.Groups {
		groups[group.GetName()] = group
	}
	logins := make(map[login]*service.Service)
	reserved := make(map[string]uint32, len(cfg.Groups))
	for _, svc := range cfg.Services {
		c.logins(svc, logins)
		group := groups[svc.GetGroup()]
		if group == nil {
			c.add(svc, KindUnknownReference, "service.group",
				fmt.Sprintf("no group %q", svc.GetGroup()),
				"name a group of the group files, or add its file")
			continue
		}
		c.databases(svc, group)
		c.limits(svc, group, reserved)
	}
}

// logins checks that user and database identify the service of a caller.
func (c *checker) logins(svc *service.Service, taken map[login]*service.Service) {
	for i, user := range svc.GetUsers() {
		for _, database := range svc.GetDatabases() {
			key := login{user: user, database: database}
			if other := taken[key]; other != nil && other != svc {
				c.add(svc, KindAmbiguous, fmt.Sprintf("service.users[%d]", i),
					fmt.Sprintf("user %q of database %q also belongs to service %q",
						user, database, other.GetName()),
					"give each service its own user")
				continue
			}
			taken[key] = svc
		}
	}
}

func (c *checker) databases(svc *service.Service, group *service.Group) {
	for i, database := range svc.GetDatabases() {
		if slices.Contains(group.GetDatabases(), database) {
			continue
		}
		c.add(svc, KindUnknownReference, fmt.Sprintf("service.databases[%d]", i),
			fmt.Sprintf("group %q has no database %q", group.GetName(), database),
			"name a database of the group, or add it to the group's file")
	}
}

// limits checks the service's maximum, and the sum of the minima of the
// group's services, against the smallest connection limit of the group's slots.
func (c *checker) limits(svc *service.Service, group *service.Group, reserved map[string]uint32) {
	smallest := smallestLimit(group)
	needs := svc.GetConnections()
	if needs.GetMax() > smallest {
		c.add(svc, KindOverCommitted, "service.connections.max",
			fmt.Sprintf("max %d is above %d, the connection limit of the smallest slot of group %q",
				needs.GetMax(), smallest, group.GetName()),
			fmt.Sprintf("write at most %d", smallest))
	}
	before := reserved[group.GetName()]
	total := before + min(needs.GetMin(), maxConnections)
	reserved[group.GetName()] = total
	if total > smallest && needs.GetMin() > 0 {
		c.add(svc, KindOverCommitted, "service.connections.min",
			fmt.Sprintf("services of group %q keep %d connections, its smallest slot has %d",
				group.GetName(), total, smallest),
			fmt.Sprintf("lower min by %d here or at another service", total-smallest))
	}
}

func smallestLimit(group *service.Group) uint32 {
	if len(group.GetSlots()) == 0 {
		return 0
	}
	slot := slices.MinFunc(group.GetSlots(), func(a, b *service.Slot) int {
		return int(a.GetConnectionLimit()) - int(b.GetConnectionLimit())
	})
	return slot.GetConnectionLimit()
}
