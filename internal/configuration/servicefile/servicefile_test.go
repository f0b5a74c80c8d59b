package servicefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"hemlockmast/api/service"
)

const groupText = `{"group": {"name": "g", "databases": ["d", "e"], "slots": [
{"name": "s1", "failure_domain": "fd-a", "connection_limit": 20},
{"name": "s2", "failure_domain": "fd-b", "connection_limit": 10}]}}`

const serviceText = `{"service": {
"name": "a", "group": "g", "databases": ["d"],
"users": ["u"],
"read_level": "max_age",
"max_age": "2s",
"deadline": "250ms",
"concurrency": 8,
"queue_length": 0,
"repeatable": false,
"connections": {
"min": 2,
"max": 10}}}`

// check parses the texts as files f0, f1 and so on and checks them together.
func check(texts ...string) (*service.Configuration, Problems) {
	var files []*File
	var problems Problems
	for i, text := range texts {
		file, found := Parse(fmt.Sprintf("f%d", i), []byte(text))
		files = append(files, file)
		problems = append(problems, found...)
	}
	cfg, found := Check(files)
	return cfg, append(problems, found...)
}

func TestGoodFiles(t *testing.T) {
	cfg, problems := check(serviceText, groupText)
	assert.NilError(t, problems.Err())
	assert.NilError(t, Validate(cfg).Err())
	svc := cfg.Services[0]
	assert.Equal(t, svc.Deadline.AsDuration(), 250*time.Millisecond)
	assert.Equal(t, svc.MaxAge.AsDuration(), 2*time.Second)
	assert.Equal(t, svc.ReadLevel, service.ReadLevel_READ_LEVEL_MAX_AGE)
	assert.Equal(t, svc.ReadPreference, service.ReadPreference_READ_PREFERENCE_REPLICAS)
	assert.Equal(t, svc.DefaultAccess, service.AccessMode_ACCESS_MODE_READ_WRITE)
	assert.Equal(t, svc.Priority, uint32(defaultPriority))
	assert.Equal(t, cfg.Groups[0].Slots[1].ConnectionLimit, uint32(10))
}

