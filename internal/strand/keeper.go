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
	silentFirst    = 600 * time.Millisecond
	tellEvery      = 400 * time.Millisecond
	trimEvery      = 5 * time.Second
	followFor      = 6 * time.Second
	headsEvery     = 400 * time.Millisecond
	frameLogLimit  = 16 << 20
	fetchLimit     = 512
	fetchBytes     = 1 << 20
	copyLimit      = 512
	understudyBack = 2 * time.Second
	// rememberHolding is for how long a holding that was taken back counts on, so
	// that a space which comes again finds what it held.
	rememberHolding = 5 * time.Minute
)

// Props are a keeper daemon's settings.
type Props struct {
	Self    beacon.Member
	Seeds   []string
	NewDisk string
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
}

type held struct {
	log        *log
	place      beacon.Placement
	synced     uint64
	acked      uint64
	ackedEpoch bool
	sent       uint64
	sentAt     time.Time
	heardAt    time.Time
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
	pending              map[uint64][]afterSync
	logBytes             int
	dirty                map[string]bool
	firsts, understudies int
	Counts               Counts
}

// New makes a keeper from what its disk held.
func New(props Props, frame []byte, entries [][]byte) (*Keeper, error) {
	keeper := &Keeper{
		props: props, strands: map[string]*held{}, timers: helm.NewTimers(), ring: soundings.NewRing(props.Self.Name),
		followers: map[string]*follower{}, pending: map[uint64][]afterSync{}, dirty: map[string]bool{},
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

func (keeper *Keeper) replay(packed []byte) error {
	var entry diskEntry
	if fault := flare.Unmarshal(packed, &entry); fault != nil {
		return fault
	}
	if entry.Disk != "" {
		keeper.disk = entry.Disk
	}
	if entry.Strand == "" {
		return nil
	}
	if entry.Drop {
		delete(keeper.strands, entry.Strand)
		return nil
	}
	strand, found := keeper.strands[entry.Strand]
	if !found {
		strand = newHeld(newLog(entry.Strand))
		keeper.strands[entry.Strand] = strand
	}
	if entry.Frame != nil {
		return flare.Unmarshal(entry.Frame, strand.reset())
	}
	if head, _ := strand.log.head(); entry.Record != nil && entry.Record.Offset == head+1 {
		strand.log.add(*entry.Record)
	}
	return nil
}

func (strand *held) reset() *log {
	strand.log = newLog(strand.log.Name)
	return strand.log
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
		keeper.checkpoint(effects)
	}
	keeper.follower.Start(now)
	keeper.pulse.Start(now)
	keeper.timers.Arm("trim", now.Add(trimEvery))
}

// NextDue is when the keeper wants to run again.
func (keeper *Keeper) NextDue() time.Time {
	return helm.Earliest(keeper.follower.NextDue(), keeper.pulse.NextDue(), keeper.cutter.NextDue(), keeper.timers.Next())
}

// Disk.

func (keeper *Keeper) log(entry diskEntry, after afterSync) {
	packed := flare.MustMarshal(entry)
	keeper.entries = append(keeper.entries, packed)
	keeper.logBytes += len(packed)
	if after != nil {
		keeper.afters = append(keeper.afters, after)
	}
}

// flush ends a step: what was logged goes to the disk as one write, and what
// was appended goes to the understudies as one copy a strand.
func (keeper *Keeper) flush(now time.Time, effects *helm.Effects) {
	for name := range helm.Sorted(keeper.dirty) {
		if strand, found := keeper.strands[name]; found {
			keeper.copy(now, strand, effects)
		}
	}
	clear(keeper.dirty)
	if len(keeper.entries) == 0 {
		afters := keeper.afters
		keeper.afters = nil
		if _, writing := keeper.pending[keeper.token]; writing {
			keeper.pending[keeper.token] = append(keeper.pending[keeper.token], afters...)
			return
		}
		for _, after := range afters {
			after(now, effects)
		}
		return
	}
	keeper.token++
	keeper.Counts.Writes++
	keeper.pending[keeper.token] = keeper.afters
	effects.Writes = append(effects.Writes, helm.Write{Token: keeper.token, Entries: keeper.entries})
	keeper.entries, keeper.afters = nil, nil
	if keeper.logBytes > frameLogLimit {
		keeper.checkpoint(effects)
	}
}

func (keeper *Keeper) checkpoint(effects *helm.Effects) {
	keeper.logBytes = 0
	keeper.token++
	frame := diskFrame{Disk: keeper.disk, Strands: map[string]*log{}}
	for name, strand := range keeper.strands {
		frame.Strands[name] = strand.log
	}
	keeper.pending[keeper.token] = nil
	effects.Writes = append(effects.Writes, helm.Write{Token: keeper.token, Frame: flare.MustMarshal(frame)})
}

// Command takes what the adapters bring.
func (keeper *Keeper) Command(now time.Time, command any, effects *helm.Effects) {
	switch body := command.(type) {
	case helm.Synced:
		afters := keeper.pending[body.Token]
		delete(keeper.pending, body.Token)
		for _, after := range afters {
			after(now, effects)
		}
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
		mine := place.First == keeper.props.Self.Name || place.Understudy == keeper.props.Self.Name
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
		needed := placed && (place.First == keeper.props.Self.Name || place.Understudy == keeper.props.Self.Name || slices.Contains(place.Safe, keeper.holder()))
		if !needed {
			keeper.giveUp(strand, "removed", effects)
			delete(keeper.strands, name)
			keeper.log(diskEntry{Strand: name, Drop: true}, nil)
		}
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
		strand.acked, strand.ackedEpoch, strand.sent = 0, false, 0
		strand.heardAt = now
		strand.firstSince = 0
		strand.floor, _ = strand.log.head()
		if place.First == keeper.props.Self.Name {
			keeper.dirty[place.Strand] = true
		}
	}
	if completed && place.First == keeper.props.Self.Name {
		keeper.settle(now, strand, effects)
	}
}

// giveUp tells those that wait on a strand that this keeper can't say.
func (keeper *Keeper) giveUp(strand *held, code string, effects *helm.Effects) {
	for offset, waiters := range helm.Sorted(strand.waiting) {
		delete(strand.waiting, offset)
		for _, each := range waiters {
			effects.Send(each.from, AppendReturn{Strand: strand.log.Name, Visit: each.visit, Outcome: Unsettled, Code: code, Epoch: strand.place.Epoch})
		}
	}
}

// isFirst tells whether this keeper, with the disk that it has now, may act as
// a strand's first: a keeper whose disk was wiped is named first by news that
// does not know of it yet, and holds nothing.
func (keeper *Keeper) isFirst(strand *held) bool {
	return strand.place.First == keeper.props.Self.Name && slices.Contains(strand.place.Safe, keeper.holder())
}

func (keeper *Keeper) holder() string { return keeper.props.Self.Name + "@" + keeper.disk }

// Appending.

func (keeper *Keeper) onAppend(now time.Time, from string, visit Append, effects *helm.Effects) {
	keeper.Counts.Appends++
	strand, found := keeper.strands[visit.Strand]
	refuse := func(code string, back time.Duration) {
		keeper.Counts.RefusedVisits++
		epoch := uint64(0)
		if found {
			epoch = strand.place.Epoch
		}
		keeper.ring.Record(now, "", soundings.MessageName(visit.Strand, visit.Sender, visit.Seq), visit.Sender, "not-kept", "strand", visit.Strand, "code", code, "epoch", epoch)
		effects.Send(from, AppendReturn{Strand: visit.Strand, Visit: visit.Visit, Outcome: Refused, Code: code, RetryAfter: back, Epoch: epoch})
	}
	if !keeper.Ready() || !found || !keeper.isFirst(strand) {
		refuse("not-first", 200*time.Millisecond)
		return
	}
	if visit.Bare {
		visit.Data = nil
	}
	sender, known := strand.log.Senders[strand.log.memoryKey(visit.Topic, visit.Sender)]
	if !known {
		sender = &senderState{}
	}
	if memory, known := sender.find(visit.Seq); known && !helm.Mutated("no-resend-memory") {
		if memory.Digest != Digest(visit.Topic, visit.Data) {
			refuse("seq-reused", 0)
			return
		}
		if memory.Offset <= strand.accepted && strand.place.Complete {
			keeper.Counts.Again++
			records := strand.log.after(memory.Offset - 1)
			answer := AppendReturn{Strand: visit.Strand, Visit: visit.Visit, Outcome: Accepted, Epoch: strand.place.Epoch, Again: true}
			if memory.Offset > strand.log.Base && len(records) > 0 {
				answer.Record = answered(visit.Strand, records[0])
			} else {
				answer.Record = Record{Offset: memory.Offset, Topic: visit.Topic, Sender: visit.Sender, Seq: visit.Seq}
			}
			effects.Send(from, answer)
			return
		}
		strand.waiting[memory.Offset] = append(strand.waiting[memory.Offset], waiter{from: from, visit: visit.Visit})
		return
	}
	if (visit.Seq <= sender.LastSeq || visit.OnlyAgain) && !helm.Mutated("no-resend-memory") {
		if chart.IsShared(visit.Strand) && !strand.passedBy(sender) {
			// The later one may still come to nothing, and then an earlier try of
			// this one may be accepted by another first.
			refuse("passed", 200*time.Millisecond)
			return
		}
		refuse("old-seq", 0)
		return
	}
	if !strand.place.Complete {
		refuse("understudy-incomplete", understudyBack)
		return
	}
	head, _ := strand.log.head()
	if strand.acked < head && now.Sub(strand.heardAt) > silentFirst {
		refuse("understudy-silent", understudyBack)
		return
	}
	if strand.acked == head {
		strand.heardAt = now
	}
	record := Record{
		Offset: head + 1, Epoch: strand.place.Epoch, Topic: visit.Topic, Sender: visit.Sender, Seq: visit.Seq,
		Data: visit.Data, At: now, Prior: strand.log.prior(visit.Topic), Before: visit.Before, Bare: visit.Bare,
	}
	strand.log.add(record)
	strand.waiting[record.Offset] = append(strand.waiting[record.Offset], waiter{from: from, visit: visit.Visit})
	keeper.dirty[visit.Strand] = true
	keeper.log(diskEntry{Strand: visit.Strand, Record: &record}, func(now time.Time, effects *helm.Effects) {
		if strand.log.epochIs(record) {
			strand.synced = max(strand.synced, record.Offset)
			keeper.settle(now, strand, effects)
		}
	})
}

// passedBy tells whether a sender's newest message is accepted, so that nothing
// of it with a lower seq ever will be.
func (strand *held) passedBy(sender *senderState) bool {
	if len(sender.Recent) == 0 {
		return true
	}
	return strand.firstSince == strand.place.Epoch && sender.Recent[len(sender.Recent)-1].Offset <= strand.accepted
}

// answered is a record as whoever asked for it to be kept is told of it.
func answered(strand string, record Record) Record {
	if chart.IsShared(strand) {
		record.Data = nil
	}
	return record
}

func (log *log) epochIs(record Record) bool {
	epoch, found := log.epochAt(record.Offset)
	return !found || epoch == record.Epoch
}

// settle accepts what is on both disks.
func (keeper *Keeper) settle(now time.Time, strand *held, effects *helm.Effects) {
	if !keeper.isFirst(strand) || !strand.ackedEpoch {
		return
	}
	both := min(strand.synced, strand.acked)
	if helm.Mutated("accept-on-one-disk") {
		both = strand.synced
	}
	if !strand.place.Complete || both <= strand.accepted && strand.firstSince == strand.place.Epoch {
		return
	}
	// Whatever lay here when this epoch, or this process, began may have been
	// accepted: until both have it, nobody is told where the strand's head is.
	if strand.firstSince != strand.place.Epoch && both < strand.floor {
		return
	}
	strand.firstSince = strand.place.Epoch
	from := strand.accepted
	strand.accepted = max(strand.accepted, both)
	for offset, waiters := range helm.Sorted(strand.waiting) {
		if offset > strand.accepted {
			break
		}
		delete(strand.waiting, offset)
		records := strand.log.after(offset - 1)
		if offset <= strand.log.Base || len(records) == 0 {
			continue
		}
		keeper.Counts.Accepted++
		keeper.ring.Record(now, "", soundings.MessageName(strand.log.Name, records[0].Sender, records[0].Seq), records[0].Sender, "accepted",
			"strand", strand.log.Name, "epoch", strand.place.Epoch, "offset", offset, "first", strand.place.First, "understudy", strand.place.Understudy)
		for _, each := range waiters {
			effects.Send(each.from, AppendReturn{
				Strand: strand.log.Name, Visit: each.visit, Outcome: Accepted, Epoch: strand.place.Epoch, Record: answered(strand.log.Name, records[0]),
			})
		}
	}
	if strand.accepted > from {
		for address, follower := range helm.Sorted(keeper.followers) {
			if slices.Contains(follower.strands, strand.log.Name) {
				keeper.timers.ArmSooner("heads "+address, now.Add(headsEvery))
			}
		}
	}
}

// Copying.

func (keeper *Keeper) understudy(strand *held) (beacon.Member, bool) {
	member, found := keeper.follower.Members[strand.place.Understudy]
	return member, found && member.Alive
}

// copy sends the understudy what it does not have yet.
func (keeper *Keeper) copy(now time.Time, strand *held, effects *helm.Effects) {
	if !keeper.isFirst(strand) {
		return
	}
	understudy, alive := keeper.understudy(strand)
	head, headEpoch := strand.log.head()
	if strand.ackedEpoch && strand.acked >= head {
		return
	}
	// Where the understudy is away, it may come back without a new epoch.
	keeper.timers.ArmSooner("copy", now.Add(copyEvery))
	if !alive {
		return
	}
	after := max(strand.sent, strand.acked)
	if !strand.ackedEpoch {
		// The understudy of a new epoch is asked first what it has.
		after = head
	}
	afterEpoch, held := strand.log.epochAt(after)
	if !held {
		after, afterEpoch = head, headEpoch
	}
	records := strand.log.after(after)
	if len(records) > copyLimit {
		records = records[:copyLimit]
	}
	keeper.Counts.Copies++
	keeper.Counts.CopyRecords += uint64(len(records))
	effects.Send(understudy.Address, Copy{
		Now: now, Strand: strand.log.Name, Epoch: strand.place.Epoch, After: after, AfterEpoch: afterEpoch,
		Records: append([]Record(nil), records...),
	})
	if strand.ackedEpoch {
		strand.sent = after + uint64(len(records))
	}
	strand.sentAt = now
}

// recopy sends again what was not acknowledged for a while.
func (keeper *Keeper) recopy(now time.Time, effects *helm.Effects) {
	waits := false
	for _, strand := range helm.Sorted(keeper.strands) {
		head, _ := strand.log.head()
		if !keeper.isFirst(strand) || strand.ackedEpoch && strand.acked >= head {
			continue
		}
		waits = true
		if now.Sub(strand.sentAt) >= copyEvery {
			strand.sent = strand.acked
			keeper.copy(now, strand, effects)
		}
		keeper.giveUpLate(now, strand, effects)
	}
	if waits {
		keeper.timers.ArmSooner("copy", now.Add(copyEvery))
	}
}

// giveUpLate tells those that wait for a silent understudy that it is
// unsettled, as soon as this keeper stops hoping.
func (keeper *Keeper) giveUpLate(now time.Time, strand *held, effects *helm.Effects) {
	if now.Sub(strand.heardAt) > silentFirst && len(strand.waiting) > 0 {
		keeper.giveUp(strand, "understudy-silent", effects)
	}
}

func (keeper *Keeper) onCopy(now time.Time, from string, copied Copy, effects *helm.Effects) {
	strand, found := keeper.strands[copied.Strand]
	if !keeper.Ready() {
		return
	}
	if !found {
		if _, placed := keeper.follower.Places[copied.Strand]; !placed || keeper.follower.Places[copied.Strand].Epoch >= copied.Epoch {
			keeper.follower.Hurry(now)
			return
		}
		strand = newHeld(newLog(copied.Strand))
		keeper.strands[copied.Strand] = strand
	}
	if copied.Epoch < strand.place.Epoch {
		effects.Note(foghorn.StrandOlderEpoch, "strand", copied.Strand, "epoch", copied.Epoch, "present", strand.place.Epoch)
		effects.Send(from, CopyReturn{Strand: copied.Strand, Epoch: copied.Epoch, Older: strand.place.Epoch})
		return
	}
	if copied.Epoch > strand.place.Epoch || strand.place.Understudy != keeper.props.Self.Name {
		// News of this epoch is on its way; the first will send again.
		keeper.follower.Hurry(now)
		return
	}
	epoch, held := strand.log.epochAt(copied.After)
	if !held || epoch != copied.AfterEpoch {
		keeper.tellHave(strand, from, true, effects)
		return
	}
	for _, record := range copied.Records {
		present, known := strand.log.epochAt(record.Offset)
		if known && record.Offset > strand.log.Base {
			if present != record.Epoch {
				keeper.tellHave(strand, from, true, effects)
				return
			}
			continue
		}
		record.At = now.Add(-max(0, copied.Now.Sub(record.At)))
		strand.log.add(record)
		keeper.log(diskEntry{Strand: copied.Strand, Record: &record}, nil)
	}
	if head, _ := strand.log.head(); len(copied.Records) == 0 && head > copied.After {
		// More is here than the first knows of: its log and this one differ.
		keeper.tellHave(strand, from, true, effects)
		return
	}
	keeper.confirm(strand, from, copied.Epoch)
}

// confirm answers once the disk has what the log has.
func (keeper *Keeper) confirm(strand *held, from string, epoch uint64) {
	head, headEpoch := strand.log.head()
	answer := func(_ time.Time, effects *helm.Effects) {
		strand.synced = max(strand.synced, head)
		effects.Send(from, CopyReturn{Strand: strand.log.Name, Epoch: epoch, Have: head, HaveEpoch: headEpoch})
	}
	keeper.afters = append(keeper.afters, answer)
}

func (keeper *Keeper) tellHave(strand *held, to string, mismatch bool, effects *helm.Effects) {
	head, epoch := strand.log.head()
	effects.Send(to, CopyReturn{Strand: strand.log.Name, Epoch: strand.place.Epoch, Have: head, HaveEpoch: epoch, Mismatch: mismatch})
}

func (keeper *Keeper) onCopyReturn(now time.Time, from string, returned CopyReturn, effects *helm.Effects) {
	strand, found := keeper.strands[returned.Strand]
	if !found || !keeper.isFirst(strand) || returned.Epoch != strand.place.Epoch {
		return
	}
	if returned.Older > strand.place.Epoch {
		keeper.giveUp(strand, "moved", effects)
		keeper.follower.Hurry(now)
		return
	}
	if understudy, alive := keeper.understudy(strand); !alive || understudy.Address != from {
		return
	}
	strand.heardAt = now
	if returned.Mismatch {
		epoch, held := strand.log.epochAt(returned.Have)
		if held && epoch == returned.HaveEpoch && returned.Have >= strand.log.Base {
			// What it has may not be synced yet, so it does not count as
			// acknowledged; the next copy goes on from there.
			strand.ackedEpoch = true
			strand.sent = returned.Have
			keeper.dirty[returned.Strand] = true
			return
		}
		keeper.Counts.Frames++
		effects.Note(foghorn.StrandFrameSent, "strand", returned.Strand, "epoch", strand.place.Epoch, "have", returned.Have)
		effects.Send(from, Frame{Now: now, Strand: returned.Strand, Epoch: strand.place.Epoch, State: flare.MustMarshal(strand.log)})
		return
	}
	strand.ackedEpoch = true
	strand.acked = max(strand.acked, returned.Have)
	head, _ := strand.log.head()
	if strand.acked < head {
		keeper.dirty[returned.Strand] = true
		strand.sent = max(strand.sent, strand.acked)
		if strand.sent >= head {
			delete(keeper.dirty, returned.Strand)
		}
	}
	if !strand.place.Complete && strand.acked >= head && strand.synced >= head {
		keeper.timers.ArmSooner("tell", now)
	}
	keeper.settle(now, strand, effects)
}

// tell reports the strands whose copies are whole, until that is recorded.
func (keeper *Keeper) tell(now time.Time, effects *helm.Effects) {
	waits := false
	for name, strand := range helm.Sorted(keeper.strands) {
		head, _ := strand.log.head()
		if !keeper.isFirst(strand) || strand.place.Complete || !strand.ackedEpoch || strand.acked < head || strand.synced < head {
			continue
		}
		waits = true
		effects.Send(keeper.follower.Upstream(), beacon.StrandComplete{Strand: name, Epoch: strand.place.Epoch})
	}
	if waits {
		keeper.timers.ArmSooner("tell", now.Add(tellEvery))
	}
}

func (keeper *Keeper) onFrame(now time.Time, from string, frame Frame, effects *helm.Effects) {
	strand, found := keeper.strands[frame.Strand]
	if !keeper.Ready() || !found || frame.Epoch != strand.place.Epoch || strand.place.Understudy != keeper.props.Self.Name {
		return
	}
	log := newLog(frame.Strand)
	if fault := flare.Unmarshal(frame.State, log); fault != nil || log.Name != frame.Strand {
		effects.Note(foghorn.LinkGarbage, "remote", from, "strand", frame.Strand)
		return
	}
	log.shift(now.Sub(frame.Now))
	strand.log = log
	strand.synced = 0
	effects.Note(foghorn.StrandFrameTaken, "strand", frame.Strand, "epoch", frame.Epoch, "records", len(log.Records))
	keeper.log(diskEntry{Strand: frame.Strand, Frame: flare.MustMarshal(log)}, nil)
	keeper.confirm(strand, from, frame.Epoch)
}

// Fetching and following.

func (keeper *Keeper) onFetch(from string, fetch Fetch, effects *helm.Effects) {
	keeper.Counts.Fetches++
	strand, found := keeper.strands[fetch.Strand]
	answer := FetchReturn{Strand: fetch.Strand, Visit: fetch.Visit}
	if !keeper.Ready() || !found || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
		effects.Send(from, answer)
		return
	}
	answer.Ready = true
	answer.Epoch, answer.Base, answer.Head = strand.place.Epoch, strand.log.Base, strand.accepted
	answer.Until = strand.accepted
	var candidates []Record
	if chart.IsShared(fetch.Strand) {
		answer.Gone = strand.log.gone(fetch.After, fetch.Topics, fetch.Prefixes)
	}
	if len(fetch.Prefixes) == 0 && chart.IsShared(fetch.Strand) {
		candidates = strand.log.of(fetch.Topics, fetch.After, strand.accepted)
	} else {
		candidates = strand.log.after(fetch.After)
	}
	size := 0
	for _, record := range candidates {
		if record.Offset > strand.accepted {
			break
		}
		if record.Bare || !Matches(record.Topic, fetch.Topics, fetch.Prefixes) || slices.Contains(fetch.Skip, record.Offset) {
			continue
		}
		if len(answer.Records) == fetchLimit || size > fetchBytes {
			answer.Until = record.Offset - 1
			break
		}
		size += len(record.Data)
		answer.Records = append(answer.Records, record)
	}
	keeper.Counts.FetchRecords += uint64(len(answer.Records))
	effects.Send(from, answer)
}

