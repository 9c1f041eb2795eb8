// Package config defines the operators' configuration and parses it.
//
// A configuration is one complete JSON document with a version that increases with
// each change. It defines the spaces with their retention, ordering and limits,
// the routes from topics to spaces, the zones with the delays between them, the
// gateways to be drained, and how gateways are consolidated under low load.
//
// Parsing is strict and all-or-nothing: Read returns every Fault of a document
// with its path (unknown and duplicate keys, wrong types, trailing bytes, undefined
// names, values out of range), and a document with a fault must not take effect.
// Controllers check a document before they commit it, and all other daemons parse
// the same bytes.
//
// A Configuration isn't modified after it has been read, so it may be shared.
// Reader is also used by packages that parse other JSON documents with the same
// strictness, such as settings.
package config
