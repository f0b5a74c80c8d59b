package servicefile

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// source locates the fields of one file.
type source struct {
	file string
	// lines holds the line of each field, by path.
	lines map[string]int
}

// line returns the line of the field, or that of its nearest parent present.
func (s *source) line(field string) int {
	for field != "" {
		if n, ok := s.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

// problem returns a Problem at the field.
func (s *source) problem(kind Kind, field, detail, fix string) *Problem {
	return &Problem{
		Kind: kind, File: s.file, Line: s.line(field),
		Field: field, Detail: detail, Fix: fix,
	}
}

// walker compares JSON text with a message's descriptor, token by token. It
// goes on after a misplaced field so that one run shows all of them.
type walker struct {
	source
	data     []byte
	dec      *json.Decoder
	problems Problems
}

func newWalker(file string, data []byte) *walker {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &walker{
		source: source{file: file, lines: make(map[string]int)},
		data:   data,
		dec:    dec,
	}
}

// walk checks the whole text against desc.
func (w *walker) walk(desc protoreflect.MessageDescriptor) Problems {
	if i := invalidUTF8(w.data); i >= 0 {
		w.add(KindSyntax, "", "not UTF-8 text", "save the file as UTF-8")
		w.problems[0].Line = w.lineAt(i)
		return w.problems
	}
	err := w.value("", func(tok json.Token) error { return w.object("", desc, tok) })
	if err == nil {
		err = w.end()
	}
	if err != nil {
		w.syntax(err)
	}
	return w.problems
}

// invalidUTF8 returns the offset of the first byte that is not UTF-8, or -1.
func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// end reports text that follows the object.
func (w *walker) end() error {
	_, err := w.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return cmp.Or[error](err, &trailingTextError{})
}

// trailingTextError reports text after the file's object.
type trailingTextError struct{}

func (*trailingTextError) Error() string { return "text after the end of the object" }

func (w *walker) syntax(err error) {
	offset := int(w.dec.InputOffset())
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = int(syntaxErr.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.ErrUnexpectedEOF
		offset = len(w.data)
	}
	w.problems = append(w.problems, &Problem{
		Kind: KindSyntax, File: w.file, Line: w.lineAt(offset),
		Detail: "not a JSON object: " + err.Error(),
		Fix:    "write one JSON object with the field \"service\" or \"group\"",
	})
}

func (w *walker) lineAt(offset int) int {
	offset = min(offset, len(w.data))
	return 1 + bytes.Count(w.data[:offset], []byte("\n"))
}

func (w *walker) add(kind Kind, field, detail, fix string) {
	w.problems = append(w.problems, w.problem(kind, field, detail, fix))
}

// value reads the first token of a value and hands it on.
func (w *walker) value(path string, use func(json.Token) error) error {
	tok, err := w.dec.Token()
	if err != nil {
		return err
	}
	w.lines[path] = w.lineAt(int(w.dec.InputOffset()))
	return use(tok)
}

func (w *walker) object(path string, desc protoreflect.MessageDescriptor, tok json.Token) error {
	if tok != json.Delim('{') {
		return w.wrongType(path, tok, "an object in braces")
	}
	for w.dec.More() {
		key, err := w.dec.Token()
		if err != nil {
			return err
		}
		if err := w.field(path, desc, key.(string)); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) field(path string, desc protoreflect.MessageDescriptor, key string) error {
	field := join(path, key)
	fd := desc.Fields().ByName(protoreflect.Name(key))
	line := w.lineAt(int(w.dec.InputOffset()))
	if fd == nil {
		w.lines[field] = line
		w.add(KindUnknownField, field, fmt.Sprintf("unknown field %q", key), knownFields(desc))
		return w.dec.Decode(&json.RawMessage{})
	}
	if first, ok := w.lines[field]; ok {
		w.add(KindDuplicateField, field,
			fmt.Sprintf("field is given twice, at lines %d and %d", first, line), "keep one")
		return w.dec.Decode(&json.RawMessage{})
	}
	return w.value(field, func(tok json.Token) error {
		if fd.IsList() {
			return w.list(field, fd, tok)
		}
		return w.single(field, fd, tok)
	})
}

func (w *walker) list(path string, fd protoreflect.FieldDescriptor, tok json.Token) error {
	if tok != json.Delim('[') {
		return w.wrongType(path, tok, "a list in square brackets")
	}
	for i := 0; w.dec.More(); i++ {
		item := fmt.Sprintf("%s[%d]", path, i)
		err := w.value(item, func(tok json.Token) error { return w.single(item, fd, tok) })
		if err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) single(path string, fd protoreflect.FieldDescriptor, tok json.Token) error {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		return w.object(path, fd.Message(), tok)
	case protoreflect.BoolKind:
		if _, ok := tok.(bool); !ok {
			return w.wrongType(path, tok, "true or false")
		}
	case protoreflect.Uint32Kind:
		number, ok := tok.(json.Number)
		if !ok {
			return w.wrongType(path, tok, "a whole number without quotes")
		}
		if _, err := strconv.ParseUint(number.String(), 10, 32); err != nil {
			return w.wrongType(path, tok, "a whole number from 0 to 4294967295")
		}
	default:
		if _, ok := tok.(string); !ok {
			return w.wrongType(path, tok, textForm(fd.Name()))
		}
	}
	return nil
}

// wrongType records the mistake and skips the rest of the value.
func (w *walker) wrongType(path string, tok json.Token, want string) error {
	w.add(KindWrongType, path, "is "+describe(tok), "write "+want)
	if tok != json.Delim('{') && tok != json.Delim('[') {
		return nil
	}
	for depth := 1; depth > 0; {
		tok, err := w.dec.Token()
		if err != nil {
			return err
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func describe(tok json.Token) string {
	switch v := tok.(type) {
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	case json.Number:
		return "the number " + v.String()
	case string:
		return fmt.Sprintf("the text %q", v)
	case bool:
		return fmt.Sprintf("the value %t", v)
	}
	return "null"
}

func textForm(name protoreflect.Name) string {
	if name == "deadline" || name == "max_age" {
		return "a text with a unit, such as \"250ms\""
	}
	return "a text in quotes"
}

func knownFields(desc protoreflect.MessageDescriptor) string {
	fields := desc.Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	slices.Sort(names)
	return "remove it or use one of: " + strings.Join(names, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
