// Package partition replicates logs of kept messages on stores.
//
// A Store is the store daemon's state machine. For each partition that the controllers
// place on it, it is first or follower in one epoch. The first gives a
// message its offset, syncs it, and sends it to the follower, which refuses
// older epochs, syncs it too and says so; only then is the message accepted. A
// first whose follower is not yet complete accepts nothing new; it copies,
// tells the primary when the copy is whole, and waits for that to be recorded.
// A store that has just started serves nothing until it has fresh news.
package partition

import (
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
	"dahlialock/internal/transport"
)

// Spans of a store's work.
const (
	replicateInterval     = 150 * time.Millisecond
	maxCommitLag          = 400 * time.Millisecond
	appendTimeout         = 600 * time.Millisecond
	reportInterval        = 400 * time.Millisecond
	retentionInterval     = 5 * time.Second
	subscriptionTimeout   = 6 * time.Second
	highWatermarkInterval = 400 * time.Millisecond
	minCheckpointBytes    = 8 << 20
	maxFetchRecords       = 512
	maxFetchBytes         = 1 << 20
	maxReplicateRecords   = 512
	maxReplicateBackoff   = 8
	retryAfter            = 2 * time.Second
	sharedRetryAfter      = 200 * time.Millisecond
	// minRetentionMemory is for how long a holding that was taken back counts on, so
	// that a space which comes again finds what it held.
	minRetentionMemory = 5 * time.Minute
)

// Stop asks the store to end in good order.
type Stop struct{}

// Settings are a store daemon's settings.
type Settings struct {
	Self    membership.Member
	Seeds   []string
	NewDisk string
	// RedeliveryWindow is how long a caller may send an accepted message again.
	RedeliveryWindow time.Duration
	// ShutdownGrace is for how long a daemon that was asked to end is let run.
	ShutdownGrace time.Duration
	// Acknowledge is within what time a proper order is to be acknowledged.
	Acknowledge time.Duration
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
}

// Request is an operator's request at this daemon's own ctl.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// FindDecisions asks the ring of recorded decisions.
type FindDecisions struct {
	Local                     uint64
	Request, Message, Session string
}

// Counts are running sums for measurements.
type Counts struct {
	Appends            uint64 `json:"Appends"`
	Accepted           uint64 `json:"Accepted"`
	Duplicates         uint64 `json:"Again"`
	Rejected           uint64 `json:"RefusedRequests"`
	ReplicateRequests  uint64 `json:"Copies"`
	ReplicatedRecords  uint64 `json:"CopyRecords"`
	SnapshotsSent      uint64 `json:"Frames"`
	Fetches            uint64 `json:"Fetches"`
	FetchRecords       uint64 `json:"FetchRecords"`
	Writes             uint64 `json:"Writes"`
	HighWatermarksSent uint64 `json:"HeadsOut"`
}

// Store is the state machine.
type Store struct {
	settings             Settings
	disk                 string
	newDisk              bool
	replicas             map[string]*replica
	view                 *membership.ViewClient
	detector             *membership.FailureDetector
	controlClient        *controlclient.ControlClient
	timers               *statemachine.Timers[string]
	decisions            *decisionlog.Ring
	subscribers          map[string]*subscriber
	configuration        config.Configuration
	retention            time.Duration
	supersededRetentions []supersededRetention
	stopping             bool
	stopDeadline         time.Time

	entries                    [][]byte
	callbacks                  []syncCallback
	writeToken                 uint64
	pendingWrites              map[uint64]*pendingWrite
	diskUnavailable            bool
	syncedWriteStart           time.Time
	diskDelay                  time.Duration
	followerDelays             map[string]time.Duration
	slowDiskReportedAt         map[string]time.Time
	logBytes, checkpointBytes  int
	toReplicate                map[string]bool
	leaderCount, followerCount int
	Counts                     Counts
}

