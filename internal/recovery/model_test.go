package recovery_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/recovery"
	"wigeontray/internal/roster"
	"wigeontray/internal/wire"
)

type incarnation = identity.Incarnation

// entry is one entry process: the real state machines, with a minimal registry and
// task placement around them.
type entry struct {
	roster          *roster.Machine
	announcer       *recovery.Announcer
	recoveryMachine *recovery.Machine
	rosterVersion   int64
	latestBirthMs   int64
	ready           map[incarnation]bool
	linkedGuards    map[incarnation]bool // guards with a link
	assignedGuard   map[string]incarnation
	hasCrashed      bool
	isPaused        bool
}

// guard is a minimal ledger: a task starts at most once, a refusal is final, and a
// fenced home is refused permanently.
type guard struct {
	started    map[string]wire.Started
	refused    map[string]bool
	fenced     map[incarnation]bool
	hasCrashed bool
}

// model consists of up to five entries, four guards, jobs of one task, half of them
// with tickets, and the store. Frames between two processes keep their order and are
// lost with their link.
type model struct {
	injectedFault  injectedFault
	rng            *rand.Rand
	now            time.Time
	entries        map[incarnation]*entry
	guards         map[incarnation]*guard
	frames         map[[2]incarnation][]wire.Frame
	peerLinks      map[[2]incarnation]bool // links between entries, stored in both directions
	storeValue     []byte
	storeRevision  int64
	pendingWrites  []storeWrite
	delayedAnswers []storeAnswer // answers of the store that are not delivered yet
	keys           []identity.Key
	startCount     map[string]int
	reportedNotRun map[string]bool
	removedEntry   incarnation // removed by a roster without being declared gone
	violation      error
}

type storeWrite struct {
	from        incarnation
	s           roster.Swap
	isAbandoned bool // the sender has given up waiting
}

type storeAnswer struct {
	to       incarnation
	id       uint64
	outcome  roster.Outcome
	revision int64
}

var rosterOptions = roster.Options{
	PromiseInterval: time.Second, PromiseLead: 3 * time.Second, JoinLead: 3 * time.Second, CeilingLead: 12 * time.Second,
	CeilingRenewAge: 4 * time.Second, StoreRetryDelay: time.Second, TakeoverDelay: time.Second, RankDelay: time.Millisecond,
}

func newModel(fault injectedFault, seed uint64) *model {
	m := &model{
		injectedFault: fault, rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_790_000_000_000),
		entries: make(map[incarnation]*entry), guards: make(map[incarnation]*guard), frames: make(map[[2]incarnation][]wire.Frame),
		peerLinks: make(map[[2]incarnation]bool), startCount: make(map[string]int), reportedNotRun: make(map[string]bool),
	}
	addr := func(n incarnation) wire.EntryAddr { return wire.EntryAddr{Incarnation: n} }
	m.storeValue, _ = roster.History{Versions: []roster.Version{{
		Version: 1, FromMs: m.now.UnixMilli(), Members: []wire.EntryAddr{addr("a"), addr("b"), addr("c")},
		CeilingMs: m.now.Add(rosterOptions.CeilingLead).UnixMilli(),
	}}}.Encode()
	m.storeRevision = 1
	for i := range 6 {
		m.keys = append(m.keys, m.newKey(i%2 == 0))
	}
	for _, n := range []incarnation{"a", "b", "c"} {
		m.startEntry(n)
	}
	m.startGuard("x")
	for _, n := range m.entryNames() {
		m.linkGuard(n, "x")
	}
	m.deliverAll(8)
	return m
}

// newKey returns a random identity born during the run: a plain key, or a ticket of
// entry a.
func (m *model) newKey(plain bool) identity.Key {
	key := identity.NewTicket("a", m.now.Add(time.Duration(m.rng.IntN(12_000))*time.Millisecond))
	for i := 9; i < len(key.UUID); i++ {
		key.UUID[i] = byte(m.rng.Uint32())
	}
	key.UUID[6], key.UUID[7], key.UUID[8] = 0x70, 0, 0x80 // version and variant
	key.Text = "a." + key.UUID.String()
	if plain {
		key.Text, key.Home = key.UUID.String(), ""
	}
	return key
}

