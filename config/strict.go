package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// decodeStrict fills v from one JSON value. Syntax errors, unknown or repeated fields,
// values of another type and trailing data are refused with line and column.
func decodeStrict(data []byte, v any) error {
	if err := checkSyntax(data); err != nil {
		return err
	}
	w := &walker{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	w.dec.UseNumber()
	if err := w.value("", reflect.TypeOf(v).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return errkind.New(errkind.Invalid, "%v", err)
	}
	return nil
}

func checkSyntax(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return errkind.New(errkind.Invalid, "%v", err)
	}
	// Offset counts the offending byte, except at an unexpected end of the data.
	offset := syntax.Offset
	if offset > 0 && offset < int64(len(data)) {
		offset--
	}
	return placeError(data, offset, "", "%v", syntax)
}

// placeError returns an Invalid error that names line, column and, when set, the JSON path.
func placeError(data []byte, offset int64, path, format string, args ...any) error {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	text := fmt.Sprintf(format, args...)
	if path != "" {
		text = path + ": " + text
	}
	return errkind.New(errkind.Invalid, "line %d, column %d: %s", line, column, text)
}

// walker compares the tokens of a JSON value with a Go type.
type walker struct {
	data []byte
	dec  *json.Decoder
}

// start returns the offset at which the next token starts.
func (w *walker) start() int64 {
	offset := w.dec.InputOffset()
	for offset < int64(len(w.data)) && strings.IndexByte(" \t\r\n,:", w.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func (w *walker) value(path string, t reflect.Type) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	at := w.start()
	token, err := w.dec.Token()
	if err == io.EOF {
		return placeError(w.data, at, path, "no value")
	}
	if err != nil {
		return placeError(w.data, at, path, "%v", err)
	}
	switch token := token.(type) {
	case json.Delim:
		return w.composite(path, t, token, at)
	default:
		return w.scalar(path, t, token, at)
	}
}

func (w *walker) composite(path string, t reflect.Type, open json.Delim, at int64) error {
	switch {
	case open == '{' && t.Kind() == reflect.Struct:
		return w.object(path, t)
	case open == '[' && t.Kind() == reflect.Slice:
		return w.array(path, t)
	case open == '{':
		return placeError(w.data, at, path, "an object where %s is expected", typeName(t))
	default:
		return placeError(w.data, at, path, "a list where %s is expected", typeName(t))
	}
}

func (w *walker) object(path string, t reflect.Type) error {
	fields := fieldTypes(t)
	seen := make(map[string]bool)
	for w.dec.More() {
		at := w.start()
		token, err := w.dec.Token()
		if err != nil {
			return placeError(w.data, at, path, "%v", err)
		}
		name := token.(string)
		full := joinPath(path, name)
		field, known := fields[name]
		if !known {
			return placeError(w.data, at, full, "unknown field")
		}
		if seen[name] {
			return placeError(w.data, at, full, "field given twice")
		}
		seen[name] = true
		if err := w.value(full, field); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) array(path string, t reflect.Type) error {
	for i := 0; w.dec.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
	_, err := w.dec.Token()
	return err
}

func (w *walker) scalar(path string, t reflect.Type, token json.Token, at int64) error {
	var ok bool
	switch token := token.(type) {
	case string:
		ok = t.Kind() == reflect.String
	case bool:
		ok = t.Kind() == reflect.Bool
	case json.Number:
		ok = numberFits(t, token)
	}
	if !ok {
		return placeError(w.data, at, path, "%s where %s is expected", describe(token), typeName(t))
	}
	return nil
}

func numberFits(t reflect.Type, n json.Number) bool {
	switch t.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return json.Unmarshal([]byte(n), reflect.New(t).Interface()) == nil
	default:
		return false
	}
}

func describe(token json.Token) string {
	switch token := token.(type) {
	case nil:
		return "null"
	case string:
		return fmt.Sprintf("the string %q", token)
	default:
		return fmt.Sprint(token)
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldTypes maps the JSON names of a struct to the types of its fields.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
