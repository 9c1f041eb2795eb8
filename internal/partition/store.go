package partition

import (
	"time"

	"dahlialock/internal/config"
	"dahlialock/internal/controlclient"
	"dahlialock/internal/decisionlog"
	"dahlialock/internal/membership"
	"dahlialock/internal/statemachine"
)

// Settings are a store daemon's settings.
type Settings struct {
	// Self is the store as a member of the cluster. New sets its disk.
	Self membership.Member
	// Seeds are the addresses of controllers to ask for the first view.
	Seeds []string
	// NewDisk is the name given to the disk if it is empty; any other disk has a name already.
	NewDisk string
	// RedeliveryWindow is how long a client may send an accepted message again.
	RedeliveryWindow time.Duration
	// ShutdownGrace is how long a daemon that was asked to stop may keep running;
	// defaultShutdownGrace if zero.
	ShutdownGrace time.Duration
	// AcknowledgeTimeout is the time within which an operator's request is to be acknowledged.
	AcknowledgeTimeout time.Duration
	// MemoryBytes is the memory that the store may use, 0 if it isn't limited. It bounds how long expired
	// records stay readable.
	MemoryBytes int64
	// Incarnation identifies this run of the process.
	Incarnation statemachine.Incarnation
}

// Request is a command: an operator's request to the ctl interface of this daemon. It is
// forwarded to the primary controller. Local is the number that the daemon assigned to the
// request; the response is returned under it.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// FindDecisions is a command: it looks up the recorded decisions about a request, a message or a
// session. The response is a list of decisionlog.Entry; Local is as in Request.
type FindDecisions struct {
	Local   uint64
	Request string
	Message string
	Session string
}

// Stop is a command: it starts a graceful shutdown of the store.
type Stop struct{}

// Counts are cumulative counters, read by ctl and by tests.
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

// Store is the state machine of a store daemon. See the package comment for how it is driven.
type Store struct {
	// Counts is read by ctl; only the store changes it.
	Counts Counts

	settings Settings
	// disk is the name of the disk. newDisk is set if this run assigned the name.
	disk    string
	newDisk bool

	replicas map[string]*replica
	// toReplicate names the partitions that the leader replicates at the end of the step.
	toReplicate map[string]bool
	subscribers map[string]*subscriber

	view          *membership.ViewClient
	detector      *membership.FailureDetector
	controlClient *controlclient.ControlClient
	timers        *statemachine.Timers[timer]
	decisions     *decisionlog.Ring
	// leaderCount and followerCount are the numbers of replicas in these roles as last logged.
	leaderCount   int
	followerCount int

	configuration config.Configuration
	// retention is the policy that the configuration requires in shared partitions.
	retention            retentionPolicy
	supersededRetentions []supersededRetention

	writes    writeQueue
	diskTimes diskTimes

	// stopping is set once the store was asked to stop. It stops at stopDeadline at the latest.
	stopping     bool
	stopDeadline time.Time
}

// New creates a store from the newest snapshot on its disk, which is empty on a new disk, and the
// entries after it. It fails with ErrorUnreadable if they can't be decoded.
func New(settings Settings, snapshot []byte, entries [][]byte) (*Store, error) {
	store := &Store{
		settings:    settings,
		replicas:    map[string]*replica{},
		toReplicate: map[string]bool{},
		subscribers: map[string]*subscriber{},
		timers:      statemachine.NewTimers[timer](),
		decisions:   decisionlog.NewRing(settings.Self.Name),
		writes:      newWriteQueue(),
		diskTimes:   newDiskTimes(),
	}
	if err := store.restore(snapshot, entries); err != nil {
		return nil, err
	}
	if store.disk == "" {
		store.disk, store.newDisk = settings.NewDisk, true
	}
	store.settings.Self.Disk = store.disk
	store.view = membership.NewViewClient(store.settings.Self, settings.Incarnation, settings.Seeds, store.load)
	store.detector = membership.NewFailureDetector(store.settings.Self)
	store.controlClient = controlclient.New(controlclient.Settings{
		Incarnation:        settings.Incarnation,
		AcknowledgeTimeout: settings.AcknowledgeTimeout,
		Upstream:           store.view.Upstream,
		NextController:     store.view.NextController,
		Relays:             store.view.Relays,
	})
	return store, nil
}

func (s *Store) load() membership.Load {
	return membership.Load{Ready: s.Ready(), Requests: s.Counts.Appends}
}

// Ready reports whether the store serves requests: it has a view and isn't shutting down.
func (s *Store) Ready() bool { return s.view.Index > 0 && !s.stopping }

// ConfigurationVersion returns the version of the configuration in force on this store.
func (s *Store) ConfigurationVersion() uint64 { return s.view.Version }

// ViewClient returns the client that maintains the store's view, for its ctl.
func (s *Store) ViewClient() *membership.ViewClient { return s.view }

// Disk returns the name of the disk.
func (s *Store) Disk() string { return s.disk }

// SetMemoryBytes sets the memory that the store may use, 0 if it isn't limited.
func (s *Store) SetMemoryBytes(limit int64) { s.settings.MemoryBytes = limit }

// Start starts the store. It is called once, before any other step.
func (s *Store) Start(now time.Time, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.replicas) {
		partition.log.resetTimes(now)
	}
	if s.newDisk {
		s.checkpoint(now, effects)
	}
	s.view.Start(now)
	s.detector.Start(now)
	s.timers.Arm(timerRetention, now.Add(retentionInterval))
}

// NextTick returns when Tick is to be called next.
func (s *Store) NextTick() time.Time {
	return statemachine.Earliest(
		s.view.NextTick(),
		s.detector.NextTick(),
		s.controlClient.NextTick(),
		s.timers.Next(),
	)
}

// HandleCommand handles a command from the daemon that runs the store.
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
	s.endStep(now, effects)
}

// Tick runs the timers that have expired.
func (s *Store) Tick(now time.Time, effects *statemachine.Effects) {
	s.view.Tick(now, effects)
	s.detector.Tick(now, effects)
	s.controlClient.Tick(now, effects)
	for _, expired := range s.timers.Expired(now) {
		switch expired {
		case timerReplicate:
			s.retryReplication(now, effects)
		case timerDrain:
			s.drain(now, effects)
		case timerProbeDisk:
			s.probeDisk(now)
		case timerReportReplicated:
			s.reportReplicated(now, effects)
		case timerRetention:
			s.applyRetention(now)
			s.dropUnassigned(now, effects)
		default:
			if address, found := expired.subscriber(); found {
				s.sendHighWatermarks(now, address, false, effects)
			}
		}
	}
	s.endStep(now, effects)
}

// HandleMessage handles a message from another daemon.
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
		s.handleFetchTopics(now, meta.From, body, effects)
	case SenderStateRequest:
		s.handleSenderStateRequest(now, meta.From, body, effects)
	case SubscribeHighWatermarks:
		s.handleSubscribe(now, meta.From, body, effects)
	}
	s.endStep(now, effects)
}

// endStep sends one request to each follower of the partitions to replicate, and passes the
// entries logged in the step to the disk as one write.
func (s *Store) endStep(now time.Time, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(s.toReplicate) {
		if partition, found := s.replicas[name]; found {
			s.replicate(now, partition, effects)
		}
	}
	clear(s.toReplicate)
	s.flush(now, effects)
}
