package publish

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"hemlockmast/api/service"
)

// Action is the kind of change to a group or service.
type Action string

// The values of Action.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// Kinds of configuration entries.
const (
	KindGroup   = "group"
	KindService = "service"
)

// Difference is one entry that differs between two configurations.
type Difference struct {
	Action Action `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	// Fields is empty unless both configurations have the entry.
	Fields []FieldDifference `json:"fields,omitempty"`
}

// FieldDifference is one field that differs, with both values as text.
type FieldDifference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// named is an entry of a configuration: a group or a service, or a slot of a
// group.
type named interface {
	proto.Message
	GetName() string
}

// Diff returns the differences between two configurations, groups before services
// and each sorted by name.
func Diff(from, to *service.Configuration) []Difference {
	groups := diffEntries(KindGroup, from.GetGroups(), to.GetGroups())
	services := diffEntries(KindService, from.GetServices(), to.GetServices())
	return append(groups, services...)
}

func diffEntries[T named](kind string, from, to []T) []Difference {
	old, current := byName(from), byName(to)
	var out []Difference
	for name := range old {
		if _, ok := current[name]; !ok {
			out = append(out, Difference{Action: ActionRemove, Kind: kind, Name: name})
		}
	}
	for name, entry := range current {
		before, ok := old[name]
		if !ok {
			out = append(out, Difference{Action: ActionAdd, Kind: kind, Name: name})
			continue
		}
		if fields := diffFields(before, entry); len(fields) > 0 {
			out = append(out, Difference{Action: ActionChange, Kind: kind, Name: name, Fields: fields})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func byName[T named](entries []T) map[string]T {
	out := make(map[string]T, len(entries))
	for _, entry := range entries {
		out[entry.GetName()] = entry
	}
	return out
}

func diffFields(from, to proto.Message) []FieldDifference {
	var out []FieldDifference
	a, b := from.ProtoReflect(), to.ProtoReflect()
	fields := a.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		before, after := fieldText(a, fd), fieldText(b, fd)
		if before != after {
			out = append(out, FieldDifference{Field: string(fd.Name()), From: before, To: after})
		}
	}
	return out
}

// fieldText returns the value of a field much as a configuration file writes it.
func fieldText(m protoreflect.Message, fd protoreflect.FieldDescriptor) string {
	if !m.Has(fd) && fd.HasPresence() {
		return "unset"
	}
	value := m.Get(fd)
	if !fd.IsList() {
		return valueText(fd, value)
	}
	list := value.List()
	parts := make([]string, list.Len())
	for i := range parts {
		parts[i] = valueText(fd, list.Get(i))
	}
	return strings.Join(parts, " ")
}

func valueText(fd protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch fd.Kind() {
	case protoreflect.EnumKind:
		return enumText(fd.Enum(), value.Enum())
	case protoreflect.MessageKind:
		return messageText(value.Message().Interface())
	}
	return value.String()
}

// enumText returns the name of an enum value as configuration files write it. For
// example, READ_LEVEL_MAX_AGE of ReadLevel becomes max_age.
func enumText(desc protoreflect.EnumDescriptor, number protoreflect.EnumNumber) string {
	value := desc.Values().ByNumber(number)
	zero := desc.Values().ByNumber(0)
	if value == nil || zero == nil {
		return strconv.Itoa(int(number))
	}
	prefix := strings.TrimSuffix(string(zero.Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}

func messageText(m proto.Message) string {
	if d, ok := m.(*durationpb.Duration); ok {
		return d.AsDuration().String()
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Sprint(m)
	}
	// The white space of protojson output is not stable.
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return string(data)
	}
	return compact.String()
}
