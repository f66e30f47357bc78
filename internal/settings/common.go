// Package settings owns the INI files of both binaries: every key with its
// unit, default and range in one table for each binary, from which files are
// checked and the reference page is generated.
//
// It may import tlsconf.
package settings

import (
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/tlsconf"
)

// TLS names the certificates of a process. TLS is on when Cert and Key are set.
type TLS struct {
	Cert, Key string // paths of PEM files
	// ClientCA is the path of the PEM file of the authority that the other
	// processes' certificates come from.
	ClientCA string
	// AllowPlaintextBeyondLoopback permits addresses other than loopback
	// without TLS.
	AllowPlaintextBeyondLoopback bool
}

// Enabled tells whether TLS is on.
func (t *TLS) Enabled() bool { return t.Cert != "" && t.Key != "" }

// Server gives the configuration of a listener, nil without TLS. With mutual,
// only clients with a certificate of ClientCA are let in.
func (t *TLS) Server(mutual bool) (*tls.Config, error) {
	switch {
	case !t.Enabled():
		return nil, nil
	case mutual:
		return inSection(tlsconf.InnerServer(t.files()))
	}
	return inSection(tlsconf.CallerServer(t.files()))
}

// Client gives the configuration of connections to other processes of the
// system, nil without TLS.
func (t *TLS) Client() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return inSection(tlsconf.InnerClient(t.files()))
}

// inSection says which settings an error is about.
func inSection(c *tls.Config, err error) (*tls.Config, error) {
	if err != nil {
		return nil, fmt.Errorf("[tls] cert, key: %w", err)
	}
	return c, nil
}

func (t *TLS) files() tlsconf.Files {
	return tlsconf.Files{Cert: t.Cert, Key: t.Key, CA: t.ClientCA}
}

// check refuses half a pair, and plaintext that leaves the machine: tokens and
// bookings would cross the network in the clear, and nothing would show it.
// addrs are lists of addresses by "section.key".
func (t *TLS) check(file string, addrs map[string][]string) error {
	var errs []error
	if (t.Cert == "") != (t.Key == "") {
		errs = append(errs, &Error{File: file, Section: "tls", Key: "cert", Problem: "cert and key must be set together"})
	}
	if t.ClientCA == "" && t.Enabled() {
		errs = append(errs, &Error{File: file, Section: "tls", Key: "client_ca", Problem: "missing; without it any certificate would open links"})
	}
	if t.ClientCA != "" && !t.Enabled() {
		errs = append(errs, &Error{File: file, Section: "tls", Key: "client_ca", Problem: "needs cert and key"})
	}
	if t.Enabled() || t.AllowPlaintextBeyondLoopback {
		return errors.Join(errs...)
	}
	for _, place := range slices.Sorted(maps.Keys(addrs)) {
		section, key, _ := strings.Cut(place, ".")
		for _, addr := range addrs[place] {
			if checkAddress(addr) == nil && !isLoopback(addr) {
				errs = append(errs, &Error{File: file, Section: section, Key: key, Problem: fmt.Sprintf(
					"%s is beyond loopback: set [tls] cert and key, or allow_plaintext_beyond_loopback = true", addr)})
			}
		}
	}
	return errors.Join(errs...)
}

// Log says how lines are written.
type Log struct {
	Format string // "text" or "json"
	Level  string // "debug", "info", "warn" or "error"
}

// Fleet holds what only processes of this system know.
type Fleet struct {
	// KeyFile is the path of the file that holds the key of links: that which all
	// entries share, or a guard's.
	KeyFile string
}

// minKeyLen is the least length of a key, in bytes.
const minKeyLen = 16

// Key reads the key of links; empty without a KeyFile.
func (f *Fleet) Key() (string, error) { return readKey("key_file", f.KeyFile) }

// readKey reads a key of section fleet from its file.
func readKey(setting, file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("[fleet] %s: %w", setting, err)
	}
	key := strings.TrimSpace(string(b))
	if len(key) < minKeyLen {
		return "", fmt.Errorf("[fleet] %s: %s holds fewer than %d bytes", setting, file, minKeyLen)
	}
	return key, nil
}

// Limits that both binaries have.
const (
	kib = 1 << 10
	mib = 1 << 20
)

func tlsFields[T any](at func(*T) *TLS) []field[T] {
	return []field[T]{
		text("tls", "cert", "", "PEM file of this process's certificate. With `key` it turns TLS on for every address of this process.",
			func(t *T) *string { return &at(t).Cert }),
		text("tls", "key", "", "PEM file of the certificate's private key.",
			func(t *T) *string { return &at(t).Key }),
		text("tls", "client_ca", "", "PEM file of the authority of the other processes' certificates. With it only processes that it vouches for may open links.",
			func(t *T) *string { return &at(t).ClientCA }),
		flag("tls", "allow_plaintext_beyond_loopback", "Permits addresses other than loopback without TLS. Tokens and requests then cross the network in the clear.",
			func(t *T) *bool { return &at(t).AllowPlaintextBeyondLoopback }),
	}
}

func logFields[T any](at func(*T) *Log) []field[T] {
	return []field[T]{
		choice("log", "format", "text", "Form of log lines.", []string{"text", "json"},
			func(t *T) *string { return &at(t).Format }),
		choice("log", "level", "info", "Least level of the lines that are written.", []string{"debug", "info", "warn", "error"},
			func(t *T) *string { return &at(t).Level }),
	}
}

func fleetFields[T any](doc string, at func(*T) *Fleet) []field[T] {
	return []field[T]{
		text("fleet", "key_file", "", doc, func(t *T) *string { return &at(t).KeyFile }),
	}
}

// NoMemoryLimit leaves the memory of a process to the collector.
const NoMemoryLimit = 1 << 40

// memory is checked for a least value, as a process whose data exceed its limit
// collects garbage without end: it would answer at half speed, and nothing but
// its processor time would show it.
func memory[T any](def int64, at func(*T) *int64) field[T] {
	return integer("limits", "memory_bytes", "bytes", def, 16*mib, NoMemoryLimit,
		"Soft limit on the memory of the process. Below it the heap may grow to twice its live data (GOGC, 100 unless set in the environment); near it garbage is collected more often. Set it well above the live data, or the processor time goes to the collector. 1 TiB is no limit. GOMEMLIMIT in the environment goes before it.", at)
}

func headerTimeout[T any](at func(*T) *time.Duration) field[T] {
	return millis("limits", "header_timeout_ms", 5000, 100, 60_000, "Time in which a client must have sent its request's header.", at)
}
