package standin

import (
	"maps"
	"slices"
	"strings"
)

// setting is one session setting.
type setting struct{ name, value string }

// reported lists the settings whose changes are told to the client, with the
// case that the protocol uses.
var reported = []string{"application_name", "client_encoding", "DateStyle", "default_transaction_read_only",
	"integer_datetimes", "IntervalStyle", "is_superuser", "server_encoding", "server_version",
	"session_authorization", "standard_conforming_strings", "TimeZone"}

var defaults = map[string]string{
	"application_name": "", "client_encoding": "UTF8", "datestyle": "ISO, MDY",
	"default_transaction_read_only": "off", "integer_datetimes": "on", "intervalstyle": "postgres",
	"is_superuser": "off", "server_encoding": "UTF8", "server_version": "16.0",
	"session_authorization": "", "standard_conforming_strings": "on", "timezone": "UTC",
	"statement_timeout": "0", "search_path": "\"$user\", public", "lock_timeout": "0",
	"transaction_isolation": "read committed", "extra_float_digits": "1", "work_mem": "4MB",
	"idle_in_transaction_session_timeout": "0", "bytea_output": "hex", "default_transaction_isolation": "read committed",
}

// settings are a session's settings with their values at connection start and
// at the start of the transaction.
type settings struct {
	now, initial map[string]string
	// before holds what the transaction changed, to go back to; nil outside.
	before map[string]string
	// local names the settings that go back at commit too.
	local   map[string]bool
	changes []setting
}

func (g *settings) start(params map[string]string) {
	g.initial = maps.Clone(defaults)
	g.initial["session_authorization"] = params["user"]
	for name, value := range params {
		switch name {
		case "user", "database", "replication", "options", paramReplica:
		default:
			g.initial[strings.ToLower(name)] = value
		}
	}
	g.now = maps.Clone(g.initial)
}

func (g *settings) all() []setting {
	var out []setting
	for _, name := range reported {
		out = append(out, setting{name, g.now[strings.ToLower(name)]})
	}
	return out
}

// get returns a setting; names with a dot exist once they are set.
func (g *settings) get(name string) (string, bool) {
	v, ok := g.now[strings.ToLower(name)]
	return v, ok
}

// known reports whether a name may be set.
func (g *settings) known(name string) bool {
	_, ok := g.now[name]
	return ok || strings.Contains(name, ".")
}

func (g *settings) set(name, value string, local bool) {
	name = strings.ToLower(name)
	if g.before == nil {
		g.before, g.local = map[string]string{}, map[string]bool{}
	}
	if _, ok := g.before[name]; !ok {
		g.before[name] = g.now[name]
	}
	g.local[name] = local
	g.change(name, value)
}

func (g *settings) change(name, value string) {
	if old, ok := g.now[name]; ok && old == value {
		return
	}
	g.now[name] = value
	i := slices.IndexFunc(reported, func(r string) bool { return strings.EqualFold(r, name) })
	if i >= 0 {
		g.changes = append(g.changes, setting{reported[i], value})
	}
}

// reset restores one setting, or all when name is empty.
func (g *settings) reset(name string) {
	if name != "" {
		g.set(name, g.initial[name], false)
		return
	}
	for n := range g.now {
		g.set(n, g.initial[n], false)
	}
}

// endTransaction keeps or takes back what the transaction changed.
func (g *settings) endTransaction(keep bool) {
	for name, value := range g.before {
		if !keep || g.local[name] {
			g.change(name, value)
		}
	}
	g.before, g.local = nil, nil
}

// takeReports returns the changes that the client has not been told.
func (g *settings) takeReports() []setting {
	out := g.changes
	g.changes = nil
	return out
}