// New makes a store from what its disk held.
func New(settings Settings, frame []byte, entries [][]byte) (*Store, error) {
	store := &Store{
		settings: settings, replicas: map[string]*replica{}, timers: statemachine.NewTimers[string](), decisions: decisionlog.NewRing(settings.Self.Name),
		subscribers: map[string]*subscriber{}, pendingWrites: map[uint64]*pendingWrite{}, toReplicate: map[string]bool{},
		checkpointBytes: minCheckpointBytes, followerDelays: map[string]time.Duration{}, slowDiskReportedAt: map[string]time.Time{},
	}
	if len(frame) > 0 {
		var stored diskSnapshot
		if err := transport.Unmarshal(frame, &stored); err != nil {
			return nil, err
		}
		store.disk = stored.Disk
		for name, log := range stored.Partitions {
			store.replicas[name] = newReplica(log)
		}
	}
	for _, packed := range entries {
		if err := store.replay(packed); err != nil {
			return nil, err
		}
	}
	if store.disk == "" {
		store.disk, store.newDisk = settings.NewDisk, true
	}
	for _, partition := range store.replicas {
		partition.syncedOffset, _ = partition.log.end()
	}
	store.settings.Self.Disk = store.disk
	store.view = membership.NewViewClient(store.settings.Self, settings.Incarnation, settings.Seeds, store.load)
	store.detector = membership.NewFailureDetector(store.settings.Self)
	store.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: store.view.Upstream, Next: store.view.NextController, Relays: store.view.Relays,
	})
	return store, nil
}

func (s *Store) load() membership.Load {
	return membership.Load{Ready: s.Ready(), Requests: s.Counts.Appends}
}

// Ready tells whether the store serves.
func (s *Store) Ready() bool { return s.view.Index > 0 && !s.stopping }

// ConfigurationVersion is the configuration version in force here.
func (s *Store) ConfigurationVersion() uint64 { return s.view.Version }

// ViewClient gives the store's view, for its ctl.
func (s *Store) ViewClient() *membership.ViewClient { return s.view }

// Disk is the name of the disk.
func (s *Store) Disk() string { return s.disk }

// Start begins the store's work.
func (s *Store) Start(now time.Time, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.replicas) {
		partition.log.resetTimes(now)
	}
	if s.newDisk {
		s.checkpoint(now, effects)
	}
	s.view.Start(now)
	s.detector.Start(now)
	s.timers.Arm("trim", now.Add(retentionInterval))
}

// NextTick is when the store wants to run again.
func (s *Store) NextTick() time.Time {
	return statemachine.Earliest(s.view.NextTick(), s.detector.NextTick(), s.controlClient.NextTick(), s.timers.Next())
}

// HandleCommand takes what the adapters bring.
func (s *Store) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case statemachine.Synced:
		s.handleSynced(now, body.Token, effects)
	case statemachine.DiskUnavailable:
		s.handleDiskUnavailable(now, effects)
	case Request:
		s.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Respond(body.Local, s.decisions.Find(body.Request, body.Message, body.Session))
	case Stop:
		s.beginShutdown(now, effects)
	}
	s.flush(now, effects)
}

// Tick runs whatever is due.
func (s *Store) Tick(now time.Time, effects *statemachine.Effects) {
	s.view.Tick(now, effects)
	s.detector.Tick(now, effects)
	s.controlClient.Tick(now, effects)
	for _, key := range s.timers.Expired(now) {
		switch {
		case key == "trim":
			s.applyRetention(now)
			s.dropUnassigned(now, effects)
		case key == "copy":
			s.retryReplication(now, effects)
		case key == "probe":
			s.probeDisk(now)
		case key == "leave":
			s.drain(now, effects)
		case key == "tell":
			s.reportReplicated(now, effects)
		case strings.HasPrefix(key, "heads "):
			s.sendHighWatermarks(now, strings.TrimPrefix(key, "heads "), false, effects)
		}
	}
	s.flush(now, effects)
}

// HandleMessage takes what other daemons say.
func (s *Store) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	s.detector.ReceiveFromPeer(now)
	if meta.Version > s.view.Version {
		s.view.PollNow(now)
	}
	switch body := message.(type) {
	case membership.ViewUpdate:
		s.handleViewUpdate(now, body, effects)
	case membership.Redirect:
		s.view.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		s.detector.ReceiveHeartbeat(now, body)
	case membership.ControlResponse:
		s.controlClient.HandleResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		s.view.RespondToConfigurationRequest(meta.From, body, effects)
	case Append:
		s.handleAppend(now, meta.From, body, effects)
	case Replicate:
		s.handleReplicate(now, meta.From, body, effects)
	case ReplicateResponse:
		s.handleReplicateResponse(now, meta.From, body, effects)
	case InstallSnapshot:
		s.handleInstallSnapshot(now, meta.From, body, effects)
	case Fetch:
		s.handleFetch(meta.From, body, effects)
	case FetchTopics:
		s.handleFetchTopics(meta.From, body, effects)
	case SenderStateRequest:
		s.handleSenderStateRequest(now, meta.From, body, effects)
	case SubscribeHighWatermarks:
		s.handleSubscribe(now, meta.From, body, effects)
	}
	s.flush(now, effects)
}

func (s *Store) replicaID() string { return s.settings.Self.ReplicaID() }