func (m *model) startEntry(n incarnation) {
	m.entries[n] = &entry{
		roster: roster.NewMachine(wire.EntryAddr{Incarnation: n}, rosterOptions), announcer: recovery.NewAnnouncer(),
		recoveryMachine: recovery.NewMachine(n, recovery.Options{GracePeriod: time.Second}),
		ready:           make(map[incarnation]bool), linkedGuards: make(map[incarnation]bool), assignedGuard: make(map[string]incarnation),
	}
	_ = m.entries[n].roster.HandleStoreValue(m.now, m.storeValue, m.storeRevision)
	m.runActions(n)
	for _, o := range m.entryNames() {
		m.link(n, o)
	}
	for _, g := range slices.Sorted(maps.Keys(m.guards)) {
		m.linkGuard(n, g)
	}
}

func (m *model) startGuard(g incarnation) {
	m.guards[g] = &guard{started: make(map[string]wire.Started), refused: make(map[string]bool), fenced: make(map[incarnation]bool)}
	for _, n := range m.entryNames() {
		if m.rng.IntN(2) == 0 {
			m.linkGuard(n, g) // the other entries link later, or never
		}
	}
}

func (m *model) entryNames() []incarnation { return slices.Sorted(maps.Keys(m.entries)) }

func (m *model) pick(of []incarnation) incarnation { return of[m.rng.IntN(len(of))] }

// deliverAll ticks all rosters and delivers frames, for the given number of rounds.
func (m *model) deliverAll(rounds int) {
	for range rounds {
		for _, n := range m.entryNames() {
			m.entries[n].roster.Tick(m.now)
			m.runActions(n)
		}
		for range 50 {
			m.deliver()
		}
	}
}

func (m *model) link(a, b incarnation) {
	if a == b || m.peerLinks[[2]incarnation{a, b}] || m.entries[a].hasCrashed || m.entries[b].hasCrashed {
		return
	}
	for _, p := range [][2]incarnation{{a, b}, {b, a}} {
		m.peerLinks[p] = true
		e := m.entries[p[0]]
		e.roster.ClearSuspicion(m.now, p[1])
		e.roster.HandleLinkUp(m.now, p[1])
		e.announcer.PeerUp(p[1])
		m.runActions(p[0])
	}
}

func (m *model) unlink(a, b incarnation) {
	for _, p := range [][2]incarnation{{a, b}, {b, a}} {
		if m.peerLinks[p] {
			delete(m.peerLinks, p)
			m.entries[p[0]].announcer.PeerDown(p[1])
		}
		delete(m.frames, p)
	}
}

func (m *model) linkGuard(n, g incarnation) {
	e := m.entries[n]
	if e.hasCrashed || m.guards[g].hasCrashed || e.linkedGuards[g] {
		return
	}
	e.linkedGuards[g] = true
	e.recoveryMachine.GuardUp(m.now, g)
	e.announcer.GuardUp(g)
	for _, k := range slices.Sorted(maps.Keys(e.assignedGuard)) {
		if e.assignedGuard[k] == g { // outcome unknown: resent to the same guard
			m.send(n, g, wire.Frame{Start: &wire.Start{Ref: wire.Ref{Member: "ayni", Key: k}, Home: n, Of: 1}})
		}
	}
	m.runActions(n)
}

// unlinkGuard breaks a link. With isLost, the entry also drops the guard.
func (m *model) unlinkGuard(n, g incarnation, isLost bool) {
	e := m.entries[n]
	e.linkedGuards[g] = false
	delete(m.frames, [2]incarnation{n, g})
	delete(m.frames, [2]incarnation{g, n})
	e.recoveryMachine.GuardDown(m.now, g)
	if isLost {
		delete(e.ready, g)
		e.announcer.GuardLost(g, e.latestBirthMs+1)
	}
	m.runActions(n)
}

