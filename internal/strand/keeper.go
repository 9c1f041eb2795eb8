// A Keeper is the store daemon's state machine. For each strand that the pilots
// place on it, it is first or understudy in one epoch. The first gives a
// message its offset, syncs it, and sends it to the understudy, which refuses
// older epochs, syncs it too and says so; only then is the message accepted. A
// first whose understudy is not yet complete accepts nothing new; it copies,
// tells the primary when the copy is whole, and waits for that to be recorded.
// A keeper that has just started serves nothing until it has fresh news.
package strand

import (
	"slices"
	"strings"
	"time"

	"dahlialock/internal/beacon"
	"dahlialock/internal/chart"
	"dahlialock/internal/cutter"
	"dahlialock/internal/flare"
	"dahlialock/internal/foghorn"
	"dahlialock/internal/helm"
	"dahlialock/internal/soundings"
)

// Spans of a keeper's work.
const (
	copyEvery      = 150 * time.Millisecond
	lateAfter      = 400 * time.Millisecond
	silentFirst    = 600 * time.Millisecond
	tellEvery      = 400 * time.Millisecond
	trimEvery      = 5 * time.Second
	followFor      = 6 * time.Second
	headsEvery     = 400 * time.Millisecond
	frameLogLimit  = 8 << 20
	fetchLimit     = 512
	fetchBytes     = 1 << 20
	copyLimit      = 512
	copyWaitMost   = 8
	understudyBack = 2 * time.Second
	sharedBack     = 200 * time.Millisecond
	// rememberHolding is for how long a holding that was taken back counts on, so
	// that a space which comes again finds what it held.
	rememberHolding = 5 * time.Minute
)

// Props are a keeper daemon's settings.
type Props struct {
	Self    beacon.Member
	Seeds   []string
	NewDisk string
	// Redeliver is how long a caller may send an accepted message again.
	Redeliver time.Duration
}

// Visit is an operator's request at this daemon's own ctl.
type Visit struct {
	Local  uint64
	Method string
	Path   string
	Body   []byte
}

// FindDecisions asks the ring of recorded decisions.
type FindDecisions struct {
	Local                  uint64
	Visit, Message, Origin string
}

// Stop asks the keeper to end in good order.
type Stop struct{}

type waiter struct {
	from  string
	visit uint64
	since time.Time
}

// copied is what a first knows of one understudy's copy: how far it lasts there,
// and what is on its way. Known is set once the understudy, as it runs now, has
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
}

// flight is a copy that was not acknowledged yet.
type flight struct {
	until uint64
	at    time.Time
}

type held struct {
	log        *log
	place      beacon.Placement
	placedAt   time.Time
	synced     uint64
	copies     []*copied
	waiting    map[uint64][]waiter
	accepted   uint64
	firstSince uint64
	floor      uint64
}

type follower struct {
	strands []string
	until   time.Time
	told    map[string]told
}

// told is what a follower knows of one strand; From counts for shared strands,
// where a follower that was told of an epoch may have missed what lay before.
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
	_      struct{} `cbor:",toarray"`
	Disk   string
	Strand string
	Record *Record
	Frame  []byte
	Drop   bool
}

type diskFrame struct {
	Disk    string
	Strands map[string]*log
}

type afterSync func(now time.Time, effects *helm.Effects)

// batch is a write that was not said to last yet, and what waits for it.
type batch struct {
	since  time.Time
	afters []afterSync
}

// Counts are running sums for measurements.
type Counts struct {
	Appends, Accepted, Again, RefusedVisits, Copies, CopyRecords, Frames, Fetches, FetchRecords, Writes, HeadsOut uint64
}

