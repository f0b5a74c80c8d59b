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

// source maps the fields of one file to their lines.
type source struct {
	file string
	// lines holds the line of each field, by path; lines count from 1.
	lines map[string]int
}

// line returns the line of the field. If the field is absent, it returns the
// line of the nearest enclosing field that is present.
func (s *source) line(field string) int {
	for field != "" {
		if n, ok := s.lines[field]; ok {
			return n
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

// problem returns a Problem located at the field.
func (s *source) problem(kind Kind, field, detail, fix string) *Problem {
	return &Problem{
		Kind: kind, File: s.file, Line: s.line(field),
		Field: field, Detail: detail, Fix: fix,
	}
}

// walker checks JSON text against a message descriptor, token by token. It
// continues after an unknown, duplicate or wrongly typed field, so that one run
// reports all of them.
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

// check checks the whole text against desc.
func (w *walker) check(desc protoreflect.MessageDescriptor) Problems {
	if i := invalidUTF8(w.data); i >= 0 {
		w.add(KindSyntax, "", "not UTF-8 text", "save the file as UTF-8")
		w.problems[0].Line = w.lineAt(i)
		return w.problems
	}
	err := w.value("", func(tok json.Token) error { return w.object("", desc, tok) })
	if err == nil {
		err = w.checkEnd()
	}
	if err != nil {
		w.addSyntaxError(err)
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

// checkEnd returns an error if text follows the object.
func (w *walker) checkEnd() error {
	_, err := w.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return cmp.Or[error](err, &trailingTextError{})
}

// trailingTextError reports text after the file's object.
type trailingTextError struct{}

func (*trailingTextError) Error() string { return "text after the end of the object" }

// addSyntaxError records a syntax error at its position, or at the end of the
// text when the text ends too early.
func (w *walker) addSyntaxError(err error) {
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

// lineAt returns the line of a byte offset, counted from 1.
func (w *walker) lineAt(offset int) int {
	offset = min(offset, len(w.data))
	return 1 + bytes.Count(w.data[:offset], []byte("\n"))
}

func (w *walker) add(kind Kind, field, detail, fix string) {
	w.problems = append(w.problems, w.problem(kind, field, detail, fix))
}

// value reads the first token of a value, records the line of the value and
// passes the token to consume, which reads the rest of the value.
func (w *walker) value(path string, consume func(json.Token) error) error {
	tok, err := w.dec.Token()
	if err != nil {
		return err
	}
	w.lines[path] = w.lineAt(int(w.dec.InputOffset()))
	return consume(tok)
}

func (w *walker) object(path string, desc protoreflect.MessageDescriptor, tok json.Token) error {
	if tok != json.Delim('{') {
		return w.skipWrongType(path, tok, "an object in braces")
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
	field := joinPath(path, key)
	fd := desc.Fields().ByName(protoreflect.Name(key))
	line := w.lineAt(int(w.dec.InputOffset()))
	if fd == nil {
		w.lines[field] = line
		w.add(KindUnknownField, field, fmt.Sprintf("unknown field %q", key), knownFieldsFix(desc))
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
		return w.element(field, fd, tok)
	})
}

func (w *walker) list(path string, fd protoreflect.FieldDescriptor, tok json.Token) error {
	if tok != json.Delim('[') {
		return w.skipWrongType(path, tok, "a list in square brackets")
	}
	for i := 0; w.dec.More(); i++ {
		item := fmt.Sprintf("%s[%d]", path, i)
		err := w.value(item, func(tok json.Token) error { return w.element(item, fd, tok) })
		if err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

// element checks a value that is not a list: a field or an element of a list.
func (w *walker) element(path string, fd protoreflect.FieldDescriptor, tok json.Token) error {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		return w.object(path, fd.Message(), tok)
	case protoreflect.BoolKind:
		if _, ok := tok.(bool); !ok {
			return w.skipWrongType(path, tok, "true or false")
		}
	case protoreflect.Uint32Kind:
		number, ok := tok.(json.Number)
		if !ok {
			return w.skipWrongType(path, tok, "a whole number without quotes")
		}
		if _, err := strconv.ParseUint(number.String(), 10, 32); err != nil {
			return w.skipWrongType(path, tok, "a whole number from 0 to 4294967295")
		}
	default:
		if _, ok := tok.(string); !ok {
			return w.skipWrongType(path, tok, expectedString(fd.Name()))
		}
	}
	return nil
}

// skipWrongType records a value of the wrong type and skips the rest of it.
func (w *walker) skipWrongType(path string, tok json.Token, expected string) error {
	w.add(KindWrongType, path, "is "+describeToken(tok), "write "+expected)
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

// describeToken describes the value that starts with tok.
func describeToken(tok json.Token) string {
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

// expectedString describes the text that the field of the given name holds.
func expectedString(name protoreflect.Name) string {
	if name == "deadline" || name == "max_age" {
		return "a text with a unit, such as \"250ms\""
	}
	return "a text in quotes"
}

// knownFieldsFix returns the fix for an unknown field, which lists the fields of
// the message.
func knownFieldsFix(desc protoreflect.MessageDescriptor) string {
	fields := desc.Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	slices.Sort(names)
	return "remove it or use one of: " + strings.Join(names, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
