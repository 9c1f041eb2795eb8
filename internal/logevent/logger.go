// Package logevent writes the numbered log events of the daemons.
//
// State machines emit events by number with their fields (statemachine.LogEvent);
// the Catalogue gives each number its level and text. A Logger writes an event as one
// line of JSON with the fields number, level, msg, daemon, time and the event's own.
package logevent

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahlialock/internal/statemachine"
)

// Logger writes the log of one daemon.
type Logger struct {
	logger *logrus.Logger
	name   string
}

// New returns a logger that writes the events of the daemon called name to writer,
// one JSON object per line, at the given level and above.
func New(writer io.Writer, name string, level logrus.Level) *Logger {
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	logger.SetLevel(level)
	return &Logger{logger: logger, name: name}
}

// Write writes one event. An event of fatal level is written at error level, since logrus
// would end the process, which is left to the calling code. An event whose number isn't in
// the Catalogue is written at error level too. Write is safe for concurrent use.
func (l *Logger) Write(event statemachine.LogEvent) {
	description, found := Catalogue[event.Number]
	if !found {
		description = Description{Level: logrus.ErrorLevel, Text: "event without a catalogue entry"}
	}
	level := description.Level
	if level == logrus.FatalLevel {
		level = logrus.ErrorLevel
	}
	fields := logrus.Fields{"number": event.Number, "daemon": l.name}
	for name, value := range event.Fields {
		fields[name] = value
	}
	l.logger.WithFields(fields).Log(level, description.Text)
}

// Report writes one event. Its fields alternate between names, which are strings,
// and values. Report is safe for concurrent use.
func (l *Logger) Report(number statemachine.EventNumber, fields ...any) {
	var effects statemachine.Effects
	effects.Emit(number, fields...)
	l.Write(effects.LogEvents[0])
}

// SetLevel sets the lowest level at which events are written.
func (l *Logger) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }
