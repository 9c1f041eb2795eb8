package transport

import "reflect"

// Message types by number and the reverse. They are filled by init functions
// and only read afterwards.
var (
	numberOfType = map[reflect.Type]uint16{}
	typeOfNumber = map[uint16]reflect.Type{}
)

// MustRegister gives the type of a message its number on the wire. It is called
// from init functions, and panics if the number is taken or out of range.
func MustRegister(number uint16, prototype any) {
	kind := reflect.TypeOf(prototype)
	if number >= addressFlag {
		panic("transport: number out of range, wanted by " + kind.String())
	}
	if earlier, found := typeOfNumber[number]; found {
		panic("transport: number taken by " + earlier.String() + ", wanted by " + kind.String())
	}
	numberOfType[kind] = number
	typeOfNumber[number] = kind
}

// numberOf returns the number of a message's type, 0 if it isn't registered; by
// that number such a message counts as one of the control state.
func numberOf(message any) uint16 { return numberOfType[reflect.TypeOf(message)] }

// Numbers returns the registered numbers with the names of their types.
func Numbers() map[uint16]string {
	names := make(map[uint16]string, len(typeOfNumber))
	for number, kind := range typeOfNumber {
		names[number] = kind.String()
	}
	return names
}

// Prototype returns a new zero message of a registered number.
func Prototype(number uint16) (any, bool) {
	kind, found := typeOfNumber[number]
	if !found {
		return nil, false
	}
	return reflect.New(kind).Elem().Interface(), true
}
