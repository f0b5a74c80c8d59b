package servicefile

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"hemlockmast/api/service"
)

// maxFileBytes is the largest size of a file.
const maxFileBytes = 1 << 20

// defaultPriority is the priority of a service whose file does not set one.
const defaultPriority = 5

// File is a parsed file. Exactly one of Service and Group is set, unless the
// file has problems.
type File struct {
	// Name is the file name that was passed to Parse.
	Name    string
	Service *service.Service
	Group   *service.Group

	source source
}

// requiredFields lists the fields that must be present, by message.
var requiredFields = map[string][]string{
	"service": {
		"name", "group", "databases", "users", "deadline", "concurrency",
		"queue_length", "repeatable", "connections",
	},
	"connections": {"min", "max"},
	"group":       {"name", "databases", "slots"},
	"slot":        {"name", "failure_domain", "connection_limit"},
}

// Parse parses one file. It reports missing required fields, unknown fields and
// duplicate fields. Check checks the values. When there are problems, the
// returned File is only good for passing it on to Check.
func Parse(name string, data []byte) (*File, Problems) {
	file := &File{Name: name, source: source{file: name}}
	if len(data) > maxFileBytes {
		return file, Problems{file.source.problem(KindTooLarge, "",
			fmt.Sprintf("file has %d bytes", len(data)),
			fmt.Sprintf("keep it under %d bytes", maxFileBytes))}
	}
	w := newWalker(name, data)
	problems := w.check((&service.File{}).ProtoReflect().Descriptor())
	file.source = w.source
	if len(problems) > 0 {
		return file, problems
	}
	var input service.File
	if err := protojson.Unmarshal(data, &input); err != nil {
		w.addSyntaxError(err)
		return file, w.problems
	}
	c := converter{source: &file.source}
	c.convert(file, &input)
	return file, c.problems
}

// converter converts the messages of a file to those of the configuration.
type converter struct {
	source   *source
	problems Problems
}

func (c *converter) add(kind Kind, field, detail, fix string) {
	c.problems = append(c.problems, c.source.problem(kind, field, detail, fix))
}

func (c *converter) convert(file *File, input *service.File) {
	switch {
	case input.Service != nil && input.Group != nil:
		c.add(KindBadValue, "group", "file holds a service and a group", "write two files")
	case input.Service != nil:
		c.requireService(input.Service)
		svc := c.service(input.Service)
		if len(c.problems) == 0 {
			file.Service = svc
		}
	case input.Group != nil:
		c.requireGroup(input.Group)
		if len(c.problems) == 0 {
			file.Group = convertGroup(input.Group)
		}
	default:
		c.add(KindMissingField, "", "neither \"service\" nor \"group\" is present",
			"write an object with one of these two fields")
	}
}

func (c *converter) requireService(input *service.ServiceFile) {
	c.require("service", "service")
	if input.Connections != nil {
		c.require("service.connections", "connections")
	}
}

func (c *converter) requireGroup(input *service.GroupFile) {
	c.require("group", "group")
	for i := range input.Slots {
		c.require(fmt.Sprintf("group.slots[%d]", i), "slot")
	}
}

// require records each required field of the message at path that is absent.
func (c *converter) require(path, message string) {
	for _, name := range requiredFields[message] {
		field := path + "." + name
		if _, ok := c.source.lines[field]; !ok {
			c.add(KindMissingField, field, "required field is missing", "add \""+name+"\"")
		}
	}
}

func (c *converter) service(input *service.ServiceFile) *service.Service {
	priority := uint32(defaultPriority)
	if input.Priority != nil {
		priority = input.GetPriority()
	}
	return &service.Service{
		Name:           input.Name,
		Group:          input.Group,
		Databases:      input.Databases,
		Users:          input.Users,
		ReadLevel:      c.readLevel(input.ReadLevel),
		MaxAge:         c.duration("service.max_age", input.MaxAge),
		ReadPreference: c.readPreference(input.ReadPreference),
		Deadline:       c.duration("service.deadline", input.Deadline),
		Priority:       priority,
		Concurrency:    input.Concurrency,
		QueueLength:    input.GetQueueLength(),
		Repeatable:     input.GetRepeatable(),
		Connections:    input.Connections,
		DefaultAccess:  c.accessMode(input.DefaultAccess),
	}
}

// duration parses a duration with a unit. It returns nil for a field that is
// absent.
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
	c.unknownWord("service.read_level", text, "\"session\", \"max_age\" or \"primary\"")
	return 0
}

func (c *converter) readPreference(text string) service.ReadPreference {
	switch text {
	case "", "replicas":
		return service.ReadPreference_READ_PREFERENCE_REPLICAS
	case "latency":
		return service.ReadPreference_READ_PREFERENCE_LATENCY
	}
	c.unknownWord("service.read_preference", text, "\"replicas\" or \"latency\"")
	return 0
}

func (c *converter) accessMode(text string) service.AccessMode {
	switch text {
	case "", "read_write":
		return service.AccessMode_ACCESS_MODE_READ_WRITE
	case "read_only":
		return service.AccessMode_ACCESS_MODE_READ_ONLY
	}
	c.unknownWord("service.default_access", text, "\"read_write\" or \"read_only\"")
	return 0
}

func (c *converter) unknownWord(field, text, allowed string) {
	c.add(KindBadValue, field, fmt.Sprintf("unknown word %q", text), "write "+allowed)
}

func convertGroup(input *service.GroupFile) *service.Group {
	group := &service.Group{Name: input.Name, Databases: input.Databases}
	for _, slot := range input.Slots {
		group.Slots = append(group.Slots, &service.Slot{
			Name:            slot.Name,
			FailureDomain:   slot.FailureDomain,
			ConnectionLimit: slot.ConnectionLimit,
		})
	}
	return group
}
