// Package foghorn writes the numbered log events. The catalogue below is the
// only place where a number gets its words; docs/events.md is the same list
// for operators, and a test keeps the two equal.
package foghorn

import (
	"io"

	"github.com/sirupsen/logrus"

	"dahlialock/internal/helm"
)

// Words are an event's level and text.
type Words struct {
	Level logrus.Level
	Text  string
}

// Numbers of the events.
const (
	DaemonStarted      = 1001
	DaemonStopping     = 1002
	DaemonStopped      = 1003
	PropsTaken         = 1010
	PropsRefused       = 1011
	LinkGarbage        = 1020
	InvariantBroken    = 1030
	DiskTorn           = 1040
	DiskDamaged        = 1041
	DiskRefused        = 1042
	Founded            = 2001
	EpochDecided       = 2002
	TenureGained       = 2003
	TenureLost         = 2004
	BackupLost         = 2005
	BackupComplete     = 2006
	TakeoverBegun      = 2007
	Recalled           = 2008
	BackupNear         = 2009
	RosterChanged      = 2010
	StandsBy           = 2011
	BackupSlow         = 2012
	TenureYielded      = 2013
	ConfigurationTaken = 2020
	ConfigurationError = 2021
	MemberJoined       = 2030
	MemberSuspected    = 2031
	MemberLost         = 2032
	PlacementChanged   = 2040
	PlacementComplete  = 2041
	KeeperRetired      = 2042
	KeeperAiling       = 2043
	KeeperWell         = 2044
	NewsTaken          = 3001
	Isolated           = 3002
	Ready              = 3003
	NotReady           = 3004
	ChannelOpened      = 3010
	ChannelClosed      = 3011
	ChannelSlow        = 3012
	ChannelMoved       = 3013
	HoleFound          = 3020
	HoleFilled         = 3021
	StrandFirst        = 4001
	StrandFrameSent    = 4003
	StrandFrameTaken   = 4004
	StrandOlderEpoch   = 4005
	LanternRested      = 5001
	LanternWoken       = 5002
)

// Catalogue gives each number its level and words.
var Catalogue = map[int]Words{
	DaemonStarted:      {logrus.InfoLevel, "daemon started"},
	DaemonStopping:     {logrus.InfoLevel, "daemon asked to stop"},
	DaemonStopped:      {logrus.InfoLevel, "daemon stopped"},
	PropsTaken:         {logrus.InfoLevel, "changed settings taken"},
	PropsRefused:       {logrus.ErrorLevel, "changed settings refused, the old ones stay"},
	LinkGarbage:        {logrus.WarnLevel, "unreadable frame, link closed"},
	InvariantBroken:    {logrus.FatalLevel, "invariant broken, stopping"},
	DiskTorn:           {logrus.WarnLevel, "torn tail cut from the log on disk"},
	DiskDamaged:        {logrus.ErrorLevel, "disk damaged, copy will be rebuilt"},
	DiskRefused:        {logrus.ErrorLevel, "disk refuses a write, trying again"},
	Founded:            {logrus.InfoLevel, "pilots founded the first epoch"},
	EpochDecided:       {logrus.InfoLevel, "epoch decided"},
	TenureGained:       {logrus.InfoLevel, "tenure gained"},
	TenureLost:         {logrus.WarnLevel, "tenure lost"},
	BackupLost:         {logrus.WarnLevel, "backup lost, choosing a spare"},
	BackupComplete:     {logrus.InfoLevel, "backup holds the whole state"},
	TakeoverBegun:      {logrus.WarnLevel, "backup asks to take over"},
	Recalled:           {logrus.WarnLevel, "blank pilot recalled the epoch from a majority"},
	BackupNear:         {logrus.InfoLevel, "backup is in the primary's locality, choosing another"},
	RosterChanged:      {logrus.InfoLevel, "roster of pilots changed"},
	StandsBy:           {logrus.InfoLevel, "pilot stands by outside the roster"},
	BackupSlow:         {logrus.WarnLevel, "backup slow to sync, choosing a spare"},
	TenureYielded:      {logrus.InfoLevel, "tenure given back"},
	ConfigurationTaken: {logrus.InfoLevel, "configuration taken"},
	ConfigurationError: {logrus.WarnLevel, "configuration refused"},
	MemberJoined:       {logrus.InfoLevel, "member joined"},
	MemberSuspected:    {logrus.WarnLevel, "watcher hears nothing from a member"},
	MemberLost:         {logrus.WarnLevel, "member taken for lost"},
	PlacementChanged:   {logrus.InfoLevel, "strand placed anew"},
	PlacementComplete:  {logrus.InfoLevel, "strand has all its synced copies"},
	KeeperRetired:      {logrus.InfoLevel, "keeper retired"},
	KeeperAiling:       {logrus.WarnLevel, "keeper's disk lags, its strands go to others"},
	KeeperWell:         {logrus.InfoLevel, "keeper may be given strands again"},
	NewsTaken:          {logrus.InfoLevel, "configuration in force"},
	Isolated:           {logrus.WarnLevel, "no other daemon heard, refusing visits"},
	Ready:              {logrus.InfoLevel, "daemon ready"},
	NotReady:           {logrus.InfoLevel, "daemon not ready"},
	ChannelOpened:      {logrus.DebugLevel, "channel opened"},
	ChannelClosed:      {logrus.DebugLevel, "channel closed"},
	ChannelSlow:        {logrus.WarnLevel, "slow subscriber cut"},
	ChannelMoved:       {logrus.DebugLevel, "origin asked to move"},
	HoleFound:          {logrus.DebugLevel, "hole in a strand found"},
	HoleFilled:         {logrus.DebugLevel, "hole in a strand filled"},
	StrandFirst:        {logrus.InfoLevel, "keeper is first for strands"},
	StrandFrameSent:    {logrus.InfoLevel, "strand frame sent to the understudy"},
	StrandFrameTaken:   {logrus.InfoLevel, "strand frame taken"},
	StrandOlderEpoch:   {logrus.WarnLevel, "older epoch of a strand refused"},
	LanternRested:      {logrus.InfoLevel, "lantern rests"},
	LanternWoken:       {logrus.InfoLevel, "lantern woken"},
}

// Foghorn is a daemon's log.
type Foghorn struct {
	logger *logrus.Logger
	name   string
}

// New writes events of one daemon to a writer, a line each.
func New(writer io.Writer, name string, level logrus.Level) *Foghorn {
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	logger.SetLevel(level)
	return &Foghorn{logger: logger, name: name}
}

// Sound writes one event.
func (foghorn *Foghorn) Sound(note helm.Note) {
	words, found := Catalogue[note.Number]
	if !found {
		words = Words{Level: logrus.ErrorLevel, Text: "event without a catalogue entry"}
	}
	level := words.Level
	if level == logrus.FatalLevel {
		level = logrus.ErrorLevel
	}
	fields := logrus.Fields{"number": note.Number, "daemon": foghorn.name}
	for name, value := range note.Fields {
		fields[name] = value
	}
	foghorn.logger.WithFields(fields).Log(level, words.Text)
}

// Report writes one event with pairs of field and value.
func (foghorn *Foghorn) Report(number int, fields ...any) {
	var effects helm.Effects
	effects.Note(number, fields...)
	foghorn.Sound(effects.Notes[0])
}

// SetLevel changes which events are written.
func (foghorn *Foghorn) SetLevel(level logrus.Level) { foghorn.logger.SetLevel(level) }