// TestMistakes replaces text in a valid pair of files by one mistake. Its problem
// must have the right kind, file, line and field.
func TestMistakes(t *testing.T) {
	cases := []struct {
		name, old, new string
		kind           Kind
		file           string
		line           int
		field          string
	}{
		{"unknown field", `"users"`, `"user"`, KindUnknownField, "f0", 3, "service.user"},
		{"unknown nested", `"min": 2`, `"least": 2, "min": 2`, KindUnknownField, "f0", 11, "service.connections.least"},
		{"camel case", `"queue_length"`, `"queueLength"`, KindUnknownField, "f0", 8, "service.queueLength"},
		{"missing field", "\"repeatable\": false,\n", "", KindMissingField, "f0", 1, "service.repeatable"},
		{"missing nested", "\"min\": 2,\n", "", KindMissingField, "f0", 10, "service.connections.min"},
		{"missing in slot", `, "connection_limit": 20`, "", KindMissingField, "f1", 2, "group.slots[0].connection_limit"},
		{"field twice", `"concurrency": 8,`, `"concurrency": 8, "concurrency": 9,`, KindDuplicateField, "f0", 7, "service.concurrency"},
		{"number without unit", `"250ms"`, `250`, KindWrongType, "f0", 6, "service.deadline"},
		{"text without unit", `"250ms"`, `"250"`, KindWrongUnit, "f0", 6, "service.deadline"},
		{"unknown unit", `"2s"`, `"2sec"`, KindWrongUnit, "f0", 5, "service.max_age"},
		{"empty duration", `"2s"`, `""`, KindWrongUnit, "f0", 5, "service.max_age"},
		{"negative duration", `"250ms"`, `"-1s"`, KindOutOfRange, "f0", 6, "service.deadline"},
		{"too long", `"250ms"`, `"11m"`, KindOutOfRange, "f0", 6, "service.deadline"},
		{"text for number", `"concurrency": 8`, `"concurrency": "8"`, KindWrongType, "f0", 7, "service.concurrency"},
		{"fraction", `"concurrency": 8`, `"concurrency": 8.5`, KindWrongType, "f0", 7, "service.concurrency"},
		{"negative", `"concurrency": 8`, `"concurrency": -8`, KindWrongType, "f0", 7, "service.concurrency"},
		{"zero", `"concurrency": 8`, `"concurrency": 0`, KindOutOfRange, "f0", 7, "service.concurrency"},
		{"null", `"concurrency": 8`, `"concurrency": null`, KindWrongType, "f0", 7, "service.concurrency"},
		{"text for boolean", `false`, `"no"`, KindWrongType, "f0", 9, "service.repeatable"},
		{"list for text", `"a"`, `["a", {"x": []}]`, KindWrongType, "f0", 2, "service.name"},
		{"text for list", `["u"]`, `"u"`, KindWrongType, "f0", 3, "service.users"},
		{"empty list", `["u"]`, `[]`, KindOutOfRange, "f0", 3, "service.users"},
		{"unknown word", `"max_age",`, `"newest",`, KindBadValue, "f0", 4, "service.read_level"},
		{"level without age", "\"max_age\": \"2s\",\n", "", KindMissingField, "f0", 1, "service.max_age"},
		{"primary read level with an age", `"max_age",`, `"primary",`, KindBadValue, "f0", 5, "service.max_age"},
		{"invalid name", `"name": "a"`, `"name": "a b"`, KindBadValue, "f0", 2, "service.name"},
		{"min above max", `"min": 2`, `"min": 11`, KindOutOfRange, "f0", 11, "service.connections.min"},
		{"max above slot", `"max": 10`, `"max": 11`, KindOverCommitted, "f0", 12, "service.connections.max"},
		{"no such group", `"group": "g"`, `"group": "h"`, KindUnknownReference, "f0", 2, "service.group"},
		{"no such database", `"databases": ["d"]`, `"databases": ["x"]`, KindUnknownReference, "f0", 2, "service.databases[0]"},
		{"database twice", `["d", "e"]`, `["d", "d"]`, KindDuplicateName, "f1", 1, "group.databases[1]"},
		{"slot twice", `"s2"`, `"s1"`, KindDuplicateName, "f1", 3, "group.slots[1].name"},
		{"zero connection limit", `"connection_limit": 20`, `"connection_limit": 0`, KindOutOfRange, "f1", 2, "group.slots[0].connection_limit"},
		{"service and group", `{"group"`, `{"service": {}, "group"`, KindBadValue, "f1", 1, "group"},
		{"neither service nor group", serviceText, `{}`, KindMissingField, "f0", 1, ""},
		{"empty file", serviceText, ``, KindSyntax, "f0", 1, ""},
		{"truncated file", `"max": 10}}}`, `"max": 10`, KindSyntax, "f0", 12, ""},
		{"missing comma", `"deadline": "250ms",`, `"deadline": "250ms"`, KindSyntax, "f0", 7, ""},
		{"text after the object", `"max": 10}}}`, `"max": 10}}} {}`, KindSyntax, "f0", 12, ""},
		{"not UTF-8", `"name": "a"`, "\"name\": \"\xff\"", KindSyntax, "f0", 2, ""},
		{"too large", serviceText, strings.Repeat(" ", maxFileBytes+1), KindTooLarge, "f0", 1, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			texts := []string{serviceText, groupText}
			at := 0
			if tc.file == "f1" {
				at = 1
			}
			assert.Assert(t, strings.Contains(texts[at], tc.old), "text to replace not found")
			texts[at] = strings.Replace(texts[at], tc.old, tc.new, 1)
			_, problems := check(texts...)
			for _, p := range problems {
				if p.Kind == tc.kind && p.File == tc.file && p.Line == tc.line && p.Field == tc.field {
					assert.Assert(t, p.Fix != "" && p.Detail != "")
					return
				}
			}
			t.Fatalf("no %s at %s:%d %s in:\n%v", tc.kind, tc.file, tc.line, tc.field, problems)
		})
	}
}

