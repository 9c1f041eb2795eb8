package transport

import "reflect"

// The registered message types. The maps are filled by init functions, and only read
// afterwards.
var (
	numberOfType = map[reflect.Type]uint16{}
	typeOfNumber = map[uint16]reflect.Type{}
)

// MustRegister assigns a number on the wire to the type of a message. It is called from
// init functions, and panics if the number is already assigned or out of range.
func MustRegister(number uint16, prototype any) {
	kind := reflect.TypeOf(prototype)
	if number >= addressFlag {
		panic("transport: message type number out of range for " + kind.String())
	}
	if earlier, found := typeOfNumber[number]; found {
		panic("transport: message type number of " + kind.String() + " is already registered for " + earlier.String())
	}
	numberOfType[kind] = number
	typeOfNumber[number] = kind
}

// numberOf returns the number of a message's type, 0 if it isn't registered. An
// unregistered message counts as one of the control state.
func numberOf(message any) uint16 { return numberOfType[reflect.TypeOf(message)] }

// Numbers returns the registered numbers with the names of their Go types.
func Numbers() map[uint16]string {
	names := make(map[uint16]string, len(typeOfNumber))
	for number, kind := range typeOfNumber {
		names[number] = kind.String()
	}
	return names
}

// Prototype returns the zero value of the message type with a number, and false if the
// number isn't registered.
func Prototype(number uint16) (any, bool) {
	kind, found := typeOfNumber[number]
	if !found {
		return nil, false
	}
	return reflect.New(kind).Elem().Interface(), true
}