func (m *model) send(from, to incarnation, f wire.Frame) {
	if m.guards[from] == nil && m.guards[to] == nil && !m.peerLinks[[2]incarnation{from, to}] {
		return
	}
	l := [2]incarnation{from, to}
	m.frames[l] = append(m.frames[l], f)
}

// runActions executes the actions of an entry's state machines, as package peers
// does.
func (m *model) runActions(n incarnation) {
	e := m.entries[n]
	view := e.roster.View()
	for _, v := range view.Versions() {
		if v.Version > e.rosterVersion {
			e.rosterVersion = v.Version
			r := v.Message()
			if m.injectedFault == trustRemovedWitness {
				r.Members = append(slices.Clone(r.Members), wire.EntryAddr{Incarnation: n})
			}
			e.recoveryMachine.Roster(m.now, r, false)
			e.announcer.Roster(v.Version, v.Has, view.Fenced())
		}
	}
	last, _ := view.Last()
	e.announcer.Grant(last.Version, last.Has, e.latestBirthMs+1)
	for _, a := range e.roster.Actions() {
		m.rosterAction(n, a)
	}
	for _, a := range e.announcer.Actions() {
		if a.Witness != nil {
			m.send(n, a.Peer, wire.Frame{Witness: a.Witness})
		} else {
			e.ready[a.Ready] = true
		}
	}
	for _, a := range e.recoveryMachine.Actions() {
		m.recoveryAction(n, a)
	}
	if m.injectedFault == skipWitnessAcks {
		maps.Copy(e.ready, e.linkedGuards)
	}
}

func (m *model) rosterAction(n incarnation, a roster.Action) {
	switch {
	case a.Swap != nil:
		m.pendingWrites = append(m.pendingWrites, storeWrite{from: n, s: *a.Swap})
	case a.Join != nil:
		m.send(n, a.Join.To, wire.Frame{Join: a.Join.Request})
	case a.Read && m.rng.IntN(2) == 0:
		_ = m.entries[n].roster.HandleStoreValue(m.now, m.storeValue, m.storeRevision)
		m.runActions(n)
	}
	for _, to := range m.entryNames() {
		if a.Broadcast != nil {
			m.send(n, to, wire.Frame{Promise: a.Broadcast})
		}
		if a.Announce != nil && (a.Announce.To == "" || a.Announce.To == to) {
			for _, r := range a.Announce.Versions {
				m.send(n, to, wire.Frame{Roster: r})
			}
		}
	}
}

func (m *model) recoveryAction(n incarnation, a recovery.Action) {
	switch {
	case a.Fence != nil:
		m.send(n, a.Guard, wire.Frame{Fence: a.Fence})
	case a.Acknowledge != nil:
		m.send(n, a.Peer, wire.Frame{WitnessAck: a.Acknowledge})
	case a.Finding != nil && a.Finding.Verdict == recovery.NotRun:
		m.reportedNotRun[a.Finding.Job.Key] = true
		if m.startCount[a.Finding.Job.Key] > 0 {
			m.violation = fmt.Errorf("%s reports a task as not run that ran", n)
		}
	}
}

// deliver delivers the first frame of a randomly chosen link.
func (m *model) deliver() {
	var links [][2]incarnation
	for l := range m.frames {
		if e := m.entries[l[1]]; e == nil || !e.isPaused {
			links = append(links, l)
		}
	}
	if len(links) == 0 {
		clear(m.frames) // all remaining frames are for paused entries, whose links are then lost
		return
	}
	slices.SortFunc(links, func(a, b [2]incarnation) int { return slices.Compare(a[:], b[:]) })
	l := links[m.rng.IntN(len(links))]
	f := m.frames[l][0]
	if m.frames[l] = m.frames[l][1:]; len(m.frames[l]) == 0 {
		delete(m.frames, l)
	}
	if g := m.guards[l[1]]; g != nil {
		m.receiveAtGuard(g, l[1], l[0], f)
		return
	}
	m.receiveAtEntry(l[1], l[0], f)
}

