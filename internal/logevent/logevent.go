// Package logevent writes the numbered log events. The catalogue below is the
// only place where a number gets its words; docs/events.md is the same list
// for operators, and a test keeps the two equal.
package logevent

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahlialock/internal/statemachine"
)

// Words are an event's level and text.
type Words struct {
	Level logrus.Level
	Text  string
}

// Numbers of the events.
const (
	DaemonStarted       = 1001
	DaemonStopping      = 1002
	DaemonStopped       = 1003
	SettingsTaken       = 1010
	SettingsRefused     = 1011
	LinkGarbage         = 1020
	TrafficTold         = 1021
	InvariantBroken     = 1030
	DiskTorn            = 1040
	DiskDamaged         = 1041
	DiskRefused         = 1042
	Founded             = 2001
	EpochDecided        = 2002
	LeaseGained         = 2003
	LeaseLost           = 2004
	BackupLost          = 2005
	BackupComplete      = 2006
	TakeoverBegun       = 2007
	Recalled            = 2008
	BackupNear          = 2009
	VotersChanged       = 2010
	StandsBy            = 2011
	BackupSlow          = 2012
	LeaseYielded        = 2013
	ConfigurationTaken  = 2020
	ConfigurationError  = 2021
	MemberJoined        = 2030
	MemberSuspected     = 2031
	MemberLost          = 2032
	MemberForgotten     = 2033
	PlacementChanged    = 2040
	PlacementComplete   = 2041
	StoreRetired        = 2042
	StoreDegraded       = 2043
	StoreWell           = 2044
	NewsTaken           = 3001
	Isolated            = 3002
	Ready               = 3003
	NotReady            = 3004
	ChannelOpened       = 3010
	ChannelClosed       = 3011
	ChannelSlow         = 3012
	ChannelMoved        = 3013
	HoleFound           = 3020
	HoleFilled          = 3021
	PartitionFirst      = 4001
	PartitionFrameSent  = 4003
	PartitionFrameTaken = 4004
	PartitionOlderEpoch = 4005
	GatewayRested       = 5001
	GatewayWoken        = 5002
)

// Catalogue gives each number its level and words.
var Catalogue = map[int]Words{
	DaemonStarted:       {logrus.InfoLevel, "daemon started"},
	DaemonStopping:      {logrus.InfoLevel, "daemon asked to stop"},
	DaemonStopped:       {logrus.InfoLevel, "daemon stopped"},
	SettingsTaken:       {logrus.InfoLevel, "changed settings taken"},
	SettingsRefused:     {logrus.ErrorLevel, "changed settings refused, the old ones stay"},
	LinkGarbage:         {logrus.WarnLevel, "unreadable frame, link closed"},
	TrafficTold:         {logrus.InfoLevel, "what crossed the links, by kind"},
	InvariantBroken:     {logrus.FatalLevel, "invariant broken, stopping"},
	DiskTorn:            {logrus.WarnLevel, "torn tail cut from the log on disk"},
	DiskDamaged:         {logrus.ErrorLevel, "disk damaged, copy will be rebuilt"},
	DiskRefused:         {logrus.ErrorLevel, "disk refuses a write, trying again"},
	Founded:             {logrus.InfoLevel, "controllers founded the first epoch"},
	EpochDecided:        {logrus.InfoLevel, "epoch decided"},
	LeaseGained:         {logrus.InfoLevel, "lease gained"},
	LeaseLost:           {logrus.WarnLevel, "lease lost"},
	BackupLost:          {logrus.WarnLevel, "backup lost, choosing a spare"},
	BackupComplete:      {logrus.InfoLevel, "backup holds the whole state"},
	TakeoverBegun:       {logrus.WarnLevel, "backup asks to take over"},
	Recalled:            {logrus.WarnLevel, "blank controller recalled the epoch from a majority"},
	BackupNear:          {logrus.InfoLevel, "backup is in the primary's zone, choosing another"},
	VotersChanged:       {logrus.InfoLevel, "voters of controllers changed"},
	StandsBy:            {logrus.InfoLevel, "controller stands by outside the voters"},
	BackupSlow:          {logrus.WarnLevel, "backup slow to sync, choosing a spare"},
	LeaseYielded:        {logrus.InfoLevel, "lease given back"},
	ConfigurationTaken:  {logrus.InfoLevel, "configuration taken"},
	ConfigurationError:  {logrus.WarnLevel, "configuration refused"},
	MemberJoined:        {logrus.InfoLevel, "member joined"},
	MemberSuspected:     {logrus.WarnLevel, "watcher hears nothing from a member"},
	MemberLost:          {logrus.WarnLevel, "member taken for lost"},
	MemberForgotten:     {logrus.InfoLevel, "member that was lost for long is forgotten"},
	PlacementChanged:    {logrus.InfoLevel, "partition placed anew"},
	PlacementComplete:   {logrus.InfoLevel, "partition has all its synced copies"},
	StoreRetired:        {logrus.InfoLevel, "store retired"},
	StoreDegraded:       {logrus.WarnLevel, "store's disk lags, its partitions go to others"},
	StoreWell:           {logrus.InfoLevel, "store may be given partitions again"},
	NewsTaken:           {logrus.InfoLevel, "configuration in force"},
	Isolated:            {logrus.WarnLevel, "no other daemon heard, refusing requests"},
	Ready:               {logrus.InfoLevel, "daemon ready"},
	NotReady:            {logrus.InfoLevel, "daemon not ready"},
	ChannelOpened:       {logrus.DebugLevel, "channel opened"},
	ChannelClosed:       {logrus.DebugLevel, "channel closed"},
	ChannelSlow:         {logrus.WarnLevel, "slow subscriber cut"},
	ChannelMoved:        {logrus.DebugLevel, "origin asked to move"},
	HoleFound:           {logrus.DebugLevel, "hole in a partition found"},
	HoleFilled:          {logrus.DebugLevel, "hole in a partition filled"},
	PartitionFirst:      {logrus.InfoLevel, "store is first for partitions"},
	PartitionFrameSent:  {logrus.InfoLevel, "partition snapshot sent to the follower"},
	PartitionFrameTaken: {logrus.InfoLevel, "partition snapshot taken"},
	PartitionOlderEpoch: {logrus.WarnLevel, "older epoch of a partition refused"},
	GatewayRested:       {logrus.InfoLevel, "gateway rests"},
	GatewayWoken:        {logrus.InfoLevel, "gateway woken"},
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

// Sound writes one event.
func (l *Logger) Sound(note statemachine.LogEvent) {
	words, found := Catalogue[note.Number]
	if !found {
		words = Words{Level: logrus.ErrorLevel, Text: "event without a catalogue entry"}
	}
	level := words.Level
	if level == logrus.FatalLevel {
		level = logrus.ErrorLevel
	}
	fields := logrus.Fields{"number": note.Number, "daemon": l.name}
	for name, value := range note.Fields {
		fields[name] = value
	}
	l.logger.WithFields(fields).Log(level, words.Text)
}

// Report writes one event with pairs of field and value.
func (l *Logger) Report(number int, fields ...any) {
	var effects statemachine.Effects
	effects.Emit(number, fields...)
	l.Sound(effects.LogEvents[0])
}

// SetLevel changes which events are written.
func (l *Logger) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }
