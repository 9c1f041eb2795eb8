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
	"slices"
	"strings"
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/logevent"
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

type pendingAppend struct {
	from       string
	requestID  uint64
	receivedAt time.Time
}

// followerProgress is what a first knows of one follower's copy: how far it lasts there,
// and what is on its way. Known is set once the follower, as it runs now, has
// said where it stands.
type followerProgress struct {
	name         string
	replicaID    string
	incarnation  uint64
	known        bool
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	attempts     int
	inFlight     []inFlightBatch
	snapshot     snapshotTransfer
}

// inFlightBatch is a copy that was not acknowledged yet.
type inFlightBatch struct {
	lastOffset uint64
	sentAt     time.Time
}

type replica struct {
	log           *log
	placement     membership.Placement
	placedAt      time.Time
	syncedOffset  uint64
	followers     []*followerProgress
	pending       map[uint64][]pendingAppend
	highWatermark uint64
	servingEpoch  uint64
	epochStart    uint64
	// unassignedSince is since when nobody counts on this log; zero while somebody does.
	unassignedSince time.Time
}

type subscriber struct {
	partitions []string
	expiresAt  time.Time
	reported   map[string]reportedOffset
}

// reportedOffset is what a head watcher knows of one partition; From counts for shared partitions,
// where a watcher that was told of an epoch may have missed what lay before.
type reportedOffset struct {
	epoch  uint64
	offset uint64
}

// supersededRetention is how long messages were held by a configuration that is no
// longer in force, and until when that still counts.
type supersededRetention struct {
	retention time.Duration
	expiresAt time.Time
}

type diskEntry struct {
	_         struct{} `cbor:",toarray"`
	Disk      string
	Partition string
	Record    *Record
	Snapshot  []byte
	Drop      bool
}

type diskSnapshot struct {
	Disk       string          `cbor:"Disk"`
	Partitions map[string]*log `cbor:"Partitions"`
}

type syncCallback func(now time.Time, effects *statemachine.Effects)