// Keeper is the state machine.
type Keeper struct {
	props     Props
	disk      string
	blank     bool
	strands   map[string]*held
	follower  *beacon.Follower
	pulse     *beacon.Pulse
	cutter    *cutter.Cutter
	timers    *helm.Timers
	ring      *soundings.Ring
	followers map[string]*follower
	config    chart.Configuration
	holding   time.Duration
	past      []pastHolding
	stopping  bool

	entries              [][]byte
	afters               []afterSync
	token                uint64
	pending              map[uint64]*batch
	refused              bool
	since                time.Time
	ownDelay             time.Duration
	delays               map[string]time.Duration
	lagTold              map[string]time.Time
	logBytes, logLimit   int
	dirty                map[string]bool
	firsts, understudies int
	Counts               Counts
}

// New makes a keeper from what its disk held.
func New(props Props, frame []byte, entries [][]byte) (*Keeper, error) {
	keeper := &Keeper{
		props: props, strands: map[string]*held{}, timers: helm.NewTimers(), ring: soundings.NewRing(props.Self.Name),
		followers: map[string]*follower{}, pending: map[uint64]*batch{}, dirty: map[string]bool{},
		logLimit: frameLogLimit, delays: map[string]time.Duration{}, lagTold: map[string]time.Time{},
	}
	if len(frame) > 0 {
		var stored diskFrame
		if fault := flare.Unmarshal(frame, &stored); fault != nil {
			return nil, fault
		}
		keeper.disk = stored.Disk
		for name, log := range stored.Strands {
			keeper.strands[name] = newHeld(log)
		}
	}
	for _, packed := range entries {
		if fault := keeper.replay(packed); fault != nil {
			return nil, fault
		}
	}
	if keeper.disk == "" {
		keeper.disk, keeper.blank = props.NewDisk, true
	}
	for _, strand := range keeper.strands {
		strand.synced, _ = strand.log.head()
	}
	keeper.props.Self.Disk = keeper.disk
	keeper.follower = beacon.NewFollower(keeper.props.Self, props.Seeds, keeper.load)
	keeper.pulse = beacon.NewPulse(keeper.props.Self)
	keeper.cutter = cutter.New(keeper.follower.Upstream, keeper.follower.Other)
	return keeper, nil
}

func newHeld(log *log) *held { return &held{log: log, waiting: map[uint64][]waiter{}} }

// back is when to come again to a strand that has too few copies at present.
func (strand *held) back() time.Duration {
	if chart.IsShared(strand.log.Name) {
		return sharedBack
	}
	return understudyBack
}

func (keeper *Keeper) load() beacon.Load {
	return beacon.Load{Ready: keeper.Ready(), Visits: keeper.Counts.Appends}
}

// Ready tells whether the keeper serves.
func (keeper *Keeper) Ready() bool { return keeper.follower.Index > 0 && !keeper.stopping }

// Version is the configuration version in force here.
func (keeper *Keeper) Version() uint64 { return keeper.follower.Version }

// Follower gives the keeper's view, for its ctl.
func (keeper *Keeper) Follower() *beacon.Follower { return keeper.follower }

// Disk is the name of the disk.
func (keeper *Keeper) Disk() string { return keeper.disk }

// Start begins the keeper's work.
func (keeper *Keeper) Start(now time.Time, effects *helm.Effects) {
	for _, strand := range helm.Sorted(keeper.strands) {
		strand.log.refresh(now)
	}
	if keeper.blank {
		keeper.checkpoint(now, effects)
	}
	keeper.follower.Start(now)
	keeper.pulse.Start(now)
	keeper.timers.Arm("trim", now.Add(trimEvery))
}

// NextDue is when the keeper wants to run again.
func (keeper *Keeper) NextDue() time.Time {
	return helm.Earliest(keeper.follower.NextDue(), keeper.pulse.NextDue(), keeper.cutter.NextDue(), keeper.timers.Next())
}

