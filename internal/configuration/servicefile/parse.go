package servicefile

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"hemlockmast/api/service"
)

// maxFileBytes bounds one file.
const maxFileBytes = 1 << 20

// defaultPriority is the priority of a service whose file states none.
const defaultPriority = 5

// File is a parsed file. Exactly one of Service and Group is set, unless the
// file has problems.
type File struct {
	// Name is the file's name as it was given to Parse.
	Name    string
	Service *service.Service
	Group   *service.Group

	source source
}

// required lists the fields that must be present, by message.
var required = map[string][]string{
	"service": {
		"name", "group", "databases", "users", "deadline", "concurrency",
		"queue_length", "repeatable", "connections",
	},
	"connections": {"min", "max"},
	"group":       {"name", "databases", "slots"},
	"slot":        {"name", "failure_domain", "connection_limit"},
}

// Parse reads one file. The text must hold each required field, no unknown
// field and no field twice. Values are checked by Check. On problems the
// returned File serves only to be passed on to Check.
func Parse(name string, data []byte) (*File, Problems) {
	file := &File{Name: name, source: source{file: name}}
	if len(data) > maxFileBytes {
		return file, Problems{file.source.problem(KindTooLarge, "",
			fmt.Sprintf("file has %d bytes", len(data)),
			fmt.Sprintf("keep it under %d bytes", maxFileBytes))}
	}
	w := newWalker(name, data)
	problems := w.walk((&service.File{}).ProtoReflect().Descriptor())
	file.source = w.source
	if len(problems) > 0 {
		return file, problems
	}
	var text service.File
	if err := protojson.Unmarshal(data, &text); err != nil {
		w.syntax(err)
		return file, w.problems
	}
	c := converter{source: &file.source}
	c.convert(file, &text)
	return file, c.problems
}

// converter turns the text forms of a file into those of the configuration.
type converter struct {
	source   *source
	problems Problems
}

func (c *converter) add(kind Kind, field, detail, fix string) {
	c.problems = append(c.problems, c.source.problem(kind, field, detail, fix))
}

func (c *converter) convert(file *File, text *service.File) {
	switch {
	case text.Service != nil && text.Group != nil:
		c.add(KindBadValue, "group", "file holds a service and a group", "write two files")
	case text.Service != nil:
		c.requireService(text.Service)
		svc := c.service(text.Service)
		if len(c.problems) == 0 {
			file.Service = svc
		}
	case text.Group != nil:
		c.requireGroup(text.Group)
		if len(c.problems) == 0 {
			file.Group = convertGroup(text.Group)
		}
	default:
		c.add(KindMissingField, "", "neither \"service\" nor \"group\" is present",
			"write an object with one of these two fields")
	}
}

func (c *converter) requireService(text *service.ServiceFile) {
	c.require("service", "service")
	if text.Connections != nil {
		c.require("service.connections", "connections")
	}
}

func (c *converter) requireGroup(text *service.GroupFile) {
	c.require("group", "group")
	for i := range text.Slots {
		c.require(fmt.Sprintf("group.slots[%d]", i), "slot")
	}
}

func (c *converter) require(path, message string) {
	for _, name := range required[message] {
		field := path + "." + name
		if _, ok := c.source.lines[field]; !ok {
			c.add(KindMissingField, field, "required field is missing", "add \""+name+"\"")
		}
	}
}

func (c *converter) service(text *service.ServiceFile) *service.Service {
	priority := uint32(defaultPriority)
	if text.Priority != nil {
		priority = text.GetPriority()
	}
	return &service.Service{
		Name:           text.Name,
		Group:          text.Group,
		Databases:      text.Databases,
		Users:          text.Users,
		ReadLevel:      c.readLevel(text.ReadLevel),
		MaxAge:         c.duration("service.max_age", text.MaxAge),
		ReadPreference: c.readPreference(text.ReadPreference),
		Deadline:       c.duration("service.deadline", text.Deadline),
		Priority:       priority,
		Concurrency:    text.Concurrency,
		QueueLength:    text.GetQueueLength(),
		Repeatable:     text.GetRepeatable(),
		Connections:    text.Connections,
		DefaultAccess:  c.access(text.DefaultAccess),
	}
}

// duration reads text with a unit; absent fields give nil.
func (c *converter) duration(field, text string) *durationpb.Duration {
	if _, ok := c.source.lines[field]; !ok {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		c.add(KindWrongUnit, field, fmt.Sprintf("%q is not a duration with a unit", text),
			"write a number with ms, s, m or h, such as \"250ms\"")
		return nil
	}
	return durationpb.New(d)
}

func (c *converter) readLevel(text string) service.ReadLevel {
	switch text {
	case "", "session":
		return service.ReadLevel_READ_LEVEL_SESSION
	case "max_age":
		return service.ReadLevel_READ_LEVEL_MAX_AGE
	case "primary":
		return service.ReadLevel_READ_LEVEL_PRIMARY
	}
	c.badWord("service.read_level", text, "\"session\", \"max_age\" or \"primary\"")
	return 0
}

func (c *converter) readPreference(text string) service.ReadPreference {
	switch text {
	case "", "replicas":
		return service.ReadPreference_READ_PREFERENCE_REPLICAS
	case "latency":
		return service.ReadPreference_READ_PREFERENCE_LATENCY
	}
	c.badWord("service.read_preference", text, "\"replicas\" or \"latency\"")
	return 0
}

func (c *converter) access(text string) service.AccessMode {
	switch text {
	case "", "read_write":
		return service.AccessMode_ACCESS_MODE_READ_WRITE
	case "read_only":
		return service.AccessMode_ACCESS_MODE_READ_ONLY
	}
	c.badWord("service.default_access", text, "\"read_write\" or \"read_only\"")
	return 0
}

func (c *converter) badWord(field, text, want string) {
	c.add(KindBadValue, field, fmt.Sprintf("unknown word %q", text), "write "+want)
}

func convertGroup(text *service.GroupFile) *service.Group {
	group := &service.Group{Name: text.Name, Databases: text.Databases}
	for _, slot := range text.Slots {
		group.Slots = append(group.Slots, &service.Slot{
			Name:            slot.Name,
			FailureDomain:   slot.FailureDomain,
			ConnectionLimit: slot.ConnectionLimit,
		})
	}
	return group
}
