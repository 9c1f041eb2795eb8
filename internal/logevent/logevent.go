// Package logevent writes the numbered log events. The catalogue below is the
// only place where a number gets its words; docs/events.md is the same list
// for operators, and a test keeps the two equal.
package logevent

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahlialock/internal/statemachine"
)

// Description are an event's level and text.
type Description struct {
	Level logrus.Level
	Text  string
}

// Numbers of the events.
const (
	DaemonStarted              = 1001
	DaemonStopping             = 1002
	DaemonStopped              = 1003
	SettingsApplied            = 1010
	SettingsRejected           = 1011
	MalformedFrame             = 1020
	TrafficReported            = 1021
	InvariantBroken            = 1030
	DiskTorn                   = 1040
	DiskDamaged                = 1041
	DiskWriteFailed            = 1042
	Founded                    = 2001
	EpochDecided               = 2002
	LeaseGained                = 2003
	LeaseLost                  = 2004
	BackupLost                 = 2005
	BackupSynchronized         = 2006
	TakeoverStarted            = 2007
	EpochRecovered             = 2008
	BackupInSameZone           = 2009
	VotersChanged              = 2010
	LearnerStarted             = 2011
	BackupSlow                 = 2012
	LeaseReleased              = 2013
	ConfigurationAccepted      = 2020
	ConfigurationRejected      = 2021
	MemberJoined               = 2030
	MemberSuspected            = 2031
	MemberLost                 = 2032
	MemberRemoved              = 2033
	PlacementChanged           = 2040
	PlacementReplicated        = 2041
	StoreRetired               = 2042
	StoreDegraded              = 2043
	StoreRecovered             = 2044
	ConfigurationApplied       = 3001
	Isolated                   = 3002
	Ready                      = 3003
	NotReady                   = 3004
	SessionOpened              = 3010
	SessionClosed              = 3011
	SessionTooSlow             = 3012
	SessionMoved               = 3013
	GapFound                   = 3020
	GapFilled                  = 3021
	PartitionLeader            = 4001
	PartitionSnapshotSent      = 4003
	PartitionSnapshotInstalled = 4004
	PartitionStaleEpoch        = 4005
	GatewayRested              = 5001
	GatewayWoken               = 5002
)