// Command takes what the adapters bring.
func (keeper *Keeper) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case helm.Synced:
		keeper.onSynced(now, body.Token, effects)
	case helm.DiskRefused:
		keeper.onDiskRefused(now, effects)
	case Visit:
		keeper.cutter.Carry(now, body.Local, body.Method, body.Path, body.Body, effects)
	case FindDecisions:
		effects.Return(body.Local, keeper.ring.Find(body.Visit, body.Message, body.Origin))
	case Stop:
		keeper.stopping = true
		for _, member := range helm.Sorted(keeper.follower.Members) {
			if member.Kind == beacon.KindPilot {
				effects.Send(member.Address, beacon.Farewell{Name: keeper.props.Self.Name, Incarnation: keeper.props.Self.Incarnation})
			}
		}
		effects.Stop = true
	}
	keeper.flush(now, effects)
}

// Due runs whatever is due.
func (keeper *Keeper) Due(now time.Time, effects *helm.Effects) {
	keeper.follower.Due(now, effects)
	keeper.pulse.Due(now, effects)
	keeper.cutter.Due(now, effects)
	for _, key := range keeper.timers.Expired(now) {
		switch {
		case key == "trim":
			keeper.trim(now)
		case key == "copy":
			keeper.recopy(now, effects)
		case key == "probe":
			keeper.probe(now)
		case key == "tell":
			keeper.tell(now, effects)
		case strings.HasPrefix(key, "heads "):
			keeper.tellHeads(now, strings.TrimPrefix(key, "heads "), false, effects)
		}
	}
	keeper.flush(now, effects)
}

// Message takes what other daemons say.
func (keeper *Keeper) Message(now time.Time, meta helm.Meta, message any, effects *helm.Effects) {
	keeper.pulse.Heard(now)
	if meta.Version > keeper.follower.Version {
		keeper.follower.Hurry(now)
	}
	switch body := message.(type) {
	case beacon.News:
		keeper.onNews(now, body, effects)
	case beacon.Redirect:
		keeper.follower.Redirected(now, body, effects)
	case beacon.Heartbeat:
		keeper.pulse.Beat(now, body)
	case beacon.ControlReturn:
		keeper.cutter.Take(now, meta.From, body, effects)
	case beacon.ChartAsk:
		keeper.follower.AnswerChart(meta.From, body, effects)
	case Append:
		keeper.onAppend(now, meta.From, body, effects)
	case Copy:
		keeper.onCopy(now, meta.From, body, effects)
	case CopyReturn:
		keeper.onCopyReturn(now, meta.From, body, effects)
	case Frame:
		keeper.onFrame(now, meta.From, body, effects)
	case Fetch:
		keeper.onFetch(meta.From, body, effects)
	case SenderAsk:
		keeper.onSenderAsk(now, meta.From, body, effects)
	case Follow:
		keeper.onFollow(now, meta.From, body, effects)
	}
	keeper.flush(now, effects)
}

// News.

func (keeper *Keeper) onNews(now time.Time, news beacon.News, effects *helm.Effects) {
	taken := keeper.follower.Take(now, news)
	if taken.Document {
		keeper.takeConfiguration(now)
	}
	if !taken.View {
		return
	}
	keeper.pulse.Take(now, keeper.follower.Members, keeper.follower.Upstream(), keeper.follower.Index)
	firsts, understudies := 0, 0
	for name, place := range helm.Sorted(keeper.follower.Places) {
		mine := place.Names(keeper.props.Self.Name)
		strand, found := keeper.strands[name]
		if !found && mine {
			strand = newHeld(newLog(name))
			keeper.strands[name] = strand
			found = true
		}
		if !found {
			continue
		}
		if mine && place.First == keeper.props.Self.Name {
			firsts++
		} else if mine {
			understudies++
		}
		keeper.place(now, strand, place, effects)
	}
	for name, strand := range helm.Sorted(keeper.strands) {
		place, placed := keeper.follower.Places[name]
		needed := placed && (place.Names(keeper.props.Self.Name) || slices.Contains(place.Safe, keeper.holder()))
		if !needed {
			keeper.giveUp(strand, "removed", effects)
			delete(keeper.strands, name)
			keeper.log(diskEntry{Strand: name, Drop: true}, nil)
		}
	}
	keeper.forgetDelays()
	if keeper.follower.Members[keeper.props.Self.Name].Ailing {
		keeper.timers.ArmSooner("probe", now.Add(probeEvery))
	}
	if firsts != keeper.firsts || understudies != keeper.understudies {
		keeper.firsts, keeper.understudies = firsts, understudies
		effects.Note(foghorn.StrandFirst, "strands", firsts, "understudy", understudies)
	}
}