// onSenderAsk tells where a sender's newest messages are among the strands that
// this keeper is first for, so that a sender that moved keeps its order.
func (keeper *Keeper) onSenderAsk(now time.Time, from string, ask SenderAsk, effects *helm.Effects) {
	answer := SenderReturn{Visit: ask.Visit, Ready: keeper.Ready()}
	for _, name := range ask.Strands {
		strand, found := keeper.strands[name]
		if !found || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
			answer.Ready = false
			continue
		}
		sender, known := strand.log.Senders[ask.Sender]
		if !known {
			continue
		}
		answer.LastSeq = max(answer.LastSeq, sender.LastSeq)
		for _, memory := range sender.Recent {
			age := now.Sub(memory.At)
			records := strand.log.after(memory.Offset - 1)
			if age > 2*TrailFor || memory.Offset <= strand.log.Base || len(records) == 0 {
				continue
			}
			answer.Recent = append(answer.Recent, Recent{
				Mark: Mark{Strand: NumberIn(name), Offset: memory.Offset, Topic: records[0].Topic}, Seq: memory.Seq, Age: age,
			})
		}
	}
	effects.Send(from, answer)
}

func (keeper *Keeper) onFollow(now time.Time, from string, follow Follow, effects *helm.Effects) {
	present, found := keeper.followers[from]
	if !found {
		present = &follower{}
		keeper.followers[from] = present
	}
	present.strands, present.until = follow.Strands, now.Add(followFor)
	present.told = map[string]told{}
	for position, name := range follow.Strands {
		if chart.IsShared(name) && position < len(follow.From) {
			present.told[name] = told{offset: follow.From[position]}
		}
	}
	keeper.tellHeads(now, from, true, effects)
}