// pendingWrite is a write that was not said to last yet, and what waits for it. A checkpoint
// is as large as all that the store holds.
type pendingWrite struct {
	startedAt  time.Time
	checkpoint bool
	callbacks  []syncCallback
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

func newReplica(log *log) *replica { return &replica{log: log, pending: map[uint64][]pendingAppend{}} }

// retryAfter is when to come again to a partition that has too few copies at present.
func (h *replica) retryAfter() time.Duration {
	if config.IsShared(h.log.Name) {
		return sharedRetryAfter
	}
	return retryAfter
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

// News.

func (s *Store) handleViewUpdate(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	taken := s.view.HandleUpdate(now, news)
	if taken.Document {
		s.applyConfiguration(now)
	}
	if !taken.View {
		return
	}
	s.detector.SetView(now, s.view.Members, s.view.Upstream(), s.view.Index)
	firsts, followers := 0, 0
	for name, place := range statemachine.Sorted(s.view.Placements) {
		mine := place.HasReplica(s.settings.Self.Name)
		partition, found := s.replicas[name]
		if !found && mine {
			partition = newReplica(newLog(name))
			s.replicas[name] = partition
			found = true
		}
		if !found {
			continue
		}
		if mine && place.Leader == s.settings.Self.Name {
			firsts++
		} else if mine {
			followers++
		}
		s.applyPlacement(now, partition, place, effects)
	}
	s.releaseReplicas(now, effects)
	s.pruneDelays()
	if s.view.Members[s.settings.Self.Name].Degraded {
		s.timers.ArmSooner("probe", now.Add(diskProbeInterval))
	}
	if firsts != s.leaderCount || followers != s.followerCount {
		s.leaderCount, s.followerCount = firsts, followers
		effects.Emit(logevent.PartitionLeader, "partitions", firsts, "follower", followers)
	}
}

// applyConfiguration notes for how long shared partitions hold their messages: as
// long as any routed space in force asks for, and as any that was in force when
// a message came that may still be asked for.
func (s *Store) applyConfiguration(now time.Time) {
	s.configuration, _ = config.Read(s.view.Document)
	longest := config.DefaultHolding
	for _, space := range s.configuration.Spaces {
		if space.Order == config.OrderTopic && space.Retention == config.Durable {
			longest = max(longest, space.Holding)
		}
	}
	if longest < s.retention {
		s.supersededRetentions = append(s.supersededRetentions, supersededRetention{retention: s.retention, expiresAt: now.Add(max(s.retention, minRetentionMemory))})
	}
	s.retention = longest
}

// sharedRetention is how long shared partitions hold their messages at present.
func (s *Store) sharedRetention(now time.Time) time.Duration {
	s.supersededRetentions = slices.DeleteFunc(s.supersededRetentions, func(past supersededRetention) bool { return now.After(past.expiresAt) })
	longest := max(s.retention, config.DefaultHolding)
	for _, past := range s.supersededRetentions {
		longest = max(longest, past.retention)
	}
	return longest
}

func (s *Store) applyPlacement(now time.Time, partition *replica, place membership.Placement, effects *statemachine.Effects) {
	changed := place.Epoch != partition.placement.Epoch
	completed := place.Complete && !partition.placement.Complete
	partition.placement = place
	if changed {
		if place.Leader != s.settings.Self.Name {
			s.failPending(partition, "moved", effects)
		}
		partition.followers = nil
		partition.placedAt = now
		partition.servingEpoch = 0
		partition.epochStart, _ = partition.log.end()
	}
	if place.Leader == s.settings.Self.Name {
		s.updateFollowers(partition)
	} else if first, found := s.view.Members[place.Leader]; changed && found && slices.Contains(place.Followers, s.settings.Self.Name) {
		// The first may have asked before this news came.
		s.sendMismatch(partition, first.Address, effects)
	}
	if completed && place.Leader == s.settings.Self.Name {
		s.advanceHighWatermark(now, partition, effects)
	}
}

// isLeader tells whether this store, with the disk that it has now, may act as
// a partition's first: a store whose disk was wiped is named first by news that
// does not know of it yet, and holds nothing. Nor does an epoch hold for a life
// that is not a member yet: it was begun for an earlier one.
func (s *Store) isLeader(partition *replica) bool {
	return partition.placement.Leader == s.settings.Self.Name && slices.Contains(partition.placement.InSync, s.replicaID()) && s.isMember()
}

// isMember tells whether the view names this life of the store.
func (s *Store) isMember() bool {
	return s.view.Members[s.settings.Self.Name].Incarnation == s.settings.Self.Incarnation ||
		statemachine.Mutated("one-epoch-for-all-lives")
}

func (s *Store) replicaID() string { return s.settings.Self.ReplicaID() }

// Partitions tells of every partition held here, for ctl and the simulator's checks.
func (s *Store) Partitions() map[string]PartitionStatus {
	statuses := map[string]PartitionStatus{}
	for name, partition := range s.replicas {
		head, _ := partition.log.end()
		statuses[name] = PartitionStatus{
			Epoch: partition.placement.Epoch, Leader: s.isLeader(partition), Complete: partition.placement.Complete,
			Base: partition.log.BaseOffset, LastOffset: head, HighWatermark: partition.highWatermark,
			Serving: s.Ready() && s.isLeader(partition) && partition.placement.Complete && partition.servingEpoch == partition.placement.Epoch,
		}
	}
	return statuses
}

// PartitionStatus is one partition as a store sees it.
type PartitionStatus struct {
	Epoch         uint64 `json:"epoch"`
	Leader        bool   `json:"first"`
	Complete      bool   `json:"complete"`
	Base          uint64 `json:"base"`
	LastOffset    uint64 `json:"head"`
	HighWatermark uint64 `json:"accepted"`
	// Serving says that the store accepts messages at present.
	Serving bool `json:"serving"`
}
