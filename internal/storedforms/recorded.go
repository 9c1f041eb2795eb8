package storedforms

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dahlialock/internal/transport"
)

// recordVariable is the environment variable that allows missing files to be recorded.
const recordVariable = "RECORD_FORMS"

// Compare compares lines with those of a recorded file and reports each difference.
func Compare(t *testing.T, file string, lines []string) {
	t.Helper()
	recorded, found := Recorded(t, file, lines)
	if !found {
		return
	}
	for position := range max(len(lines), len(recorded)) {
		now, before := line(lines, position), line(recorded, position)
		if now != before {
			t.Errorf("%s, line %d: recorded\n\t%s\nand now\n\t%s", file, position+1, before, now)
		}
	}
}

func line(lines []string, position int) string {
	if position >= len(lines) {
		return "(no line)"
	}
	return lines[position]
}

// Recorded returns the lines of a recorded file. If the file does not exist, the test
// fails, unless the environment has RECORD_FORMS=1: then Recorded writes the given lines to
// the file and returns false.
func Recorded(t *testing.T, file string, lines []string) ([]string, bool) {
	t.Helper()
	path := filepath.Join("testdata", file)
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv(recordVariable) == "1" {
		made := strings.Join(lines, "\n") + "\n"
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(made), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Logf("recorded %s", path)
		return nil, false
	}
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n"), true
}

// Form is an encoded type with a name that is independent of the Go names.
type Form struct {
	Name string
	Type reflect.Type
	// Encode and Decode convert values to and from bytes. The default is the encoding that
	// is used on disk.
	Encode func(value any) ([]byte, error)
	Decode func(packed []byte) (any, error)
	// Text is set for forms that are recorded as text. Others are recorded in hexadecimal.
	Text bool
}

func (f Form) format(packed []byte) string {
	if f.Text {
		return string(packed)
	}
	return hex.EncodeToString(packed)
}

func (f Form) parse(text string) ([]byte, error) {
	if f.Text {
		return []byte(text), nil
	}
	return hex.DecodeString(text)
}

func (f Form) encode(value any) ([]byte, error) {
	if f.Encode != nil {
		return f.Encode(value)
	}
	return transport.Marshal(value)
}

func (f Form) decode(packed []byte) (any, error) {
	if f.Decode != nil {
		return f.Decode(packed)
	}
	value := reflect.New(f.Type)
	if err := transport.Unmarshal(packed, value.Interface()); err != nil {
		return nil, err
	}
	return value.Elem().Interface(), nil
}

// CheckBytes compares the encoded samples, in which every field is set, and the encoded
// zero values of forms with the recorded bytes. For each optional key there is a further
// sample in which it is set too. It also checks that the recorded bytes
// stay the same when they are decoded and encoded again.
func CheckBytes(t *testing.T, file string, forms []Form) {
	t.Helper()
	var lines []string
	for _, form := range forms {
		lines = append(lines,
			formLine(t, form, "set", sampleOf(t, form)),
			formLine(t, form, "zero", reflect.Zero(form.Type).Interface()),
		)
		optional, err := OptionalKeys(form.Type)
		if err != nil {
			t.Fatalf("%s: %v", form.Name, err)
		}
		for _, key := range optional {
			lines = append(lines, formLine(t, form, "set-with-"+key, sampleOf(t, form, key)))
		}
	}
	Compare(t, file, lines)
	checkRecordedRoundTrip(t, file, lines, forms)
}

// sampleOf returns the sample of a form with the given optional keys.
func sampleOf(t *testing.T, form Form, optional ...string) any {
	t.Helper()
	sample, err := Sample(form.Type, optional...)
	if err != nil {
		t.Fatalf("%s: %v", form.Name, err)
	}
	return sample
}

// formLine returns the line that is recorded of one value of a form.
func formLine(t *testing.T, form Form, kind string, value any) string {
	t.Helper()
	packed, err := form.encode(value)
	if err != nil {
		t.Fatalf("%s: %v", form.Name, err)
	}
	return strings.Join([]string{form.Name, kind, form.format(packed)}, " ")
}

