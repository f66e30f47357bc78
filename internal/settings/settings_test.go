package settings

import (
	"crypto/tls"
	flags "flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const validEntry = `
[node]
name = entry-1
region = lima
failure_domain = ate
[listen]
callers = 127.0.0.1:7001
inner = 127.0.0.1:7002
[store]
endpoints = http://127.0.0.1:2379
`

const validGuard = `
[node]
worker = w-1
rack = r-1
failure_domain = ate
region = lima
[entries]
addresses = 127.0.0.1:7002
[upstream]
url = http://127.0.0.1:8080
service = ayni/reserva
`

func TestDefaults(t *testing.T) {
	c := qt.New(t)
	e, err := parseEntry("e.ini", []byte(validEntry))
	c.Assert(err, qt.IsNil)
	c.Assert(e.AdvertiseInner, qt.Equals, "127.0.0.1:7002")
	c.Assert(e.Limits.HeaderTimeout, qt.Equals, 5*time.Second)
	c.Assert(e.Store.Endpoints, qt.DeepEquals, []string{"http://127.0.0.1:2379"})
	g, err := parseGuard("g.ini", []byte(validGuard))
	c.Assert(err, qt.IsNil)
	c.Assert(g.Upstream.Slots, qt.Equals, int64(8))
	c.Assert(g.Upstream.Connections, qt.Equals, int64(64))
	c.Assert(g.Log.Format, qt.Equals, "text")
}

func TestExampleFilesLoad(t *testing.T) {
	for _, member := range []string{"ayni", "leeuwin"} {
		dir := filepath.Join("..", "..", "examples", member)
		_, err := LoadEntry(filepath.Join(dir, "entry.ini"))
		qt.Check(t, err, qt.IsNil)
		_, err = LoadGuard(filepath.Join(dir, "guard.ini"))
		qt.Check(t, err, qt.IsNil)
	}
}

// If an unknown or invalid key were ignored, the process would run with a default although
// the operator expects a changed value. The process must refuse to start and name the file,
// section and key.
func TestInvalidSettingsAreRefused(t *testing.T) {
	for text, want := range map[string]string{
		"[limits]\nbody = 1":                           `e.ini: \[limits\] body: unknown key`,
		"[limit]\nbody_bytes = 1":                      `e.ini: \[limit\] unknown section`,
		"[limits]\nbody_bytes = 8M":                    `e.ini: \[limits\] body_bytes: "8M": want a whole number`,
		"[limits]\nbody_bytes = 1":                     `e.ini: \[limits\] body_bytes: 1 is not within 1024 to 67108864`,
		"[limits]\nbody_bytes =":                       `e.ini: \[limits\] body_bytes: empty; .*`,
		"[limits]\nrecords = 5000\nrecords=5000":       `e.ini: \[limits\] records: stands twice`,
		"[peers]\naddresses = entry-2:7002":            `e.ini: \[peers\] addresses: "entry-2:7002": want an IP number and a port`,
		"[peers]\naddresses = 127.0.0.1:70020":         `e.ini: \[peers\] addresses: .*port.*`,
		"[log]\nlevel = loud":                          `e.ini: \[log\] level: "loud" is none of debug, info, warn, error`,
		"[log]\nlevel = info ; or debug":               `e.ini: \[log\] level: "info ; or debug" is none of .*`,
		"[operators]\nconsortium_token_sha256=x":       `e.ini: \[operators\] consortium_token_sha256: want 64 .*`,
		"[tls]\nclient_ca = ca.pem":                    `e.ini: \[tls\] client_ca: needs cert and key`,
		"[tls]\ncert = c.pem":                          `e.ini: \[tls\] cert: cert and key must be set together`,
		"[tls]\ncert = c.pem\nkey = k.pem":             `e.ini: \[tls\] client_ca: missing; .*`,
		"[tls]\nallow_plaintext_beyond_loopback = yes": `e.ini: \[tls\] allow_plaintext_beyond_loopback: "yes": want true or false`,
		"[":                `e.ini: .*unclosed section.*`,
		"[log]\nnonsense":  `e.ini: .*nonsense.*`,
		"[DEFAULT]\na = 1": `e.ini: \[DEFAULT\] unknown section`,
	} {
		_, err := parseEntry("e.ini", []byte(validEntry+text))
		qt.Check(t, err, qt.ErrorMatches, want, qt.Commentf("%q", text))
	}
}

// All missing keys are reported at once, so that the operator does not need one start for
// each of them.
func TestAllMissingKeysAreReported(t *testing.T) {
	_, err := parseEntry("e.ini", []byte("[node]\nname =\n"))
	qt.Assert(t, err, qt.ErrorMatches, `e.ini: \[node\] name: missing
e.ini: \[node\] region: missing
e.ini: \[node\] failure_domain: missing
e.ini: \[listen\] callers: missing
e.ini: \[listen\] inner: missing
e.ini: \[store\] endpoints: missing`)
}

// An entry that listens beyond loopback without TLS would send tokens and bookings over the
// network unencrypted, without any sign of it. Only an explicit setting permits this.
func TestPlaintextBeyondLoopbackIsRefused(t *testing.T) {
	c := qt.New(t)
	exposed := strings.Replace(validEntry, "callers = 127.0.0.1", "callers = 10.0.0.5", 1)
	_, err := parseEntry("e.ini", []byte(exposed))
	c.Assert(err, qt.ErrorMatches, `e.ini: \[listen\] callers: 10.0.0.5:7001 is beyond loopback: .*`)
	_, err = parseEntry("e.ini", []byte(exposed+"[tls]\nallow_plaintext_beyond_loopback = true\n"))
	c.Assert(err, qt.IsNil)
	_, err = parseEntry("e.ini", []byte(exposed+"[tls]\ncert = c.pem\nkey = k.pem\nclient_ca = ca.pem\n"))
	c.Assert(err, qt.IsNil)
	_, err = parseEntry("e.ini", []byte(strings.Replace(validEntry, "inner = 127.0.0.1", "inner = 0.0.0.0", 1)+
		"[tls]\ncert = c.pem\nkey = k.pem\nclient_ca = ca.pem\n"))
	c.Assert(err, qt.ErrorMatches, `e.ini: \[listen\] advertise_inner: 0.0.0.0 is no address that others can reach`)
	_, err = parseGuard("g.ini", []byte(strings.Replace(validGuard, "127.0.0.1:7002", "10.0.0.5:7002", 1)))
	c.Assert(err, qt.ErrorMatches, `g.ini: \[entries\] addresses: 10.0.0.5:7002 is beyond loopback: .*`)
}

func TestMissingFileIsReported(t *testing.T) {
	_, err := LoadEntry(filepath.Join(t.TempDir(), "none.ini"))
	qt.Assert(t, err, qt.ErrorMatches, `.*none.ini: .*no such file.*`)
}

func TestFleetKey(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "key")
	c.Assert(os.WriteFile(file, []byte("short\n"), 0o600), qt.IsNil)
	_, err := (&Fleet{KeyFile: file}).Key()
	c.Assert(err, qt.ErrorMatches, `\[fleet\] key_file: .* fewer than 16 bytes`)
	c.Assert(os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600), qt.IsNil)
	key, err := (&Fleet{KeyFile: file}).Key()
	c.Assert(err, qt.IsNil)
	c.Assert(key, qt.Equals, "0123456789abcdef")
}

// If the certificate file is missing at start, the process must report it; without TLS it
// would serve unencrypted.
func TestMissingCertificateIsReported(t *testing.T) {
	c := qt.New(t)
	disabled := &TLS{}
	conf, err := disabled.Server(true)
	c.Assert(err, qt.IsNil)
	c.Assert(conf, qt.Equals, (*tls.Config)(nil))
	_, err = (&TLS{Cert: "no.pem", Key: "no.key"}).Server(true)
	c.Assert(err, qt.ErrorMatches, `\[tls\] cert, key: .*`)
	_, err = (&TLS{Cert: "no.pem", Key: "no.key"}).Client()
	c.Assert(err, qt.ErrorMatches, `\[tls\] cert, key: .*`)
}

var update = flags.Bool("update", false, "write the generated pages")

func TestReferencePageIsUpToDate(t *testing.T) {
	file := filepath.Join("..", "..", "docs", "settings.md")
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(Reference()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, Reference())
}

// A corrupted settings file can contain arbitrary bytes. The process must report the
// problem and not crash, and every value that it accepts must be in range.
func FuzzEntry(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := parseEntry("e.ini", b)
		if err != nil {
			return
		}
		if e.Name == "" || checkAddress(e.Callers) != nil || checkAddress(e.Inner) != nil || len(e.Store.Endpoints) == 0 {
			t.Fatalf("accepted: %+v", e)
		}
		if !e.TLS.Enabled() && !e.TLS.AllowPlaintextBeyondLoopback && !isLoopback(e.Callers) {
			t.Fatalf("accepted plaintext beyond loopback: %+v", e)
		}
	})
}

// FuzzGuard is FuzzEntry for the settings file of a guard.
func FuzzGuard(f *testing.F) {
	f.Add([]byte(validGuard))
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := parseGuard("g.ini", b)
		if err == nil && (g.Worker == "" || len(g.Entries) == 0 || g.Upstream.Slots < 1 || checkURL(g.Upstream.URL) != nil) {
			t.Fatalf("accepted: %+v", g)
		}
	})
}
