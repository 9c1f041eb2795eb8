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
	copyEvery     = 150 * time.Millisecond
	lateAfter     = 400 * time.Millisecond
	silentFirst   = 600 * time.Millisecond
	tellEvery     = 400 * time.Millisecond
	trimEvery     = 5 * time.Second
	followFor     = 6 * time.Second
	headsEvery    = 400 * time.Millisecond
	frameLogLimit = 8 << 20
	fetchLimit    = 512
	fetchBytes    = 1 << 20
	copyLimit     = 512
	copyWaitMost  = 8
	followerBack  = 2 * time.Second
	sharedBack    = 200 * time.Millisecond
	// rememberHolding is for how long a holding that was taken back counts on, so
	// that a space which comes again finds what it held.
	rememberHolding = 5 * time.Minute
)

// Settings are a store daemon's settings.
type Settings struct {
	Self    membership.Member
	Seeds   []string
	NewDisk string
	// Redeliver is how long a caller may send an accepted message again.
	Redeliver time.Duration
	// Grace is for how long a daemon that was asked to end is let run.
	Grace time.Duration
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
	Local                    uint64
	Request, Message, Origin string
}

type waiter struct {
	from    string
	request uint64
	since   time.Time
}

// copied is what a first knows of one follower's copy: how far it lasts there,
// and what is on its way. Known is set once the follower, as it runs now, has
// said where it stands.
type copied struct {
	name        string
	holder      string
	incarnation uint64
	known       bool
	acked       uint64
	sent        uint64
	sentAt      time.Time
	tries       int
	flights     []flight
	whole       snapshot
}

// flight is a copy that was not acknowledged yet.
type flight struct {
	until uint64
	at    time.Time
}

type held struct {
	log        *log
	place      membership.Placement
	placedAt   time.Time
	synced     uint64
	copies     []*copied
	waiting    map[uint64][]waiter
	accepted   uint64
	firstSince uint64
	floor      uint64
	// spare is since when nobody counts on this log; zero while somebody does.
	spare time.Time
}

type headWatcher struct {
	partitions []string
	until      time.Time
	told       map[string]told
}

// told is what a head watcher knows of one partition; From counts for shared partitions,
// where a watcher that was told of an epoch may have missed what lay before.
type told struct {
	epoch  uint64
	offset uint64
}

// pastHolding is how long messages were held by a configuration that is no
// longer in force, and until when that still counts.
type pastHolding struct {
	holding time.Duration
	until   time.Time
}

type diskEntry struct {
	_         struct{} `cbor:",toarray"`
	Disk      string
	Partition string
	Record    *Record
	Frame     []byte
	Drop      bool
}

type diskFrame struct {
	Disk       string          `cbor:"Disk"`
	Partitions map[string]*log `cbor:"Partitions"`
}

type afterSync func(now time.Time, effects *statemachine.Effects)

// batch is a write that was not said to last yet, and what waits for it. A checkpoint
// is as large as all that the store holds.
type batch struct {
	since      time.Time
	checkpoint bool
	afters     []afterSync
}

// Counts are running sums for measurements.
type Counts struct {
	Appends         uint64 `json:"Appends"`
	Accepted        uint64 `json:"Accepted"`
	Again           uint64 `json:"Again"`
	RefusedRequests uint64 `json:"RefusedRequests"`
	Copies          uint64 `json:"Copies"`
	CopyRecords     uint64 `json:"CopyRecords"`
	Frames          uint64 `json:"Frames"`
	Fetches         uint64 `json:"Fetches"`
	FetchRecords    uint64 `json:"FetchRecords"`
	Writes          uint64 `json:"Writes"`
	HeadsOut        uint64 `json:"HeadsOut"`
}

// Store is the state machine.
type Store struct {
	settings      Settings
	disk          string
	blank         bool
	partitions    map[string]*held
	follower      *membership.ViewClient
	pulse         *membership.FailureDetector
	controlClient *controlclient.ControlClient
	timers        *statemachine.Timers[string]
	ring          *decisionlog.Ring
	watchers      map[string]*headWatcher
	config        config.Configuration
	holding       time.Duration
	past          []pastHolding
	stopping      bool
	stopBy        time.Time

	entries            [][]byte
	afters             []afterSync
	token              uint64
	pending            map[uint64]*batch
	refused            bool
	since              time.Time
	ownDelay           time.Duration
	delays             map[string]time.Duration
	lagTold            map[string]time.Time
	logBytes, logLimit int
	dirty              map[string]bool
	firsts, followers  int
	Counts             Counts
}