// tellHeads tells a follower what moved since it was told; one that just asked
// is told of every strand.
func (keeper *Keeper) tellHeads(now time.Time, address string, every bool, effects *helm.Effects) {
	present, found := keeper.followers[address]
	if !found || now.After(present.until) || len(present.strands) == 0 {
		delete(keeper.followers, address)
		return
	}
	var heads Heads
	for _, name := range present.strands {
		strand, held := keeper.strands[name]
		if !held || !keeper.isFirst(strand) || strand.firstSince != strand.place.Epoch {
			continue
		}
		earlier := present.told[name]
		latest := told{epoch: strand.place.Epoch, offset: strand.accepted}
		head := Head{Strand: name, Epoch: latest.epoch, Offset: latest.offset}
		if earlier == latest && !every {
			continue
		}
		if chart.IsShared(name) {
			head.From = min(earlier.offset, strand.accepted)
			for topic, offset := range helm.Sorted(strand.log.moved(head.From, strand.accepted)) {
				head.Topics = append(head.Topics, TopicHead{Topic: chart.TopicNumber(topic), Offset: offset})
			}
			if len(head.Topics) == 0 && earlier.epoch == latest.epoch && !every {
				// Passing messages only, of which nothing can be fetched.
				continue
			}
		}
		present.told[name] = latest
		heads.Heads = append(heads.Heads, head)
	}
	if len(heads.Heads) > 0 {
		keeper.Counts.HeadsOut++
		effects.Send(address, heads)
	}
}

func (keeper *Keeper) trim(now time.Time) {
	keeper.timers.Arm("trim", now.Add(trimEvery))
	for name, strand := range helm.Sorted(keeper.strands) {
		space, _, _ := strings.Cut(name, "~")
		holding := keeper.config.Spaces[space].Holding
		if chart.IsShared(name) {
			holding = keeper.sharedHolding(now)
		}
		if helm.Mutated("short-history") {
			strand.log.trim(now, -HistoryMargin+time.Second)
			continue
		}
		strand.log.trim(now, max(holding, chart.DefaultHolding))
	}
}

// Strands tells of every strand held here, for ctl and the simulator's checks.
func (keeper *Keeper) Strands() map[string]StrandStatus {
	statuses := map[string]StrandStatus{}
	for name, strand := range keeper.strands {
		head, _ := strand.log.head()
		statuses[name] = StrandStatus{
			Epoch: strand.place.Epoch, First: keeper.isFirst(strand), Complete: strand.place.Complete,
			Base: strand.log.Base, Head: head, Accepted: strand.accepted,
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
}
