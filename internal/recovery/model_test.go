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

type name = identity.Incarnation

// entry is one process: the real machines, and the least of a registry and a
// placement around them.
type entry struct {
	roster   *roster.Machine
	announce *recovery.Announcer
	recover  *recovery.Machine
	version  int64
	latest   int64
	ready    map[name]bool
	linked   map[name]bool // guards
	placed   map[string]name
	dead     bool
	paused   bool
}

// guard is the least of a ledger: a task starts at most once, a refusal is
// final, and a fenced home is refused for good.
type guard struct {
	started map[string]wire.Started
	refused map[string]bool
	fenced  map[name]bool
	dead    bool
}

// model is up to five entries, four guards, jobs of one task, half of them
// under tickets, and the store. Frames between two processes keep their order
// and are lost with their link.
type model struct {
	rule    rule
	rng     *rand.Rand
	now     time.Time
	entries map[name]*entry
	guards  map[name]*guard
	frames  map[[2]name][]wire.Frame
	peers   map[[2]name]bool // links between entries, in both orders
	value   []byte
	rev     int64
	swaps   []swap
	answers []answer // of the store, held up
	keys    []identity.Key
	starts  map[string]int
	notRun  map[string]bool
	leftOut name // by a roster, without being declared gone
	err     error
}

type swap struct {
	from   name
	s      roster.Swap
	silent bool // the sender gave up
}

type answer struct {
	to       name
	id       uint64
	outcome  roster.Outcome
	revision int64
}

var timing = roster.Options{
	Period: time.Second, Horizon: 3 * time.Second, JoinLead: 3 * time.Second, Lead: 12 * time.Second,
	Renew: 4 * time.Second, Retry: time.Second, Takeover: time.Second, RankDelay: time.Millisecond,
}

func newModel(r rule, seed uint64) *model {
	m := &model{
		rule: r, rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_790_000_000_000),
		entries: make(map[name]*entry), guards: make(map[name]*guard), frames: make(map[[2]name][]wire.Frame),
		peers: make(map[[2]name]bool), starts: make(map[string]int), notRun: make(map[string]bool),
	}
	addr := func(n name) wire.EntryAddr { return wire.EntryAddr{Incarnation: n} }
	m.value, _ = roster.History{Versions: []roster.Version{{
		Version: 1, FromMs: m.now.UnixMilli(), Members: []wire.EntryAddr{addr("a"), addr("b"), addr("c")},
		CeilingMs: m.now.Add(timing.Lead).UnixMilli(),
	}}}.Encode()
	m.rev = 1
	for i := range 6 {
		m.keys = append(m.keys, m.newKey(i%2 == 0))
	}
	for _, n := range []name{"a", "b", "c"} {
		m.entryStarts(n)
	}
	m.guardStarts("x")
	for _, n := range m.names() {
		m.linkGuard(n, "x")
	}
	m.settle(8)
	return m
}

// newKey draws an identity that is born within the run: a plain one, or a ticket
// of entry a.
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

func (m *model) entryStarts(n name) {
	m.entries[n] = &entry{
		roster: roster.NewMachine(wire.EntryAddr{Incarnation: n}, timing), announce: recovery.NewAnnouncer(),
		recover: recovery.NewMachine(n, recovery.Options{Grace: time.Second}),
		ready:   make(map[name]bool), linked: make(map[name]bool), placed: make(map[string]name),
	}
	_ = m.entries[n].roster.Stored(m.now, m.value, m.rev)
	m.after(n)
	for _, o := range m.names() {
		m.link(n, o)
	}
	for _, g := range slices.Sorted(maps.Keys(m.guards)) {
		m.linkGuard(n, g)
	}
}

func (m *model) guardStarts(g name) {
	m.guards[g] = &guard{started: make(map[string]wire.Started), refused: make(map[string]bool), fenced: make(map[name]bool)}
	for _, n := range m.names() {
		if m.rng.IntN(2) == 0 {
			m.linkGuard(n, g) // the others find it later, or never
		}
	}
}

func (m *model) names() []name { return slices.Sorted(maps.Keys(m.entries)) }

func (m *model) pick(of []name) name { return of[m.rng.IntN(len(of))] }

// settle delivers everything a few times.
func (m *model) settle(rounds int) {
	for range rounds {
		for _, n := range m.names() {
			m.entries[n].roster.Tick(m.now)
			m.after(n)
		}
		for range 50 {
			m.deliver()
		}
	}
}