func TestMistakesAcrossFiles(t *testing.T) {
	second := func(changes ...string) string { return strings.NewReplacer(changes...).Replace(serviceText) }
	cases := []struct {
		name, text string
		kind       Kind
		field      string
	}{
		{"service name", second(`"u"`, `"v"`), KindDuplicateName, "service.name"},
		{"group name", groupText, KindDuplicateName, "group.name"},
		{"login", second(`"a"`, `"b"`), KindAmbiguous, "service.users[0]"},
		{"minima", second(`"a"`, `"b"`, `"u"`, `"v"`, `"min": 2`, `"min": 9`), KindOverCommitted, "service.connections.min"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := check(serviceText, groupText, tc.text)
			assert.Equal(t, len(problems), 1, "%v", problems)
			assert.Equal(t, problems[0].Kind, tc.kind)
			assert.Equal(t, problems[0].Field, tc.field)
		})
	}
}

// TestSeveralMistakes checks that one run reports the mistakes of all files, and
// that a damaged group file does not cause an unknown reference in its service.
func TestSeveralMistakes(t *testing.T) {
	_, problems := check(
		strings.NewReplacer(`"users"`, `"user"`, `"250ms"`, `250`).Replace(serviceText),
		groupText[:40])
	kinds := make(map[Kind]int)
	for _, p := range problems {
		kinds[p.Kind]++
	}
	assert.DeepEqual(t, kinds, map[Kind]int{KindUnknownField: 1, KindWrongType: 1, KindSyntax: 1})
}

func TestValidateRefusesUnsorted(t *testing.T) {
	cfg, problems := check(serviceText, groupText)
	assert.NilError(t, problems.Err())
	other := proto.Clone(cfg.Groups[0]).(*service.Group)
	other.Name = "a"
	cfg.Groups = append(cfg.Groups, other)
	assert.Equal(t, Validate(cfg)[0].Kind, KindBadValue)
}

func TestLoadReportsUnusableFolders(t *testing.T) {
	dir := t.TempDir()
	_, problems := Load(dir)
	assert.Equal(t, problems[0].Kind, KindMissingField)
	_, problems = Load(filepath.Join(dir, "absent"))
	assert.Equal(t, problems[0].Kind, KindUnreadable)
	assert.NilError(t, os.Symlink(filepath.Join(dir, "absent"), filepath.Join(dir, "x"+Suffix)))
	_, problems = Load(dir)
	assert.Equal(t, problems[0].Kind, KindUnreadable)
}

// TestExamples checks that the two example folders are valid, and their sizes.
func TestExamples(t *testing.T) {
	for folder, limit := range map[string]uint32{"eisgrund": 20, "sankofa": 45} {
		t.Run(folder, func(t *testing.T) {
			cfg, problems := Load(filepath.Join("..", "..", "..", "examples", folder))
			assert.NilError(t, problems.Err())
			assert.Equal(t, len(cfg.Groups), 3)
			assert.Equal(t, len(cfg.Services), 9)
			domains := make(map[string]bool)
			for _, group := range cfg.Groups {
				assert.Equal(t, len(group.Databases), 3)
				assert.Equal(t, len(group.Slots), 3)
				for _, slot := range group.Slots {
					assert.Equal(t, slot.ConnectionLimit, limit)
					domains[slot.FailureDomain] = true
				}
			}
			assert.Equal(t, len(domains), 4)
		})
	}
}

// FuzzParse parses arbitrary text. Text without a problem must give exactly one
// of service and group. Each problem must have a line, a detail and a fix.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{serviceText, groupText, "", "{}", "[", `{"service": {"users": [null, {}]}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, problems := Parse("f", data)
		assert.Equal(t, len(problems) == 0, (file.Service != nil) != (file.Group != nil))
		for _, p := range problems {
			assert.Assert(t, p.Line >= 1 && p.Detail != "" && p.Fix != "", "%v", p)
		}
	})
}
