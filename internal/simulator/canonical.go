// The canonical encoding of Go values that daemons give to clients. It depends on the
// contents, but not on the names of Go types and of fields without a json tag:
//
//   - a map with string keys, and a struct with json tags, is encoded as its pairs of key
//     and value, sorted by key; fields without a key in JSON follow in declaration order;
//   - any other struct is encoded as its fields in declaration order, with the fields of an
//     embedded struct in its place;
//   - a number is encoded as its decimal text, regardless of its type;
//   - a time is encoded as its nanoseconds since the epoch, an error as its text, and a
//     function as a flag that is set unless it is nil.

package simulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tags of the kinds of values in the canonical encoding.
const (
	tagNil      = 'z'
	tagFlag     = 'b'
	tagNumber   = 'n'
	tagText     = 's'
	tagBytes    = 'y'
	tagMoment   = 't'
	tagError    = 'e'
	tagFunction = 'f'
	tagList     = '['
	tagObject   = '{'
	tagFields   = '('
	tagEnd      = ')'
)

var (
	typeOfTime  = reflect.TypeFor[time.Time]()
	typeOfError = reflect.TypeFor[error]()
)

func appendFlag(body []byte, set bool) []byte {
	if set {
		return append(body, 1)
	}
	return append(body, 0)
}

// appendSized appends a tag, the length of a value, and the value.
func appendSized[T string | []byte](body []byte, tag byte, value T) []byte {
	body = append(body, tag)
	body = binary.AppendUvarint(body, uint64(len(value)))
	return append(body, value...)
}

// appendValue appends the canonical encoding of a value.
func appendValue(body []byte, value any) []byte {
	return appendReflected(body, reflect.ValueOf(value))
}