// Catalogue gives each number its level and words.
var Catalogue = map[int]Description{
	DaemonStarted:              {logrus.InfoLevel, "daemon started"},
	DaemonStopping:             {logrus.InfoLevel, "daemon asked to stop"},
	DaemonStopped:              {logrus.InfoLevel, "daemon stopped"},
	SettingsApplied:            {logrus.InfoLevel, "changed settings taken"},
	SettingsRejected:           {logrus.ErrorLevel, "changed settings refused, the old ones stay"},
	MalformedFrame:             {logrus.WarnLevel, "unreadable frame, link closed"},
	TrafficReported:            {logrus.InfoLevel, "what crossed the links, by kind"},
	InvariantBroken:            {logrus.FatalLevel, "invariant broken, stopping"},
	DiskTorn:                   {logrus.WarnLevel, "torn tail cut from the log on disk"},
	DiskDamaged:                {logrus.ErrorLevel, "disk damaged, copy will be rebuilt"},
	DiskWriteFailed:            {logrus.ErrorLevel, "disk refuses a write, trying again"},
	Founded:                    {logrus.InfoLevel, "controllers founded the first epoch"},
	EpochDecided:               {logrus.InfoLevel, "epoch decided"},
	LeaseGained:                {logrus.InfoLevel, "lease gained"},
	LeaseLost:                  {logrus.WarnLevel, "lease lost"},
	BackupLost:                 {logrus.WarnLevel, "backup lost, choosing a spare"},
	BackupSynchronized:         {logrus.InfoLevel, "backup holds the whole state"},
	TakeoverStarted:            {logrus.WarnLevel, "backup asks to take over"},
	EpochRecovered:             {logrus.WarnLevel, "blank controller recalled the epoch from a majority"},
	BackupInSameZone:           {logrus.InfoLevel, "backup is in the primary's zone, choosing another"},
	VotersChanged:              {logrus.InfoLevel, "voters of controllers changed"},
	LearnerStarted:             {logrus.InfoLevel, "controller stands by outside the voters"},
	BackupSlow:                 {logrus.WarnLevel, "backup slow to sync, choosing a spare"},
	LeaseReleased:              {logrus.InfoLevel, "lease given back"},
	ConfigurationAccepted:      {logrus.InfoLevel, "configuration taken"},
	ConfigurationRejected:      {logrus.WarnLevel, "configuration refused"},
	MemberJoined:               {logrus.InfoLevel, "member joined"},
	MemberSuspected:            {logrus.WarnLevel, "watcher hears nothing from a member"},
	MemberLost:                 {logrus.WarnLevel, "member taken for lost"},
	MemberRemoved:              {logrus.InfoLevel, "member that was lost for long is forgotten"},
	PlacementChanged:           {logrus.InfoLevel, "partition placed anew"},
	PlacementReplicated:        {logrus.InfoLevel, "partition has all its synced copies"},
	StoreRetired:               {logrus.InfoLevel, "store retired"},
	StoreDegraded:              {logrus.WarnLevel, "store's disk lags, its partitions go to others"},
	StoreRecovered:             {logrus.InfoLevel, "store may be given partitions again"},
	ConfigurationApplied:       {logrus.InfoLevel, "configuration in force"},
	Isolated:                   {logrus.WarnLevel, "no other daemon heard, refusing requests"},
	Ready:                      {logrus.InfoLevel, "daemon ready"},
	NotReady:                   {logrus.InfoLevel, "daemon not ready"},
	SessionOpened:              {logrus.DebugLevel, "channel opened"},
	SessionClosed:              {logrus.DebugLevel, "channel closed"},
	SessionTooSlow:             {logrus.WarnLevel, "slow subscriber cut"},
	SessionMoved:               {logrus.DebugLevel, "origin asked to move"},
	GapFound:                   {logrus.DebugLevel, "hole in a partition found"},
	GapFilled:                  {logrus.DebugLevel, "hole in a partition filled"},
	PartitionLeader:            {logrus.InfoLevel, "store is first for partitions"},
	PartitionSnapshotSent:      {logrus.InfoLevel, "partition snapshot sent to the follower"},
	PartitionSnapshotInstalled: {logrus.InfoLevel, "partition snapshot taken"},
	PartitionStaleEpoch:        {logrus.WarnLevel, "older epoch of a partition refused"},
	GatewayRested:              {logrus.InfoLevel, "gateway rests"},
	GatewayWoken:               {logrus.InfoLevel, "gateway woken"},
}

// Logger is a daemon's log.
type Logger struct {
	logger *logrus.Logger
	name   string
}

// New writes events of one daemon to a writer, a line each.
func New(writer io.Writer, name string, level logrus.Level) *Logger {
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	logger.SetLevel(level)
	return &Logger{logger: logger, name: name}
}

// Write writes one event.
func (l *Logger) Write(event statemachine.LogEvent) {
	words, found := Catalogue[event.Number]
	if !found {
		words = Description{Level: logrus.ErrorLevel, Text: "event without a catalogue entry"}
	}
	level := words.Level
	if level == logrus.FatalLevel {
		level = logrus.ErrorLevel
	}
	fields := logrus.Fields{"number": event.Number, "daemon": l.name}
	for name, value := range event.Fields {
		fields[name] = value
	}
	l.logger.WithFields(fields).Log(level, words.Text)
}

// Report writes one event with pairs of field and value.
func (l *Logger) Report(number int, fields ...any) {
	var effects statemachine.Effects
	effects.Emit(number, fields...)
	l.Write(effects.LogEvents[0])
}

// SetLevel changes which events are written.
func (l *Logger) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }
