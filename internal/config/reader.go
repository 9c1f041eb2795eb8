package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Reader reads the values of one JSON document strictly and collects every
// fault with its path. Its methods return a fallback for a value that is absent
// (nil) or faulty, and report a fault only for a faulty one. The zero value is ready
// for use.
type Reader struct {
	// Faults are all reported faults in the order in which they were found.
	Faults []Fault
}

// Report adds a fault.
func (r *Reader) Report(path string, code FaultCode, text string, values ...any) {
	r.Faults = append(r.Faults, Fault{Path: path, Code: code, Text: fmt.Sprintf(text, values...)})
}

// Parse returns the root value of a document. It reports a fault and returns false if the
// document isn't valid JSON.
func (r *Reader) Parse(document []byte) (*fastjson.Value, bool) {
	// fastjson accepts some bytes that no JSON text may contain.
	if !json.Valid(document) {
		r.Report("$", FaultMalformed, "%s", syntaxFault(document))
		return nil, false
	}
	value, err := fastjson.ParseBytes(document)
	if err != nil {
		r.Report("$", FaultMalformed, "%s", err.Error())
		return nil, false
	}
	return value, true
}

// syntaxFault describes why a document isn't valid JSON.
func syntaxFault(document []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(document))
	var ignored json.RawMessage
	if err := decoder.Decode(&ignored); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("bytes after the document, from byte %d on", decoder.InputOffset())
}

// Object returns the members of an object by key, and reports duplicate and
// unknown keys.
func (r *Reader) Object(path string, value *fastjson.Value, known ...string) map[string]*fastjson.Value {
	members := map[string]*fastjson.Value{}
	object, err := value.Object()
	if err != nil {
		r.Report(path, FaultWrongType, "an object is required, not %s", value.Type())
		return members
	}
	object.Visit(func(key []byte, member *fastjson.Value) {
		name := string(key)
		switch {
		case !slices.Contains(known, name):
			r.Report(path+"."+name, FaultUnknownKey, "this key is not known")
		case members[name] != nil:
			r.Report(path+"."+name, FaultDuplicateKey, "this key stands twice")
		default:
			members[name] = member
		}
	})
	return members
}

// require reports each of the keys that is absent.
func (r *Reader) require(path string, members map[string]*fastjson.Value, keys ...string) {
	for _, key := range keys {
		if members[key] == nil {
			r.Report(path+"."+key, FaultMissing, "%s is required", key)
		}
	}
}

// Text reads a string.
func (r *Reader) Text(path string, value *fastjson.Value, fallback string) string {
	if value == nil {
		return fallback
	}
	text, err := value.StringBytes()
	if err != nil {
		r.Report(path, FaultWrongType, "a string is required, not %s", value.Type())
		return fallback
	}
	return string(text)
}

// Integer reads an integer from minimum to maximum; a fraction or an exponent
// is a fault.
func (r *Reader) Integer(path string, value *fastjson.Value, fallback, minimum, maximum int64) int64 {
	if value == nil {
		return fallback
	}
	number, err := value.Int64()
	if value.Type() != fastjson.TypeNumber || err != nil || strings.ContainsAny(value.String(), ".eE") {
		r.Report(path, FaultWrongType, "an integer is required, not %s", value.String())
		return fallback
	}
	if number < minimum || number > maximum {
		r.Report(path, FaultOutOfRange, "%d is not between %d and %d", number, minimum, maximum)
		return fallback
	}
	return number
}

// Float reads a number from minimum to maximum.
func (r *Reader) Float(path string, value *fastjson.Value, fallback, minimum, maximum float64) float64 {
	if value == nil {
		return fallback
	}
	number, err := value.Float64()
	if value.Type() != fastjson.TypeNumber || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.Report(path, FaultWrongType, "a number is required, not %s", value.String())
		return fallback
	}
	if number < minimum || number > maximum {
		r.Report(path, FaultOutOfRange, "%v is not between %v and %v", number, minimum, maximum)
		return fallback
	}
	return number
}

// Duration reads a duration such as "35s" from minimum to maximum.
func (r *Reader) Duration(path string, value *fastjson.Value, fallback, minimum, maximum time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	text, err := value.StringBytes()
	if err != nil {
		r.Report(path, FaultWrongType, "a duration such as \"35s\" is required, not %s", value.Type())
		return fallback
	}
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		r.Report(path, FaultWrongType, "%q is not a duration such as \"35s\"", text)
		return fallback
	}
	if duration < minimum || duration > maximum {
		r.Report(path, FaultOutOfRange, "%s is not between %s and %s", duration, minimum, maximum)
		return fallback
	}
	return duration
}

// Bool reads true or false.
func (r *Reader) Bool(path string, value *fastjson.Value, fallback bool) bool {
	if value == nil {
		return fallback
	}
	truth, err := value.Bool()
	if err != nil {
		r.Report(path, FaultWrongType, "true or false is required, not %s", value.Type())
		return fallback
	}
	return truth
}

// Choice reads one of several texts; the fallback must be one of them.
func (r *Reader) Choice(path string, value *fastjson.Value, fallback string, choices ...string) string {
	text := r.Text(path, value, fallback)
	if !slices.Contains(choices, text) {
		r.Report(path, FaultOutOfRange, "%q is not one of %s", text, strings.Join(choices, ", "))
		return fallback
	}
	return text
}

// List reads an array of at most maximum items.
func (r *Reader) List(path string, value *fastjson.Value, maximum int) []*fastjson.Value {
	if value == nil {
		return nil
	}
	items, err := value.Array()
	if err != nil {
		r.Report(path, FaultWrongType, "an array is required, not %s", value.Type())
		return nil
	}
	if len(items) > maximum {
		r.Report(path, FaultOutOfRange, "%d items are more than %d", len(items), maximum)
		return nil
	}
	return items
}

// Names reads an array of valid and distinct strings. Invalid and duplicate ones are
// reported, but are in the result, too.
func (r *Reader) Names(path string, value *fastjson.Value, fallback []string, valid func(string) bool) []string {
	if value == nil {
		return fallback
	}
	names := []string{}
	for index, item := range r.List(path, value, maxNames) {
		itemPath := indexed(path, index)
		name := r.Text(itemPath, item, "")
		if item.Type() == fastjson.TypeString && !valid(name) {
			r.Report(itemPath, FaultBadName, "%q is not a valid name", name)
		}
		if slices.Contains(names, name) {
			r.Report(itemPath, FaultDuplicateName, "%q appears twice", name)
		}
		names = append(names, name)
	}
	return names
}

// indexed returns the path of an array's item.
func indexed(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }
