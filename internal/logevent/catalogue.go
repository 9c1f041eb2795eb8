package logevent

import (
	"github.com/sirupsen/logrus"

	"dahlialock/internal/statemachine"
)

// Description is the level and text of an event.
type Description struct {
	Level logrus.Level
	Text  string
}

// Event numbers. They are stable: operators filter and alert by them. 1xxx are events of
// all daemons, 2xxx of controllers, 3xxx of gateways, 4xxx of stores, and 5xxx of the
// consolidation of gateways.
const (
	DaemonStarted              statemachine.EventNumber = 1001
	DaemonStopping             statemachine.EventNumber = 1002
	DaemonStopped              statemachine.EventNumber = 1003
	SettingsApplied            statemachine.EventNumber = 1010
	SettingsRejected           statemachine.EventNumber = 1011
	MalformedFrame             statemachine.EventNumber = 1020
	TrafficReported            statemachine.EventNumber = 1021
	InvariantBroken            statemachine.EventNumber = 1030
	TornTailTruncated          statemachine.EventNumber = 1040
	DiskDamaged                statemachine.EventNumber = 1041
	DiskWriteFailed            statemachine.EventNumber = 1042
	FirstEpochDecided          statemachine.EventNumber = 2001
	EpochDecided               statemachine.EventNumber = 2002
	LeaseGained                statemachine.EventNumber = 2003
	LeaseLost                  statemachine.EventNumber = 2004
	BackupLost                 statemachine.EventNumber = 2005
	BackupSynchronized         statemachine.EventNumber = 2006
	TakeoverStarted            statemachine.EventNumber = 2007
	EpochRecovered             statemachine.EventNumber = 2008
	BackupInSameZone           statemachine.EventNumber = 2009
	VotersChanged              statemachine.EventNumber = 2010
	LearnerStarted             statemachine.EventNumber = 2011
	BackupSlow                 statemachine.EventNumber = 2012
	LeaseReleased              statemachine.EventNumber = 2013
	ConfigurationAccepted      statemachine.EventNumber = 2020
	ConfigurationRejected      statemachine.EventNumber = 2021
	MemberJoined               statemachine.EventNumber = 2030
	MemberSuspected            statemachine.EventNumber = 2031
	MemberLost                 statemachine.EventNumber = 2032
	MemberRemoved              statemachine.EventNumber = 2033
	PlacementChanged           statemachine.EventNumber = 2040
	PlacementReplicated        statemachine.EventNumber = 2041
	StoreRetired               statemachine.EventNumber = 2042
	StoreDegraded              statemachine.EventNumber = 2043
	StoreRecovered             statemachine.EventNumber = 2044
	ConfigurationApplied       statemachine.EventNumber = 3001
	Isolated                   statemachine.EventNumber = 3002
	Ready                      statemachine.EventNumber = 3003
	NotReady                   statemachine.EventNumber = 3004
	SessionOpened              statemachine.EventNumber = 3010
	SessionClosed              statemachine.EventNumber = 3011
	SessionTooSlow             statemachine.EventNumber = 3012
	SessionMoved               statemachine.EventNumber = 3013
	GapFound                   statemachine.EventNumber = 3020
	GapFilled                  statemachine.EventNumber = 3021
	TopicExpired               statemachine.EventNumber = 3022
	PartitionLeader            statemachine.EventNumber = 4001
	PartitionSnapshotSent      statemachine.EventNumber = 4003
	PartitionSnapshotInstalled statemachine.EventNumber = 4004
	PartitionStaleEpoch        statemachine.EventNumber = 4005
	PartitionRecordsExpired    statemachine.EventNumber = 4006
	GatewayRested              statemachine.EventNumber = 5001
	GatewayWoken               statemachine.EventNumber = 5002
)

