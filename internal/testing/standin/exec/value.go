package exec

import (
	"encoding/binary"
	"math"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// Object identifiers (OIDs) of PostgreSQL's types.
const (
	oidBool    = 16
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidUnknown = 705
	oidVarchar = 1043
	oidVoid    = 2278
)

// formatBinary is the protocol's code for the binary format.
const formatBinary = 1

// OID returns the OID of a type, that of text for types without their own.
func OID(t sqltext.Type) uint32 {
	switch t {
	case sqltext.Int4:
		return oidInt4
	case sqltext.Int8:
		return oidInt8
	case sqltext.Bool:
		return oidBool
	case sqltext.Float8:
		return oidFloat8
	case sqltext.Void:
		return oidVoid
	}
	return oidText
}

// Size returns the length of a type in bytes, as a RowDescription message
// reports it; -1 stands for a variable length.
func Size(t sqltext.Type) int16 {
	switch t {
	case sqltext.Int4:
		return 4
	case sqltext.Int8, sqltext.Float8:
		return 8
	case sqltext.Bool:
		return 1
	case sqltext.Void:
		return 4
	}
	return -1
}

// typeOfOID returns the type with an OID, Unknown for OID 0.
func typeOfOID(oid uint32) (sqltext.Type, error) {
	switch oid {
	case 0, oidUnknown:
		return sqltext.Unknown, nil
	case oidInt2, oidInt4:
		return sqltext.Int4, nil
	case oidInt8:
		return sqltext.Int8, nil
	case oidBool:
		return sqltext.Bool, nil
	case oidFloat8:
		return sqltext.Float8, nil
	case oidText, oidVarchar:
		return sqltext.Text, nil
	}
	return sqltext.Unknown, &sqltext.Error{Code: sqltext.CodeUnsupported,
		Message: "parameter type with OID " + strconv.FormatUint(uint64(oid), 10) + " is not supported by the stand-in endpoint"}
}

// Encode returns the value in the protocol's text or binary format, or nil for
// NULL.
func Encode(v store.Value, t sqltext.Type, format int16) []byte {
	if v.Null {
		return nil
	}
	if format != formatBinary {
		return []byte(v.Text)
	}
	switch t {
	case sqltext.Int4:
		n, _ := strconv.ParseInt(v.Text, 10, 32)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case sqltext.Int8:
		n, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case sqltext.Float8:
		f, _ := strconv.ParseFloat(v.Text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	case sqltext.Bool:
		if v.Text == "t" {
			return []byte{1}
		}
		return []byte{0}
	}
	return []byte(v.Text)
}

// Decode returns the value of a parameter in the protocol's text or binary
// format; nil is NULL.
func Decode(raw []byte, t sqltext.Type, format int16) (store.Value, error) {
	if raw == nil {
		return store.Value{Null: true}, nil
	}
	if format != formatBinary {
		return Coerce(store.Value{Text: string(raw)}, t)
	}
	switch {
	case t == sqltext.Int4 && len(raw) == 2:
		return intValue(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case t == sqltext.Int4 && len(raw) == 4:
		return intValue(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case t == sqltext.Int8 && len(raw) == 8:
		return intValue(int64(binary.BigEndian.Uint64(raw))), nil
	case t == sqltext.Float8 && len(raw) == 8:
		return floatValue(math.Float64frombits(binary.BigEndian.Uint64(raw))), nil
	case t == sqltext.Bool && len(raw) == 1:
		return boolValue(raw[0] != 0), nil
	case t == sqltext.Text || t == sqltext.Unknown:
		return store.Value{Text: string(raw)}, nil
	}
	return store.Value{}, &sqltext.Error{Code: "22P03", Message: "incorrect binary data format in bind parameter"}
}

func intValue(n int64) store.Value { return store.Value{Text: strconv.FormatInt(n, 10)} }

func floatValue(f float64) store.Value {
	return store.Value{Text: strconv.FormatFloat(f, 'g', -1, 64)}
}

func boolValue(b bool) store.Value {
	if b {
		return store.Value{Text: "t"}
	}
	return store.Value{Text: "f"}
}

// Coerce checks that a value's text is valid for type t and returns the value
// with its text in canonical form. The error has SQLSTATE 22P02.
func Coerce(v store.Value, t sqltext.Type) (store.Value, error) {
	if v.Null {
		return v, nil
	}
	switch t {
	case sqltext.Int4, sqltext.Int8:
		bits := 64
		if t == sqltext.Int4 {
			bits = 32
		}
		n, err := strconv.ParseInt(v.Text, 10, bits)
		if err != nil {
			return v, invalidInput(v.Text, t)
		}
		return intValue(n), nil
	case sqltext.Float8:
		f, err := strconv.ParseFloat(v.Text, 64)
		if err != nil {
			return v, invalidInput(v.Text, t)
		}
		return floatValue(f), nil
	case sqltext.Bool:
		switch v.Text {
		case "t", "true", "on", "1":
			return boolValue(true), nil
		case "f", "false", "off", "0":
			return boolValue(false), nil
		}
		return v, invalidInput(v.Text, t)
	}
	return v, nil
}

func invalidInput(text string, t sqltext.Type) error {
	return &sqltext.Error{Code: "22P02",
		Message: "invalid input syntax for type " + t.String() + ": " + strconv.Quote(text)}
}
