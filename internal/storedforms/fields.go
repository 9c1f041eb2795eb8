package storedforms

import (
	"cmp"
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Field is one encoded field of a struct.
type Field struct {
	// Index is the index of the field in its struct.
	Index int
	// Name is the Go name of the field.
	Name string
	// Key is the key of the field in the encoding, or "#" and its position in an array.
	Key string
	// Explicit is set if the key is independent of the field's Go name.
	Explicit bool
	// Optional is set if cbor omits the key of an empty value. A key that is added to a recorded
	// form must be, so that the form of earlier values stays the same.
	Optional bool
}

var (
	timeType        = reflect.TypeFor[time.Time]()
	cborMarshaler   = reflect.TypeFor[cbor.Marshaler]()
	binaryMarshaler = reflect.TypeFor[encoding.BinaryMarshaler]()
)

// encodesItself reports whether a type is encoded as a whole and not field by field.
func encodesItself(kind reflect.Type) bool {
	for _, marshaler := range []reflect.Type{cborMarshaler, binaryMarshaler} {
		if kind.Implements(marshaler) || reflect.PointerTo(kind).Implements(marshaler) {
			return true
		}
	}
	return kind == timeType
}

// isArrayStruct reports whether a struct is encoded as an array.
func isArrayStruct(kind reflect.Type) bool {
	marker, found := kind.FieldByName("_")
	if !found {
		return false
	}
	return slices.Contains(strings.Split(marker.Tag.Get("cbor"), ","), "toarray")
}

// FieldsOf returns the fields of a struct that cbor encodes: in the order of the code for
// a struct that is encoded as an array, sorted by key for others. It returns an error for
// embedded structs, which no recorded form has, and for keys that are numbers.
func FieldsOf(kind reflect.Type) ([]Field, error) {
	array := isArrayStruct(kind)
	var fields []Field
	for index := range kind.NumField() {
		field := kind.Field(index)
		if field.Anonymous {
			return nil, fmt.Errorf("%s embeds %s, but embedded structs are not supported", kind, field.Name)
		}
		if !field.IsExported() {
			continue
		}
		tag := field.Tag.Get("cbor")
		if tag == "" {
			tag = field.Tag.Get("json")
		}
		if tag == "-" {
			continue
		}
		key, options, _ := strings.Cut(tag, ",")
		if strings.Contains(options, "keyasint") {
			return nil, fmt.Errorf("%s.%s has a number as its key, which is not supported", kind, field.Name)
		}
		encoded := Field{
			Index:    index,
			Name:     field.Name,
			Key:      key,
			Explicit: key != "",
			Optional: strings.Contains(field.Tag.Get("cbor"), "omitempty"),
		}
		if key == "" {
			encoded.Key = field.Name
		}
		if array {
			encoded.Key, encoded.Explicit = fmt.Sprintf("#%d", len(fields)), true
		}
		fields = append(fields, encoded)
	}
	if !array {
		slices.SortFunc(fields, func(left, right Field) int { return cmp.Compare(left.Key, right.Key) })
	}
	return fields, nil
}

// ImplicitKeys returns the names of those fields of a type and of all types that it
// contains whose keys are derived from their Go names, or whose values are interfaces.
func ImplicitKeys(kind reflect.Type) ([]string, error) {
	var implicit []string
	seen := map[reflect.Type]bool{}
	err := walk(kind, "", seen, func(owner reflect.Type, _ string, field Field) {
		if !field.Explicit || owner.Field(field.Index).Type.Kind() == reflect.Interface {
			implicit = append(implicit, owner.String()+"."+field.Name)
		}
	})
	return implicit, err
}

// OptionalKeys returns the optional keys of a type and of all types that it contains, in
// ascending order.
func OptionalKeys(kind reflect.Type) ([]string, error) {
	var keys []string
	err := walk(kind, "", map[reflect.Type]bool{}, func(_ reflect.Type, _ string, field Field) {
		if field.Optional {
			keys = append(keys, field.Key)
		}
	})
	slices.Sort(keys)
	return slices.Compact(keys), err
}

// Layout describes the encoded fields of a type and of all types that it contains, one
// line per field: the path of keys, the Go name and the kind.
func Layout(kind reflect.Type, root string) ([]string, error) {
	var lines []string
	err := walk(kind, root, nil, func(owner reflect.Type, path string, field Field) {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s", path, field.Name, kindName(owner.Field(field.Index).Type)))
	})
	return lines, err
}

// kindName describes the kind of a field's value without the Go names of its types.
func kindName(kind reflect.Type) string {
	if kind == timeType {
		return "time"
	}
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice:
		return kind.Kind().String() + " of " + kindName(kind.Elem())
	case reflect.Array:
		return fmt.Sprintf("%d of %s", kind.Len(), kindName(kind.Elem()))
	case reflect.Map:
		return "map of " + kindName(kind.Key()) + " to " + kindName(kind.Elem())
	default:
		return kind.Kind().String()
	}
}

// walk visits the fields of all structs that a type contains. It visits each struct type
// once if seen is not nil, and otherwise every time that it occurs.
func walk(
	kind reflect.Type, path string, seen map[reflect.Type]bool, visit func(owner reflect.Type, path string, field Field),
) error {
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return walk(kind.Elem(), path, seen, visit)
	case reflect.Map:
		if err := walk(kind.Key(), path+"/key", seen, visit); err != nil {
			return err
		}
		return walk(kind.Elem(), path+"/value", seen, visit)
	case reflect.Func, reflect.Chan:
		return fmt.Errorf("%s: a %s can't be encoded", path, kind)
	case reflect.Struct:
	default:
		return nil
	}
	if encodesItself(kind) || seen[kind] {
		return nil
	}
	if seen != nil {
		seen[kind] = true
	}
	fields, err := FieldsOf(kind)
	if err != nil {
		return err
	}
	for _, field := range fields {
		visit(kind, path+"/"+field.Key, field)
		if err := walk(kind.Field(field.Index).Type, path+"/"+field.Key, seen, visit); err != nil {
			return err
		}
	}
	return nil
}
