package publish

import (
	"fmt"
	"slices"

	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
)

// Warning describes how a publication would affect a service or slot that is in
// use.
type Warning struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// usage looks up what is in use.
type usage struct {
	response *confspread.UsageResponse
}

// callers returns the number of callers of a service and whether it is known.
func (u usage) callers(name string) (uint32, bool) {
	for _, svc := range u.response.GetServices() {
		if svc.GetService() == name {
			return svc.GetCallers(), true
		}
	}
	return 0, u.response.GetKnown()
}

// connections returns the number of open connections of a slot and whether it is
// known.
func (u usage) connections(group, slot string) (uint32, bool) {
	for _, s := range u.response.GetSlots() {
		if s.GetGroup() == group && s.GetSlot() == slot {
			return s.GetConnections(), true
		}
	}
	return 0, u.response.GetKnown()
}

// Warnings returns the effects on services and slots in use if the configuration
// to replaces from. If the usage is not known, it warns as if they were in use.
func Warnings(from, to *service.Configuration, response *confspread.UsageResponse) []Warning {
	u := usage{response: response}
	var out []Warning
	services := byName(to.GetServices())
	for _, old := range from.GetServices() {
		out = append(out, u.serviceWarnings(old, services[old.GetName()])...)
	}
	groups := byName(to.GetGroups())
	for _, old := range from.GetGroups() {
		out = append(out, u.groupWarnings(old, groups[old.GetName()])...)
	}
	return out
}

func (u usage) serviceWarnings(old, current *service.Service) []Warning {
	n, known := u.callers(old.GetName())
	if known && n == 0 {
		return nil
	}
	who := "its callers are not known"
	if known {
		who = fmt.Sprintf("it has %d callers", n)
	}
	if current == nil {
		return []Warning{{KindService, old.GetName(), "would be removed; " + who}}
	}
	var out []Warning
	for _, user := range old.GetUsers() {
		if !slices.Contains(current.GetUsers(), user) {
			out = append(out, Warning{KindService, old.GetName(), fmt.Sprintf("would lose user %q; %s", user, who)})
		}
	}
	for _, database := range old.GetDatabases() {
		if !slices.Contains(current.GetDatabases(), database) {
			out = append(out, Warning{KindService, old.GetName(), fmt.Sprintf("would lose database %q; %s", database, who)})
		}
	}
	return out
}

func (u usage) groupWarnings(old, current *service.Group) []Warning {
	if current == nil {
		return []Warning{{KindGroup, old.GetName(), "would be removed with all its slots"}}
	}
	slots := byName(current.GetSlots())
	var out []Warning
	for _, slot := range old.GetSlots() {
		now := slots[slot.GetName()]
		name := old.GetName() + "/" + slot.GetName()
		if now == nil {
			out = append(out, Warning{KindGroup, name, "slot would be removed"})
			continue
		}
		if text := u.limitWarning(old.GetName(), slot, now); text != "" {
			out = append(out, Warning{KindGroup, name, text})
		}
	}
	return out
}

func (u usage) limitWarning(group string, old, current *service.Slot) string {
	limit := current.GetConnectionLimit()
	if limit >= old.GetConnectionLimit() {
		return ""
	}
	n, known := u.connections(group, old.GetName())
	if known && n <= limit {
		return ""
	}
	text := fmt.Sprintf("connection limit would fall from %d to %d; ", old.GetConnectionLimit(), limit)
	if known {
		return text + fmt.Sprintf("%d connections are open", n)
	}
	return text + "open connections are not known"
}