// New makes a store from what its disk held.
func New(settings Settings, frame []byte, entries [][]byte) (*Store, error) {
	store := &Store{
		settings: settings, partitions: map[string]*held{}, timers: statemachine.NewTimers[string](), ring: decisionlog.NewRing(settings.Self.Name),
		watchers: map[string]*headWatcher{}, pending: map[uint64]*batch{}, dirty: map[string]bool{},
		logLimit: frameLogLimit, delays: map[string]time.Duration{}, lagTold: map[string]time.Time{},
	}
	if len(frame) > 0 {
		var stored diskFrame
		if err := transport.Unmarshal(frame, &stored); err != nil {
			return nil, err
		}
		store.disk = stored.Disk
		for name, log := range stored.Partitions {
			store.partitions[name] = newHeld(log)
		}
	}
	for _, packed := range entries {
		if err := store.replay(packed); err != nil {
			return nil, err
		}
	}
	if store.disk == "" {
		store.disk, store.blank = settings.NewDisk, true
	}
	for _, partition := range store.partitions {
		partition.synced, _ = partition.log.head()
	}
	store.settings.Self.Disk = store.disk
	store.follower = membership.NewViewClient(store.settings.Self, settings.Incarnation, settings.Seeds, store.load)
	store.pulse = membership.NewFailureDetector(store.settings.Self)
	store.controlClient = controlclient.New(controlclient.Settings{
		Incarnation: settings.Incarnation, Acknowledge: settings.Acknowledge, Upstream: store.follower.Upstream, Next: store.follower.NextController, Relays: store.follower.Relays,
	})
	return store, nil
}

func newHeld(log *log) *held { return &held{log: log, waiting: map[uint64][]waiter{}} }

// back is when to come again to a partition that has too few copies at present.
func (h *held) back() time.Duration {
	if config.IsShared(h.log.Name) {
		return sharedBack
	}
	return followerBack
}

func (s *Store) load() membership.Load {
	return membership.Load{Ready: s.Ready(), Requests: s.Counts.Appends}
}

// Ready tells whether the store serves.
func (s *Store) Ready() bool { return s.follower.Index > 0 && !s.stopping }

// ConfigurationVersion is the configuration version in force here.
func (s *Store) ConfigurationVersion() uint64 { return s.follower.Version }

// ViewClient gives the store's view, for its ctl.
func (s *Store) ViewClient() *membership.ViewClient { return s.follower }

// Disk is the name of the disk.
func (s *Store) Disk() string { return s.disk }

// Start begins the store's work.
func (s *Store) Start(now time.Time, effects *statemachine.Effects) {
	for _, partition := range statemachine.Sorted(s.partitions) {
		partition.log.refresh(now)
	}
	if s.blank {
		s.checkpoint(now, effects)
	}
	s.follower.Start(now)
	s.pulse.Start(now)
	s.timers.Arm("trim", now.Add(trimEvery))
}

// NextTick is when the store wants to run again.
func (s *Store) NextTick() time.Time {
	return statemachine.Earliest(s.follower.NextTick(), s.pulse.NextTick(), s.controlClient.NextTick(), s.timers.Next())
}

