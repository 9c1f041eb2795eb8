package storedforms

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Elements is how many elements a sample's slices and maps have.
const Elements = 2

var rawType = reflect.TypeFor[json.RawMessage]()

// sampleStart is the base to which an offset is added for each time in a sample.
var sampleStart = time.Date(2026, 1, 2, 3, 4, 5, 6000, time.UTC)

// filler counts the generated values, so that the values of a sample differ.
type filler struct {
	count uint64
	// optional are the optional keys that are set.
	optional []string
}

// Sample returns a value of a type in which every encoded field is set to a different
// value, of optional fields only those with the given keys. The values depend on the kinds
// and the order of the fields (the order of keys in a struct that has keys), but not on Go
// names.
func Sample(kind reflect.Type, optional ...string) (any, error) {
	made := reflect.New(kind).Elem()
	filler := &filler{optional: optional}
	if err := filler.fill(made); err != nil {
		return nil, err
	}
	return made.Interface(), nil
}

func (f *filler) next() uint64 {
	f.count++
	return f.count
}

func (f *filler) fill(value reflect.Value) error {
	if value.Type() == timeType {
		value.Set(reflect.ValueOf(sampleStart.Add(time.Duration(f.next()) * time.Millisecond)))
		return nil
	}
	if value.Type() == rawType {
		value.SetBytes([]byte(fmt.Sprintf(`"text-%d"`, f.next())))
		return nil
	}
	switch value.Kind() {
	case reflect.Interface:
		value.Set(reflect.ValueOf(fmt.Sprintf("text-%d", f.next())))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.next()%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(f.next()%100 + 1)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.next()) + 0.5)
	default:
		return f.fillCompound(value)
	}
	return nil
}

func (f *filler) fillCompound(value reflect.Value) error {
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), Elements, Elements))
		return f.fillElements(value)
	case reflect.Array:
		return f.fillElements(value)
	case reflect.Map:
		return f.fillMap(value)
	case reflect.Struct:
		return f.fillStruct(value)
	default:
		return fmt.Errorf("no sample for %s", value.Type())
	}
}

func (f *filler) fillElements(value reflect.Value) error {
	for position := range value.Len() {
		if err := f.fill(value.Index(position)); err != nil {
			return err
		}
	}
	return nil
}

func (f *filler) fillMap(value reflect.Value) error {
	value.Set(reflect.MakeMap(value.Type()))
	for range Elements {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		if err := f.fill(key); err != nil {
			return err
		}
		if err := f.fill(element); err != nil {
			return err
		}
		value.SetMapIndex(key, element)
	}
	return nil
}

func (f *filler) fillStruct(value reflect.Value) error {
	if encodesItself(value.Type()) {
		return fmt.Errorf("no sample for %s, which has an encoding of its own", value.Type())
	}
	fields, err := FieldsOf(value.Type())
	if err != nil {
		return err
	}
	for _, field := range fields {
		if field.Optional && !slices.Contains(f.optional, field.Key) {
			continue
		}
		if err := f.fill(value.Field(field.Index)); err != nil {
			return err
		}
	}
	return nil
}
