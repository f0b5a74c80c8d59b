package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `{
  "name": "e1", "failure_domain": "a", "roles": ["entry", "holder"],
  "listen": {"callers": "127.0.0.1:6432", "link": "127.0.0.1:6433",
    "admin": "127.0.0.1:6434", "heartbeat": "127.0.0.1:6435"}
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("s.json", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.DrainTimeout, 30*time.Second)
	assert.Equal(t, s.HoldersPerSlot, 2)
	assert.Assert(t, s.HasRole(RoleHolder) && !s.HasRole(RoleControl))
}

func TestParseRefusesMistakes(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", `"name"`, `"nmae": "x", "name"`, `unknown field "nmae"`},
		{"no JSON", `{`, ``, "syntax error"},
		{"missing name", `"name": "e1",`, ``, "name: is missing"},
		{"bad name", `"e1"`, `"e 1"`, "is no name"},
		{"unknown role", `"holder"`, `"holdr"`, `roles[1]: "holdr" is no role`},
		{"role twice", `"holder"`, `"entry"`, "stands twice"},
		{"control without disk", `"holder"`, `"control"`, "data_folder: is missing"},
		{"clashing addresses", `127.0.0.1:6433`, `127.0.0.1:6432`, "listen.link: 127.0.0.1:6432 is the address of listen.callers too"},
		{"host name", `127.0.0.1:6433`, `localhost:6433`, "is no address"},
		{"no callers", `"callers": "127.0.0.1:6432", `, ``, "listen.callers: is missing"},
		{"wrong unit", `"name"`, `"limits": {"drain_timeout": "30"}, "name"`, `limits.drain_timeout: "30" is no duration`},
		{"too many holders", `"name"`, `"limits": {"holders_per_slot": 4}, "name"`, "4 is too many"},
		{"log level", `"name"`, `"log": {"level": "loud"}, "name"`, "is no level"},
		{"self as peer", `"name"`, `"peers": [{"name": "e1", "failure_domain": "a", "link": "127.0.0.1:1", "admin": "127.0.0.1:2", "heartbeat": "127.0.0.1:3"}], "name"`, "list each other daemon once"},
		{"no token key off loopback", `127.0.0.1:6433`, `10.0.0.1:6433`, "security.token_key_file: is missing"},
		{"token key unreadable", `"name"`, `"security": {"token_key_file": "/nonexistent"}, "name"`, "no such file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(valid, tc.old, tc.new, 1)
			assert.Assert(t, text != valid)
			_, err := Parse("s.json", []byte(text))
			assert.ErrorContains(t, err, tc.want)
			assert.ErrorContains(t, err, "s.json")
		})
	}
}
