package standin

import (
	"maps"
	"slices"
	"strings"
)

// setting is the name and value of one session setting.
type setting struct{ name, value string }

// reportedSettings lists the settings whose values the client receives in
// ParameterStatus messages, in the protocol's spelling.
var reportedSettings = []string{"application_name", "client_encoding", "DateStyle", "default_transaction_read_only",
	"integer_datetimes", "IntervalStyle", "is_superuser", "server_encoding", "server_version",
	"session_authorization", "standard_conforming_strings", "TimeZone"}

// defaultSettings holds the values of a session's settings, by name in lower
// case.
var defaultSettings = map[string]string{
	"application_name": "", "client_encoding": "UTF8", "datestyle": "ISO, MDY",
	"default_transaction_read_only": "off", "integer_datetimes": "on", "intervalstyle": "postgres",
	"is_superuser": "off", "server_encoding": "UTF8", "server_version": "16.0",
	"session_authorization": "", "standard_conforming_strings": "on", "timezone": "UTC",
	"statement_timeout": "0", "search_path": "\"$user\", public", "lock_timeout": "0",
	"transaction_isolation": "read committed", "extra_float_digits": "1", "work_mem": "4MB",
	"idle_in_transaction_session_timeout": "0", "bytea_output": "hex", "default_transaction_isolation": "read committed",
}

// settings are a session's settings: their current values, those at the start of
// the connection, and those that a transaction restores at its end.
type settings struct {
	current, initial map[string]string
	// saved holds the earlier values of the settings that the transaction
	// changed. It is nil if there are none.
	saved map[string]string
	// local names the settings that are restored at commit too.
	local map[string]bool
	// unreported are the changes that the client has not received yet.
	unreported []setting
}

// start sets the values from the parameters of the start-up message.
func (g *settings) start(params map[string]string) {
	g.initial = maps.Clone(defaultSettings)
	g.initial["session_authorization"] = params["user"]
	for name, value := range params {
		switch name {
		case "user", "database", "replication", "options", paramReplica:
		default:
			g.initial[strings.ToLower(name)] = value
		}
	}
	g.current = maps.Clone(g.initial)
}

// reportedValues returns the reported settings.
func (g *settings) reportedValues() []setting {
	var out []setting
	for _, name := range reportedSettings {
		out = append(out, setting{name, g.current[strings.ToLower(name)]})
	}
	return out
}

// get returns the value of a setting and whether it exists. A name with a dot
// exists after it was set.
func (g *settings) get(name string) (string, bool) {
	v, ok := g.current[strings.ToLower(name)]
	return v, ok
}

// canSet reports whether the setting can be set.
func (g *settings) canSet(name string) bool {
	_, ok := g.current[name]
	return ok || strings.Contains(name, ".")
}

// set changes a setting and remembers its earlier value until the transaction
// ends.
func (g *settings) set(name, value string, local bool) {
	name = strings.ToLower(name)
	if g.saved == nil {
		g.saved, g.local = map[string]string{}, map[string]bool{}
	}
	if _, ok := g.saved[name]; !ok {
		g.saved[name] = g.current[name]
	}
	g.local[name] = local
	g.assign(name, value)
}

func (g *settings) assign(name, value string) {
	if old, ok := g.current[name]; ok && old == value {
		return
	}
	g.current[name] = value
	i := slices.IndexFunc(reportedSettings, func(r string) bool { return strings.EqualFold(r, name) })
	if i >= 0 {
		g.unreported = append(g.unreported, setting{reportedSettings[i], value})
	}
}

// reset restores the initial value of one setting, or of all if name is empty.
func (g *settings) reset(name string) {
	if name != "" {
		g.set(name, g.initial[name], false)
		return
	}
	for n := range g.current {
		g.set(n, g.initial[n], false)
	}
}

// endTransaction keeps the transaction's changes, except local ones, or restores
// the earlier values.
func (g *settings) endTransaction(keep bool) {
	for name, value := range g.saved {
		if !keep || g.local[name] {
			g.assign(name, value)
		}
	}
	g.saved, g.local = nil, nil
}

// takeUnreported returns the changes that the client has not received, and clears
// the list.
func (g *settings) takeUnreported() []setting {
	out := g.unreported
	g.unreported = nil
	return out
}