func checkRecordedRoundTrip(t *testing.T, file string, lines []string, forms []Form) {
	t.Helper()
	recorded, _ := Recorded(t, file, lines)
	byName := map[string]Form{}
	for _, form := range forms {
		byName[form.Name] = form
	}
	for _, text := range recorded {
		parts := strings.SplitN(text, " ", 3)
		form, found := byName[parts[0]]
		if !found {
			t.Errorf("%s: no form is named %s any more", file, parts[0])
			continue
		}
		packed, err := form.parse(parts[2])
		if err != nil {
			t.Fatal(err)
		}
		value, err := form.decode(packed)
		if err != nil {
			t.Errorf("%s %s: %v", parts[0], parts[1], err)
			continue
		}
		encoded, err := form.encode(value)
		if err != nil || form.format(encoded) != parts[2] {
			t.Errorf("%s %s: decoded and encoded again\n\t%s\nrecorded\n\t%s (%v)",
				parts[0], parts[1], form.format(encoded), parts[2], err)
		}
	}
}

// CheckKeys checks that no key of the forms is derived from a Go name.
func CheckKeys(t *testing.T, forms []Form) {
	t.Helper()
	for _, form := range forms {
		implicit, err := ImplicitKeys(form.Type)
		if err != nil {
			t.Errorf("%s: %v", form.Name, err)
		}
		for _, name := range implicit {
			t.Errorf("%s: %s has neither toarray nor a tag, so its key changes with its Go name, or it is an interface",
				form.Name, name)
		}
	}
}

// CheckLayout compares the keys, positions and kinds of all fields with the recorded ones.
// Fields may be renamed, but a recorded Go name must not be used for another field of the
// same struct: otherwise two fields of one kind that are swapped would not be detected.
func CheckLayout(t *testing.T, file string, forms []Form) {
	t.Helper()
	var lines []string
	for _, form := range forms {
		own, err := Layout(form.Type, form.Name)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, own...)
	}
	recorded, found := Recorded(t, file, lines)
	if !found {
		return
	}
	current, before := byPath(lines), byPath(recorded)
	for path, field := range before {
		now, found := current[path]
		if !found || now.kind != field.kind {
			t.Errorf("%s: %s was a %s and is a %s", file, path, field.kind, now.kind)
		}
	}
	names := map[string]string{}
	for path, field := range before {
		names[parent(path)+"\t"+field.name] = path
	}
	for path, field := range current {
		if _, found := before[path]; !found {
			t.Errorf("%s: %s is new", file, path)
		}
		if earlier, found := names[parent(path)+"\t"+field.name]; found && earlier != path {
			t.Errorf("%s: %s was named %s, which is now the name of %s", file, earlier, field.name, path)
		}
	}
}

type layoutField struct{ name, kind string }

func byPath(lines []string) map[string]layoutField {
	paths := map[string]layoutField{}
	for _, text := range lines {
		parts := strings.Split(text, "\t")
		paths[parts[0]] = layoutField{name: parts[1], kind: parts[2]}
	}
	return paths
}

func parent(path string) string { return path[:strings.LastIndex(path, "/")] }

// CheckJSONKeys checks that no JSON key of the forms is derived from a Go name.
func CheckJSONKeys(t *testing.T, forms []Form) {
	t.Helper()
	for _, form := range forms {
		err := walk(form.Type, form.Name, map[reflect.Type]bool{}, func(owner reflect.Type, _ string, field Field) {
			key, _, _ := strings.Cut(owner.Field(field.Index).Tag.Get("json"), ",")
			if key == "" {
				t.Errorf("%s: %s.%s has no json tag, so its key changes with its Go name", form.Name, owner, field.Name)
			}
		})
		if err != nil {
			t.Error(err)
		}
	}
}