// Catalogue describes every event number; docs/events.md has the same list.
var Catalogue = map[statemachine.EventNumber]Description{
	DaemonStarted:              {logrus.InfoLevel, "daemon started"},
	DaemonStopping:             {logrus.InfoLevel, "daemon asked to stop"},
	DaemonStopped:              {logrus.InfoLevel, "daemon stopped"},
	SettingsApplied:            {logrus.InfoLevel, "changed settings applied"},
	SettingsRejected:           {logrus.ErrorLevel, "changed settings rejected, the previous ones stay in force"},
	MalformedFrame:             {logrus.WarnLevel, "malformed frame, connection closed"},
	TrafficReported:            {logrus.InfoLevel, "traffic by message kind"},
	InvariantBroken:            {logrus.FatalLevel, "invariant broken, stopping"},
	TornTailTruncated:          {logrus.WarnLevel, "torn tail truncated from the log"},
	DiskDamaged:                {logrus.ErrorLevel, "disk damaged, replica will be rebuilt"},
	DiskWriteFailed:            {logrus.ErrorLevel, "disk rejects a write, retrying"},
	FirstEpochDecided:          {logrus.InfoLevel, "first epoch decided"},
	EpochDecided:               {logrus.InfoLevel, "epoch decided"},
	LeaseGained:                {logrus.InfoLevel, "lease gained"},
	LeaseLost:                  {logrus.WarnLevel, "lease lost"},
	BackupLost:                 {logrus.WarnLevel, "backup lost, choosing a spare"},
	BackupSynchronized:         {logrus.InfoLevel, "backup has the complete state"},
	TakeoverStarted:            {logrus.WarnLevel, "backup starts a takeover"},
	EpochRecovered:             {logrus.WarnLevel, "blank controller recovered the epoch from a majority"},
	BackupInSameZone:           {logrus.InfoLevel, "backup is in the primary's zone, choosing another"},
	VotersChanged:              {logrus.InfoLevel, "voter set changed"},
	LearnerStarted:             {logrus.InfoLevel, "controller is a learner without a vote"},
	BackupSlow:                 {logrus.WarnLevel, "backup slow to sync, choosing a spare"},
	LeaseReleased:              {logrus.InfoLevel, "lease released"},
	ConfigurationAccepted:      {logrus.InfoLevel, "configuration accepted"},
	ConfigurationRejected:      {logrus.WarnLevel, "configuration rejected"},
	MemberJoined:               {logrus.InfoLevel, "member joined"},
	MemberSuspected:            {logrus.WarnLevel, "member suspected: no heartbeats received"},
	MemberLost:                 {logrus.WarnLevel, "member declared lost"},
	MemberRemoved:              {logrus.InfoLevel, "lost member removed from the view"},
	PlacementChanged:           {logrus.InfoLevel, "partition placement changed"},
	PlacementReplicated:        {logrus.InfoLevel, "partition fully replicated"},
	StoreRetired:               {logrus.InfoLevel, "store retired"},
	StoreDegraded:              {logrus.WarnLevel, "store degraded by a slow or failing disk, its partitions move"},
	StoreRecovered:             {logrus.InfoLevel, "store healthy again, may receive partitions"},
	ConfigurationApplied:       {logrus.InfoLevel, "configuration in force"},
	Isolated:                   {logrus.WarnLevel, "no messages from other daemons, rejecting requests"},
	Ready:                      {logrus.InfoLevel, "daemon ready"},
	NotReady:                   {logrus.InfoLevel, "daemon not ready"},
	SessionOpened:              {logrus.DebugLevel, "session opened"},
	SessionClosed:              {logrus.DebugLevel, "session closed"},
	SessionTooSlow:             {logrus.WarnLevel, "slow session disconnected"},
	SessionMoved:               {logrus.DebugLevel, "session asked to move"},
	GapFound:                   {logrus.DebugLevel, "gap in a partition found"},
	GapFilled:                  {logrus.DebugLevel, "gap in a partition filled"},
	TopicExpired:               {logrus.WarnLevel, "subscriptions ended, records that the gateway lacks have expired"},
	PartitionLeader:            {logrus.InfoLevel, "store leads partitions"},
	PartitionSnapshotSent:      {logrus.InfoLevel, "partition snapshot sent to the follower"},
	PartitionSnapshotInstalled: {logrus.InfoLevel, "partition snapshot installed"},
	PartitionStaleEpoch:        {logrus.WarnLevel, "stale epoch of a partition rejected"},
	PartitionRecordsExpired:    {logrus.InfoLevel, "fetch of a topic rejected, records after its offset have expired"},
	GatewayRested:              {logrus.InfoLevel, "gateway rests"},
	GatewayWoken:               {logrus.InfoLevel, "gateway woken"},
}
