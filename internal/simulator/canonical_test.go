package simulator

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type outcomeText string

type plainAnswer struct {
	Status int
	Code   string
	fields map[string]any
	at     *time.Time
}

type renamedAnswer struct {
	Result  uint16
	Reason  outcomeText
	details detailsAnswer
	moment  *time.Time
}

type detailsAnswer struct {
	Topics int    `json:"topics"`
	Held   string `json:"held,omitempty"`
	Area   string `json:"area"`
}

type eventBefore struct {
	Name string `json:"name"`
	Body []byte `json:"-"`
	Seq  uint64 `json:"seq,omitempty"`
}

type eventAfter struct {
	Sequence int         `json:"seq,omitempty"`
	Title    outcomeText `json:"name"`
	Payload  []byte      `json:"-"`
}

func canonical(value any) string { return string(appendValue(nil, value)) }

func TestCanonicalFormIsFreeOfNames(t *testing.T) {
	before := plainAnswer{Status: 200, Code: "full", fields: map[string]any{"area": "a", "topics": uint64(3)}, at: nil}
	after := renamedAnswer{Result: 200, Reason: "full", details: detailsAnswer{Topics: 3, Area: "a"}, moment: nil}
	assert.Equal(t, canonical(before), canonical(after))
	assert.Equal(t, canonical(&before), canonical(after))
	assert.Equal(t, canonical(eventBefore{Name: "x", Body: []byte("y"), Seq: 4}), canonical(eventAfter{Title: "x", Payload: []byte("y"), Sequence: 4}))
	assert.Equal(t, canonical(map[outcomeText]int{"a": 1, "b": 2}), canonical(map[string]any{"b": 2, "a": 1.0}))
	assert.Equal(t, canonical(map[string]any(nil)), canonical((*detailsAnswer)(nil)))
}

func TestCanonicalFormShowsContent(t *testing.T) {
	here := time.Unix(1, 2)
	seen := map[string]int{}
	values := []any{
		nil, true, false, 0, 1, "", "1", []byte("1"), []string{"1"}, []string{}, []string{"1", ""}, [][]byte{[]byte("1")},
		map[string]any{}, map[string]any{"a": nil}, map[string]any{"a": 0}, map[string]any{"b": 0}, map[int]int{1: 2}, map[int]int{2: 1},
		here, here.Add(1), errors.New("a"), errors.New("b"), func() {}, (func())(nil),
		plainAnswer{}, plainAnswer{Status: 1}, plainAnswer{Code: "1"}, plainAnswer{fields: map[string]any{"topics": 1}}, 1.5, -1,
		eventBefore{}, eventBefore{Body: []byte("1")}, eventBefore{Name: "1"}, eventBefore{Seq: 1}, detailsAnswer{}, detailsAnswer{Held: "1"},
	}
	for number, value := range values {
		form := canonical(value)
		earlier, found := seen[form]
		assert.Check(t, !found, "%#v and %#v have the same encoding", values[max(0, earlier)], value)
		seen[form] = number
	}
}