func appendReflected(body []byte, value reflect.Value) []byte {
	if !value.IsValid() {
		return append(body, tagNil)
	}
	if value.Type() == typeOfTime {
		moment := value.Interface().(time.Time)
		return binary.BigEndian.AppendUint64(append(body, tagMoment), uint64(moment.UnixNano()))
	}
	if value.Type().Implements(typeOfError) && !isNil(value) {
		return appendSized(body, tagError, value.Interface().(error).Error())
	}
	switch value.Kind() {
	case reflect.Bool:
		return appendFlag(append(body, tagFlag), value.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return appendSized(body, tagNumber, strconv.FormatInt(value.Int(), 10))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return appendSized(body, tagNumber, strconv.FormatUint(value.Uint(), 10))
	case reflect.Float32, reflect.Float64:
		return appendSized(body, tagNumber, strconv.FormatFloat(value.Float(), 'f', -1, 64))
	case reflect.String:
		return appendSized(body, tagText, value.String())
	case reflect.Func, reflect.Chan:
		return appendFlag(append(body, tagFunction), !value.IsNil())
	case reflect.Interface:
		return appendReflected(body, value.Elem())
	case reflect.Pointer:
		return appendPointer(body, value)
	case reflect.Slice, reflect.Array:
		return appendList(body, value)
	case reflect.Map:
		return appendMap(body, value)
	case reflect.Struct:
		return appendStruct(body, value)
	}
	panic(fmt.Sprintf("type %s has no canonical encoding", value.Type()))
}

func isNil(value reflect.Value) bool {
	return (value.Kind() == reflect.Pointer || value.Kind() == reflect.Interface) && value.IsNil()
}

// appendPointer appends the value that a pointer points to. A nil pointer to a struct with
// json tags is encoded as an object without pairs, as a nil map is.
func appendPointer(body []byte, value reflect.Value) []byte {
	if !value.IsNil() {
		return appendReflected(body, value.Elem())
	}
	if target := value.Type().Elem(); target.Kind() == reflect.Struct && formOf(target).tagged {
		return appendPairs(body, nil)
	}
	return append(body, tagNil)
}

func appendList(body []byte, value reflect.Value) []byte {
	if value.Type().Elem().Kind() == reflect.Uint8 && value.Kind() == reflect.Slice {
		return appendSized(body, tagBytes, value.Bytes())
	}
	if value.Kind() == reflect.Slice && value.IsNil() {
		return append(body, tagNil)
	}
	body = binary.AppendUvarint(append(body, tagList), uint64(value.Len()))
	for index := range value.Len() {
		body = appendReflected(body, value.Index(index))
	}
	return body
}

// pair is a key and a value of an object. A map key that is not a string is represented by
// its canonical encoding.
type pair struct {
	key   string
	value reflect.Value
}

func appendPairs(body []byte, pairs []pair) []byte {
	body = binary.AppendUvarint(append(body, tagObject), uint64(len(pairs)))
	for _, each := range pairs {
		body = appendSized(body, tagText, each.key)
		body = appendReflected(body, each.value)
	}
	return body
}

func appendMap(body []byte, value reflect.Value) []byte {
	pairs := make([]pair, 0, value.Len())
	for entries := value.MapRange(); entries.Next(); {
		key := entries.Key().String()
		if entries.Key().Kind() != reflect.String {
			key = string(appendReflected(nil, entries.Key()))
		}
		pairs = append(pairs, pair{key: key, value: entries.Value()})
	}
	slices.SortFunc(pairs, func(left, right pair) int { return bytes.Compare([]byte(left.key), []byte(right.key)) })
	return appendPairs(body, pairs)
}

func appendStruct(body []byte, value reflect.Value) []byte {
	form := formOf(value.Type())
	if form.tagged {
		pairs := make([]pair, 0, len(form.keyed))
		for _, field := range form.keyed {
			content := value.FieldByIndex(field.index)
			if !field.omitEmpty || !isEmpty(content) {
				pairs = append(pairs, pair{key: field.key, value: content})
			}
		}
		body = appendPairs(body, pairs)
		if len(form.rest) == 0 {
			return body
		}
	}
	body = append(body, tagFields)
	for _, index := range form.rest {
		body = appendReflected(body, value.FieldByIndex(index))
	}
	return append(body, tagEnd)
}

// isEmpty reports whether encoding/json would omit the value under omitempty.
func isEmpty(value reflect.Value) bool {
	switch value.Kind() {
	case reflect.Array, reflect.Map, reflect.Slice, reflect.String:
		return value.Len() == 0
	case reflect.Struct:
		return false
	}
	return value.IsZero()
}

// keyedField is a struct field that has a key in JSON.
type keyedField struct {
	key       string
	index     []int
	omitEmpty bool
}

// structForm describes how the fields of a struct are encoded: keyed holds those with a
// JSON key, sorted by key, and rest the others in declaration order. If no field has a json
// tag, all fields are in rest.
type structForm struct {
	tagged bool
	keyed  []keyedField
	rest   [][]int
}

// structForms caches a structForm by reflect.Type.
var structForms sync.Map

func formOf(kind reflect.Type) structForm {
	if known, found := structForms.Load(kind); found {
		return known.(structForm)
	}
	fields := flatFields(kind, nil)
	form := structForm{tagged: slices.ContainsFunc(fields, func(field reflect.StructField) bool {
		return field.Tag.Get("json") != ""
	})}
	for _, field := range fields {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !form.tagged || !field.IsExported() || name == "-" {
			form.rest = append(form.rest, field.Index)
			continue
		}
		if name == "" {
			name = field.Name
		}
		form.keyed = append(form.keyed, keyedField{key: name, index: field.Index, omitEmpty: strings.Contains(options, "omitempty")})
	}
	slices.SortFunc(form.keyed, func(left, right keyedField) int { return strings.Compare(left.key, right.key) })
	structForms.Store(kind, form)
	return form
}

// flatFields lists the fields of a struct, with the fields of an embedded struct in its
// place.
func flatFields(kind reflect.Type, path []int) []reflect.StructField {
	var fields []reflect.StructField
	for number := range kind.NumField() {
		field := kind.Field(number)
		field.Index = append(slices.Clone(path), number)
		if field.Anonymous && field.Type.Kind() == reflect.Struct && field.Type != typeOfTime && field.Tag.Get("json") == "" {
			fields = append(fields, flatFields(field.Type, field.Index)...)
			continue
		}
		fields = append(fields, field)
	}
	return fields
}
