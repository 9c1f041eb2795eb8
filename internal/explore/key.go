package explore

import (
	"cmp"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"math"
	"reflect"
	"slices"
	"time"
)

// Key is the fingerprint of a state.
type Key [16]byte

// maxAge is the age beyond which all times in the past count as equal.
const maxAge = 20 * time.Second

var moment = reflect.TypeFor[time.Time]()

// KeyOf returns the fingerprint of values and all that they refer to, including unexported
// fields. Maps are hashed in the order of their keys, times by their distance from now;
// functions, channels and values of the types in without are ignored.
func KeyOf(now time.Time, without []reflect.Type, values ...any) Key {
	encoder := &encoder{now: now, without: without, sum: fnv.New128a()}
	for _, value := range values {
		encoder.put(reflect.ValueOf(value))
	}
	var key Key
	copy(key[:], encoder.sum.Sum(nil))
	return key
}

type encoder struct {
	now     time.Time
	without []reflect.Type
	sum     hash.Hash
	scratch []byte
}

func (e *encoder) number(value uint64) {
	e.scratch = binary.BigEndian.AppendUint64(e.scratch[:0], value)
	_, _ = e.sum.Write(e.scratch)
}

func (e *encoder) text(value string) {
	e.number(uint64(len(value)))
	_, _ = e.sum.Write([]byte(value))
}

func (e *encoder) put(value reflect.Value) {
	if !value.IsValid() {
		e.number(0)
		return
	}
	if slices.Contains(e.without, value.Type()) {
		return
	}
	if value.Type() == moment {
		e.moment(value)
		return
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		e.reference(value)
	case reflect.Slice, reflect.Array:
		e.list(value)
	case reflect.Map:
		e.table(value)
	case reflect.Struct:
		for field := range value.NumField() {
			e.put(value.Field(field))
		}
	default:
		e.scalar(value)
	}
}

// scalar adds a value without parts. Values of other kinds, such as functions, add nothing.
func (e *encoder) scalar(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			e.number(1)
		} else {
			e.number(2)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		e.number(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		e.number(value.Uint())
	case reflect.Float32, reflect.Float64:
		e.number(math.Float64bits(value.Float()))
	case reflect.String:
		e.text(value.String())
	default:
	}
}

// reference adds what a pointer or an interface refers to.
func (e *encoder) reference(value reflect.Value) {
	if value.IsNil() {
		e.number(0)
		return
	}
	if value.Kind() == reflect.Interface {
		e.text(value.Elem().Type().String())
	}
	e.put(value.Elem())
}

func (e *encoder) list(value reflect.Value) {
	e.number(uint64(value.Len()))
	if value.Type().Elem().Kind() == reflect.Uint8 && value.Kind() == reflect.Slice {
		_, _ = e.sum.Write(value.Bytes())
		return
	}
	for index := range value.Len() {
		e.put(value.Index(index))
	}
}

func (e *encoder) table(value reflect.Value) {
	keys := value.MapKeys()
	slices.SortFunc(keys, compare)
	e.number(uint64(len(keys)))
	for _, key := range keys {
		e.put(key)
		e.put(value.MapIndex(key))
	}
}

func compare(left, right reflect.Value) int {
	switch left.Kind() {
	case reflect.String:
		return cmp.Compare(left.String(), right.String())
	case reflect.Int, reflect.Int64:
		return cmp.Compare(left.Int(), right.Int())
	case reflect.Uint, reflect.Uint64:
		return cmp.Compare(left.Uint(), right.Uint())
	default:
	}
	panic("a map with keys of the kind " + left.Kind().String())
}

// moment hashes a time by its distance from now. Reflection can't return an unexported
// field as a time.Time, so the time is rebuilt from its wall and ext fields. This requires a
// time without a monotonic reading, as time.Unix and additions to it give.
func (e *encoder) moment(value reflect.Value) {
	const nanoseconds, epoch = 1<<30 - 1, 62135596800
	wall, seconds := value.Field(0).Uint(), value.Field(1).Int()
	if wall == 0 && seconds == 0 {
		e.number(math.MaxUint64)
		return
	}
	at := time.Unix(seconds-epoch, int64(wall&nanoseconds))
	e.number(uint64(max(at.Sub(e.now), -maxAge)))
}