func (m *model) link(a, b name) {
	if a == b || m.peers[[2]name{a, b}] || m.entries[a].dead || m.entries[b].dead {
		return
	}
	for _, p := range [][2]name{{a, b}, {b, a}} {
		m.peers[p] = true
		e := m.entries[p[0]]
		e.roster.Trust(m.now, p[1])
		e.roster.Linked(m.now, p[1])
		e.announce.PeerUp(p[1])
		m.after(p[0])
	}
}

func (m *model) unlink(a, b name) {
	for _, p := range [][2]name{{a, b}, {b, a}} {
		if m.peers[p] {
			delete(m.peers, p)
			m.entries[p[0]].announce.PeerDown(p[1])
		}
		delete(m.frames, p)
	}
}

func (m *model) linkGuard(n, g name) {
	e := m.entries[n]
	if e.dead || m.guards[g].dead || e.linked[g] {
		return
	}
	e.linked[g] = true
	e.recover.GuardUp(m.now, g)
	e.announce.GuardUp(g)
	for _, k := range slices.Sorted(maps.Keys(e.placed)) {
		if e.placed[k] == g { // in doubt: sent again to the same guard
			m.send(n, g, wire.Frame{Start: &wire.Start{Ref: wire.Ref{Member: "ayni", Key: k}, Home: n, Of: 1}})
		}
	}
	m.after(n)
}

// unlinkGuard breaks a link; for good when the entry gives the guard up.
func (m *model) unlinkGuard(n, g name, lost bool) {
	e := m.entries[n]
	e.linked[g] = false
	delete(m.frames, [2]name{n, g})
	delete(m.frames, [2]name{g, n})
	e.recover.GuardDown(m.now, g)
	if lost {
		delete(e.ready, g)
		e.announce.GuardLost(g, e.latest+1)
	}
	m.after(n)
}

func (m *model) send(from, to name, f wire.Frame) {
	if m.guards[from] == nil && m.guards[to] == nil && !m.peers[[2]name{from, to}] {
		return
	}
	l := [2]name{from, to}
	m.frames[l] = append(m.frames[l], f)
}

// after carries out the actions of an entry's machines, as package peers does.
func (m *model) after(n name) {
	e := m.entries[n]
	view := e.roster.View()
	for _, v := range view.Versions() {
		if v.Version > e.version {
			e.version = v.Version
			r := v.Message()
			if m.rule == trustLeftOut {
				r.Members = append(slices.Clone(r.Members), wire.EntryAddr{Incarnation: n})
			}
			e.recover.Roster(m.now, r, false)
			e.announce.Roster(v.Version, v.Has, view.Fenced())
		}
	}
	last, _ := view.Last()
	e.announce.Grant(last.Version, last.Has, e.latest+1)
	for _, a := range e.roster.Actions() {
		m.rosterAction(n, a)
	}
	for _, a := range e.announce.Actions() {
		if a.Witness != nil {
			m.send(n, a.Peer, wire.Frame{Witness: a.Witness})
		} else {
			e.ready[a.Ready] = true
		}
	}
	for _, a := range e.recover.Actions() {
		m.recoveryAction(n, a)
	}
	if m.rule == noWitness {
		maps.Copy(e.ready, e.linked)
	}
}

