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
	// Self is the store as it joins the membership. New sets its disk.
	Self membership.Member
	// Seeds are the addresses of controllers to ask for the first view.
	Seeds []string
	// NewDisk names the disk if it is empty; otherwise it has its name already.
	NewDisk string
	// RedeliveryWindow is for how long a client may send an accepted message again.
	RedeliveryWindow time.Duration
	// ShutdownGrace is for how long a daemon that was asked to stop is left running;
	// defaultShutdownGrace if zero.
	ShutdownGrace time.Duration
	// Acknowledge is within what time an operator's request is to be acknowledged.
	Acknowledge time.Duration
	// Incarnation names this run of the process.
	Incarnation statemachine.Incarnation
}

// Request is a command: an operator's request at this daemon's own ctl. It is forwarded to
// the primary controller. Local is the host's number of the request, by which it gets the
// response.
type Request struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// FindDecisions is a command: it asks for the recorded decisions about a request, a message
// or a session. The response is a list of decisionlog.Entry; Local is as in Request.
type FindDecisions struct {
	Local   uint64
	Request string
	Message string
	Session string
}

// Stop is a command: it asks the store to shut down in good order.
type Stop struct{}

// Counts are running sums, read by ctl and by tests.
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
	// disk names the disk, and newDisk is set if this run gave it the name.
	disk    string
	newDisk bool

	replicas map[string]*replica
	// toReplicate names the partitions whose leader has something to send at the step's end.
	toReplicate map[string]bool
	subscribers map[string]*subscriber

	view          *membership.ViewClient
	detector      *membership.FailureDetector
	controlClient *controlclient.ControlClient
	timers        *statemachine.Timers[timer]
	decisions     *decisionlog.Ring
	// leaderCount and followerCount are how many replicas had these roles when last logged.
	leaderCount   int
	followerCount int

	configuration config.Configuration
	// retention is the longest that the configuration asks for in shared partitions.
	retention            time.Duration
	supersededRetentions []supersededRetention

	writes    writeQueue
	diskTimes diskTimes

	// stopping is set once the store was asked to stop; it ends at stopDeadline at the latest.
	stopping     bool
	stopDeadline time.Time
}

// New makes a store from the newest snapshot of its disk, empty on a new disk, and the
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
		Incarnation: settings.Incarnation,
		Acknowledge: settings.Acknowledge,
		Upstream:    store.view.Upstream,
		Next:        store.view.NextController,
		Relays:      store.view.Relays,
	})
	return store, nil
}

func (s *Store) load() membership.Load {
	return membership.Load{Ready: s.Ready(), Requests: s.Counts.Appends}
}

// Ready tells whether the store serves: it has a view and isn't about to stop.
func (s *Store) Ready() bool { return s.view.Index > 0 && !s.stopping }

// ConfigurationVersion is the version of the configuration in force here.
func (s *Store) ConfigurationVersion() uint64 { return s.view.Version }

// ViewClient gives the store's view, for its ctl.
func (s *Store) ViewClient() *membership.ViewClient { return s.view }

// Disk is the name of the disk.
func (s *Store) Disk() string { return s.disk }

// Start begins the store's work. It is called once, before any other step.
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

// NextTick is when the store wants to run again.
func (s *Store) NextTick() time.Time {
	return statemachine.Earliest(
		s.view.NextTick(),
		s.detector.NextTick(),
		s.controlClient.NextTick(),
		s.timers.Next(),
	)
}

// HandleCommand handles a command of the daemon around the store.
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

// Tick runs whatever is due.
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

// HandleMessage handles a message of another daemon.
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
	s.endStep(now, effects)
}

// endStep sends the followers of each partition with new records one request, and gives
// whatever the step logged to the disk as one write.
func (s *Store) endStep(now time.Time, effects *statemachine.Effects) {
	for name := range statemachine.Sorted(s.toReplicate) {
		if partition, found := s.replicas[name]; found {
			s.replicate(now, partition, effects)
		}
	}
	clear(s.toReplicate)
	s.flush(now, effects)
}