// takeConfiguration notes for how long shared strands hold their messages: as
// long as any routed space in force asks for, and as any that was in force when
// a message came that may still be asked for.
func (keeper *Keeper) takeConfiguration(now time.Time) {
	keeper.config, _ = chart.Read(keeper.follower.Document)
	longest := chart.DefaultHolding
	for _, space := range keeper.config.Spaces {
		if space.Order == chart.OrderTopic && space.Promise == chart.Kept {
			longest = max(longest, space.Holding)
		}
	}
	if longest < keeper.holding {
		keeper.past = append(keeper.past, pastHolding{holding: keeper.holding, until: now.Add(max(keeper.holding, rememberHolding))})
	}
	keeper.holding = longest
}

// sharedHolding is how long shared strands hold their messages at present.
func (keeper *Keeper) sharedHolding(now time.Time) time.Duration {
	keeper.past = slices.DeleteFunc(keeper.past, func(past pastHolding) bool { return now.After(past.until) })
	longest := max(keeper.holding, chart.DefaultHolding)
	for _, past := range keeper.past {
		longest = max(longest, past.holding)
	}
	return longest
}

func (keeper *Keeper) place(now time.Time, strand *held, place beacon.Placement, effects *helm.Effects) {
	changed := place.Epoch != strand.place.Epoch
	completed := place.Complete && !strand.place.Complete
	strand.place = place
	if changed {
		if place.First != keeper.props.Self.Name {
			keeper.giveUp(strand, "moved", effects)
		}
		strand.copies = nil
		strand.placedAt = now
		strand.firstSince = 0
		strand.floor, _ = strand.log.head()
	}
	if place.First == keeper.props.Self.Name {
		keeper.takeCopies(strand)
	} else if first, found := keeper.follower.Members[place.First]; changed && found && slices.Contains(place.Understudies, keeper.props.Self.Name) {
		// The first may have asked before this news came.
		keeper.tellHave(strand, first.Address, true, effects)
	}
	if completed && place.First == keeper.props.Self.Name {
		keeper.settle(now, strand, effects)
	}
}

// isFirst tells whether this keeper, with the disk that it has now, may act as
// a strand's first: a keeper whose disk was wiped is named first by news that
// does not know of it yet, and holds nothing.
func (keeper *Keeper) isFirst(strand *held) bool {
	return strand.place.First == keeper.props.Self.Name && slices.Contains(strand.place.Safe, keeper.holder())
}

func (keeper *Keeper) holder() string { return keeper.props.Self.Holder() }

// Strands tells of every strand held here, for ctl and the simulator's checks.
func (keeper *Keeper) Strands() map[string]StrandStatus {
	statuses := map[string]StrandStatus{}
	for name, strand := range keeper.strands {
		head, _ := strand.log.head()
		statuses[name] = StrandStatus{
			Epoch: strand.place.Epoch, First: keeper.isFirst(strand), Complete: strand.place.Complete,
			Base: strand.log.Base, Head: head, Accepted: strand.accepted,
			Serving: keeper.Ready() && keeper.isFirst(strand) && strand.place.Complete && strand.firstSince == strand.place.Epoch,
		}
	}
	return statuses
}

// StrandStatus is one strand as a keeper sees it.
type StrandStatus struct {
	Epoch    uint64 `json:"epoch"`
	First    bool   `json:"first"`
	Complete bool   `json:"complete"`
	Base     uint64 `json:"base"`
	Head     uint64 `json:"head"`
	Accepted uint64 `json:"accepted"`
	// Serving says that the keeper accepts messages at present.
	Serving bool `json:"serving"`
}