func (m *model) receiveAtGuard(g *guard, at, from incarnation, f wire.Frame) {
	if f.Fence != nil {
		g.fenced[f.Fence.FencedEntry] = m.injectedFault != ignoreFence
		report := &wire.FenceReport{FencedEntry: f.Fence.FencedEntry}
		for _, s := range g.started {
			report.Started = append(report.Started, s)
		}
		m.send(at, from, wire.Frame{FenceReport: report})
		return
	}
	key, home := f.Start.Ref.Key, f.Start.Home
	if _, isStarted := g.started[key]; isStarted {
		return
	}
	if g.fenced[home] || g.refused[key] || m.rng.IntN(4) == 0 {
		g.refused[key] = true
		m.send(at, from, wire.Frame{Result: &wire.Result{Ref: f.Start.Ref, Kind: errkind.Busy, Ran: errkind.RanNo}})
		return
	}
	g.started[key] = wire.Started{Ref: f.Start.Ref, Of: 1}
	m.startCount[key]++
	if m.startCount[key] > 1 {
		m.violation = fmt.Errorf("%s starts %s a second time, for %s", at, key, home)
	}
	if m.reportedNotRun[key] {
		m.violation = fmt.Errorf("%s starts %s, for %s, after it was reported as not run", at, key, home)
	}
}

func (m *model) receiveAtEntry(n, from incarnation, f wire.Frame) {
	e := m.entries[n]
	switch {
	case f.Promise != nil:
		e.roster.Promise(m.now, from, *f.Promise)
	case f.Roster != nil:
		e.roster.HandleRoster(m.now, f.Roster)
	case f.Join != nil:
		e.roster.HandleJoin(m.now, f.Join)
	case f.Witness != nil:
		e.recoveryMachine.Witness(m.now, from, f.Witness)
	case f.WitnessAck != nil:
		e.announcer.Acknowledged(from, f.WitnessAck.Seq)
	case f.FenceReport != nil:
		e.recoveryMachine.Report(m.now, from, f.FenceReport)
	case f.Result != nil && e.assignedGuard[f.Result.Ref.Key] == from:
		delete(e.assignedGuard, f.Result.Ref.Key)
		m.placeTask(n, f.Result.Ref.Key)
	}
	m.runActions(n)
}

// submit passes a key to an entry, which starts it, forwards it, or recovers its
// outcome.
func (m *model) submit(n incarnation, key identity.Key) {
	e := m.entries[n]
	if owner, _, _ := e.roster.View().Owner("ayni", key); m.peerLinks[[2]incarnation{n, owner}] && !m.entries[owner].isPaused {
		n, e = owner, m.entries[owner]
	}
	view := e.roster.View()
	if view.MayStart("ayni", key) == nil {
		e.latestBirthMs = max(e.latestBirthMs, key.BirthMs)
		if _, isAssigned := e.assignedGuard[key.Text]; !isAssigned {
			m.placeTask(n, key.Text)
		}
		return
	}
	owner, final := view.FinalOwner("ayni", key)
	if m.injectedFault == nonFinalOwner {
		owner, _, final = view.Owner("ayni", key)
	}
	if final && owner != n {
		j := recovery.Job{Member: "ayni", Key: key.Text, BirthMs: key.BirthMs, Home: owner}
		e.recoveryMachine.Recover(m.now, j, m.now.Add(10*time.Second))
		m.runActions(n)
	}
}

// placeTask sends a task to a ready guard. If there is none, the task is dropped
// permanently.
func (m *model) placeTask(n incarnation, key string) {
	e := m.entries[n]
	e.assignedGuard[key] = ""
	var available []incarnation
	for g := range e.ready {
		if e.linkedGuards[g] {
			available = append(available, g)
		}
	}
	if len(available) == 0 {
		return
	}
	slices.Sort(available)
	e.assignedGuard[key] = m.pick(available)
	m.send(n, e.assignedGuard[key], wire.Frame{Start: &wire.Start{Ref: wire.Ref{Member: "ayni", Key: key}, Home: n, Of: 1}})
}