func (m *model) rosterAction(n name, a roster.Action) {
	switch {
	case a.Swap != nil:
		m.swaps = append(m.swaps, swap{from: n, s: *a.Swap})
	case a.Join != nil:
		m.send(n, a.Join.To, wire.Frame{Join: a.Join.Ask})
	case a.Read && m.rng.IntN(2) == 0:
		_ = m.entries[n].roster.Stored(m.now, m.value, m.rev)
		m.after(n)
	}
	for _, to := range m.names() {
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

func (m *model) recoveryAction(n name, a recovery.Action) {
	switch {
	case a.Fence != nil:
		m.send(n, a.Guard, wire.Frame{Fence: a.Fence})
	case a.Acknowledge != nil:
		m.send(n, a.Peer, wire.Frame{Witnessed: a.Acknowledge})
	case a.Finding != nil && a.Finding.Verdict == recovery.NotRun:
		m.notRun[a.Finding.Job.Key] = true
		if m.starts[a.Finding.Job.Key] > 0 {
			m.err = fmt.Errorf("%s says not run about a task that ran", n)
		}
	}
}

// deliver hands over the first frame of a link drawn at random.
func (m *model) deliver() {
	var links [][2]name
	for l := range m.frames {
		if e := m.entries[l[1]]; e == nil || !e.paused {
			links = append(links, l)
		}
	}
	if len(links) == 0 {
		clear(m.frames) // only to paused entries; their links broke
		return
	}
	slices.SortFunc(links, func(a, b [2]name) int { return slices.Compare(a[:], b[:]) })
	l := links[m.rng.IntN(len(links))]
	f := m.frames[l][0]
	if m.frames[l] = m.frames[l][1:]; len(m.frames[l]) == 0 {
		delete(m.frames, l)
	}
	if g := m.guards[l[1]]; g != nil {
		m.atGuard(g, l[1], l[0], f)
		return
	}
	m.atEntry(l[1], l[0], f)
}

func (m *model) atGuard(g *guard, at, from name, f wire.Frame) {
	if f.Fence != nil {
		g.fenced[f.Fence.Gone] = m.rule != fenceForgotten
		report := &wire.FenceReport{Gone: f.Fence.Gone}
		for _, s := range g.started {
			report.Started = append(report.Started, s)
		}
		m.send(at, from, wire.Frame{FenceReport: report})
		return
	}
	key, home := f.Start.Ref.Key, f.Start.Home
	if _, again := g.started[key]; again {
		return
	}
	if g.fenced[home] || g.refused[key] || m.rng.IntN(4) == 0 {
		g.refused[key] = true
		m.send(at, from, wire.Frame{Result: &wire.Result{Ref: f.Start.Ref, Kind: errkind.Busy, Ran: errkind.RanNo}})
		return
	}
	g.started[key] = wire.Started{Ref: f.Start.Ref, Of: 1}
	m.starts[key]++
	if m.starts[key] > 1 {
		m.err = fmt.Errorf("%s starts %s a second time, for %s", at, key, home)
	}
	if m.notRun[key] {
		m.err = fmt.Errorf("%s starts %s, for %s, after it was said not to run", at, key, home)
	}
}

func (m *model) atEntry(n, from name, f wire.Frame) {
	e := m.entries[n]
	switch {
	case f.Promise != nil:
		e.roster.Promise(m.now, from, *f.Promise)
	case f.Roster != nil:
		e.roster.Learned(m.now, f.Roster)
	case f.Join != nil:
		e.roster.JoinAsked(m.now, f.Join)
	case f.Witness != nil:
		e.recover.Witness(m.now, from, f.Witness)
	case f.Witnessed != nil:
		e.announce.Acknowledged(from, f.Witnessed.Seq)
	case f.FenceReport != nil:
		e.recover.Report(m.now, from, f.FenceReport)
	case f.Result != nil && e.placed[f.Result.Ref.Key] == from:
		delete(e.placed, f.Result.Ref.Key)
		m.place(n, f.Result.Ref.Key)
	}
	m.after(n)
}

// submit brings a key to an entry, which starts it, passes it on, or finds out
// what became of it.
func (m *model) submit(n name, key identity.Key) {
	e := m.entries[n]
	if owner, _, _ := e.roster.View().Owner("ayni", key); m.peers[[2]name{n, owner}] && !m.entries[owner].paused {
		n, e = owner, m.entries[owner]
	}
	view := e.roster.View()
	if view.MayStart("ayni", key) == nil {
		e.latest = max(e.latest, key.BirthMs)
		if _, before := e.placed[key.Text]; !before {
			m.place(n, key.Text)
		}
		return
	}
	owner, final := view.FinalOwner("ayni", key)
	if m.rule == ownerNotFinal {
		owner, _, final = view.Owner("ayni", key)
	}
	if final && owner != n {
		j := recovery.Job{Member: "ayni", Key: key.Text, BirthMs: key.BirthMs, Home: owner}
		e.recover.Recover(m.now, j, m.now.Add(10*time.Second))
		m.after(n)
	}
}

// place sends a task to a ready guard, or drops it for good when there is none.
func (m *model) place(n name, key string) {
	e := m.entries[n]
	e.placed[key] = ""
	var fit []name
	for g := range e.ready {
		if e.linked[g] {
			fit = append(fit, g)
		}
	}
	if len(fit) == 0 {
		return
	}
	slices.Sort(fit)
	e.placed[key] = m.pick(fit)
	m.send(n, e.placed[key], wire.Frame{Start: &wire.Start{Ref: wire.Ref{Member: "ayni", Key: key}, Home: n, Of: 1}})
}