// HandleCommand takes what the adapters bring.
func (s *Store) HandleCommand(now time.Time, command any, effects *statemachine.Effects) {
	switch body := command.(type) {
	case statemachine.Synced:
		s.onSynced(now, body.Token, effects)
	case statemachine.DiskUnavailable:
		s.onDiskRefused(now, effects)
	case Request:
		s.controlClient.Forward(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Respond(body.Local, s.ring.Find(body.Request, body.Message, body.Origin))
	case Stop:
		s.beginStop(now, effects)
	}
	s.flush(now, effects)
}

// Tick runs whatever is due.
func (s *Store) Tick(now time.Time, effects *statemachine.Effects) {
	s.follower.Tick(now, effects)
	s.pulse.Tick(now, effects)
	s.controlClient.Tick(now, effects)
	for _, key := range s.timers.Expired(now) {
		switch {
		case key == "trim":
			s.trim(now)
			s.dropSpares(now, effects)
		case key == "copy":
			s.recopy(now, effects)
		case key == "probe":
			s.probe(now)
		case key == "leave":
			s.leave(now, effects)
		case key == "tell":
			s.tell(now, effects)
		case strings.HasPrefix(key, "heads "):
			s.tellHeads(now, strings.TrimPrefix(key, "heads "), false, effects)
		}
	}
	s.flush(now, effects)
}

// HandleMessage takes what other daemons say.
func (s *Store) HandleMessage(now time.Time, meta statemachine.Meta, message any, effects *statemachine.Effects) {
	s.pulse.ReceiveFromPeer(now)
	if meta.Version > s.follower.Version {
		s.follower.PollNow(now)
	}
	switch body := message.(type) {
	case membership.ViewUpdate:
		s.onNews(now, body, effects)
	case membership.Redirect:
		s.follower.HandleRedirect(now, body, effects)
	case membership.Heartbeat:
		s.pulse.ReceiveHeartbeat(now, body)
	case membership.ControlResponse:
		s.controlClient.HandleResponse(now, meta.From, body, effects)
	case membership.ConfigurationRequest:
		s.follower.RespondToConfigurationRequest(meta.From, body, effects)
	case Append:
		s.onAppend(now, meta.From, body, effects)
	case Copy:
		s.onCopy(now, meta.From, body, effects)
	case CopyResponse:
		s.onCopyResponse(now, meta.From, body, effects)
	case Frame:
		s.onFrame(now, meta.From, body, effects)
	case Fetch:
		s.onFetch(meta.From, body, effects)
	case FetchTopics:
		s.onFetchTopics(meta.From, body, effects)
	case SenderAsk:
		s.onSenderAsk(now, meta.From, body, effects)
	case Follow:
		s.onFollow(now, meta.From, body, effects)
	}
	s.flush(now, effects)
}

// News.

func (s *Store) onNews(now time.Time, news membership.ViewUpdate, effects *statemachine.Effects) {
	taken := s.follower.HandleUpdate(now, news)
	if taken.Document {
		s.takeConfiguration(now)
	}
	if !taken.View {
		return
	}
	s.pulse.SetView(now, s.follower.Members, s.follower.Index)
	firsts, followers := 0, 0
	for name, place := range statemachine.Sorted(s.follower.Placements) {
		mine := place.HasReplica(s.settings.Self.Name)
		partition, found := s.partitions[name]
		if !found && mine {
			partition = newHeld(newLog(name))
			s.partitions[name] = partition
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
		s.place(now, partition, place, effects)
	}
	s.release(now, effects)
	s.forgetDelays()
	if s.follower.Members[s.settings.Self.Name].Degraded {
		s.timers.ArmSooner("probe", now.Add(probeEvery))
	}
	if firsts != s.firsts || followers != s.followers {
		s.firsts, s.followers = firsts, followers
		effects.Emit(logevent.PartitionLeader, "partitions", firsts, "follower", followers)
	}
}

// takeConfiguration notes for how long shared partitions hold their messages: as
// long as any routed space in force asks for, and as any that was in force when
// a message came that may still be asked for.
func (s *Store) takeConfiguration(now time.Time) {
	s.config, _ = config.Read(s.follower.Document)
	longest := config.DefaultRetentionTime
	for _, space := range s.config.Spaces {
		if space.Order == config.OrderTopic && space.Retention == config.Durable {
			longest = max(longest, space.RetentionTime)
		}
	}
	if longest < s.holding {
		s.past = append(s.past, pastHolding{holding: s.holding, until: now.Add(max(s.holding, rememberHolding))})
	}
	s.holding = longest
}

// sharedHolding is how long shared partitions hold their messages at present.
func (s *Store) sharedHolding(now time.Time) time.Duration {
	s.past = slices.DeleteFunc(s.past, func(past pastHolding) bool { return now.After(past.until) })
	longest := max(s.holding, config.DefaultRetentionTime)
	for _, past := range s.past {
		longest = max(longest, past.holding)
	}
	return longest
}

func (s *Store) place(now time.Time, partition *held, place membership.Placement, effects *statemachine.Effects) {
	changed := place.Epoch != partition.place.Epoch
	completed := place.Complete && !partition.place.Complete
	partition.place = place
	if changed {
		if place.Leader != s.settings.Self.Name {
			s.giveUp(partition, "moved", effects)
		}
		partition.copies = nil
		partition.placedAt = now
		partition.firstSince = 0
		partition.floor, _ = partition.log.head()
	}
	if place.Leader == s.settings.Self.Name {
		s.takeCopies(partition)
	} else if first, found := s.follower.Members[place.Leader]; changed && found && slices.Contains(place.Followers, s.settings.Self.Name) {
		// The first may have asked before this news came.
		s.tellHave(partition, first.Address, effects)
	}
	if completed && place.Leader == s.settings.Self.Name {
		s.settle(now, partition, effects)
	}
}

// isFirst tells whether this store, with the disk that it has now, may act as
// a partition's first: a store whose disk was wiped is named first by news that
// does not know of it yet, and holds nothing. Nor does an epoch hold for a life
// that is not a member yet: it was begun for an earlier one.
func (s *Store) isFirst(partition *held) bool {
	return partition.place.Leader == s.settings.Self.Name && slices.Contains(partition.place.InSync, s.holder()) && s.joined()
}

// joined tells whether the view names this life of the store.
func (s *Store) joined() bool {
	return s.follower.Members[s.settings.Self.Name].Incarnation == s.settings.Self.Incarnation ||
		statemachine.Mutated("one-epoch-for-all-lives")
}

func (s *Store) holder() string { return s.settings.Self.ReplicaID() }

// Partitions tells of every partition held here, for ctl and the simulator's checks.
func (s *Store) Partitions() map[string]PartitionStatus {
	statuses := map[string]PartitionStatus{}
	for name, partition := range s.partitions {
		head, _ := partition.log.head()
		statuses[name] = PartitionStatus{
			Epoch: partition.place.Epoch, First: s.isFirst(partition), Complete: partition.place.Complete,
			Base: partition.log.Base, Head: head, Accepted: partition.accepted,
			Serving: s.Ready() && s.isFirst(partition) && partition.place.Complete && partition.firstSince == partition.place.Epoch,
		}
	}
	return statuses
}

// PartitionStatus is one partition as a store sees it.
type PartitionStatus struct {
	Epoch    uint64 `json:"epoch"`
	First    bool   `json:"first"`
	Complete bool   `json:"complete"`
	Base     uint64 `json:"base"`
	Head     uint64 `json:"head"`
	Accepted uint64 `json:"accepted"`
	// Serving says that the store accepts messages at present.
	Serving bool `json:"serving"`
}
