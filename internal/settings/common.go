// Package settings reads and validates the INI files of both binaries. One table for each
// kind of process lists every key with its unit, default and allowed range; files are
// checked against it and the reference page is generated from it.
//
// The package may import tlsconf, and nothing else of the project.
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

// TLS holds the paths of a process's certificates. TLS is on if Cert and Key are set.
type TLS struct {
	Cert, Key string // paths of PEM files
	// ClientCA is the path of the PEM file of the authority that issues the certificates of
	// the other processes.
	ClientCA string
	// AllowPlaintextBeyondLoopback permits addresses other than loopback without TLS.
	AllowPlaintextBeyondLoopback bool
}

// Enabled reports whether TLS is on.
func (t *TLS) Enabled() bool { return t.Cert != "" && t.Key != "" }

// Server returns the configuration of a listener, or nil without TLS. If mutual is set,
// only clients with a certificate issued by ClientCA are accepted.
func (t *TLS) Server(mutual bool) (*tls.Config, error) {
	switch {
	case !t.Enabled():
		return nil, nil
	case mutual:
		return wrapTLSError(tlsconf.InnerServer(t.files()))
	}
	return wrapTLSError(tlsconf.CallerServer(t.files()))
}

// Client returns the configuration for connections to other processes of the system, or nil
// without TLS.
func (t *TLS) Client() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return wrapTLSError(tlsconf.InnerClient(t.files()))
}

// wrapTLSError adds to an error the names of the settings that it concerns.
func wrapTLSError(conf *tls.Config, err error) (*tls.Config, error) {
	if err != nil {
		return nil, fmt.Errorf("[tls] cert, key: %w", err)
	}
	return conf, nil
}

func (t *TLS) files() tlsconf.Files {
	return tlsconf.Files{Cert: t.Cert, Key: t.Key, CA: t.ClientCA}
}

// validate rejects a certificate without a key or a key without a certificate, and plaintext
// on addresses beyond loopback: tokens and bookings would cross the network unencrypted
// without any sign of it. addrs maps "section.key" to the addresses set there.
func (t *TLS) validate(file string, addrs map[string][]string) error {
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
	for _, setting := range slices.Sorted(maps.Keys(addrs)) {
		section, key, _ := strings.Cut(setting, ".")
		for _, addr := range addrs[setting] {
			if checkAddress(addr) == nil && !isLoopback(addr) {
				errs = append(errs, &Error{File: file, Section: section, Key: key, Problem: fmt.Sprintf(
					"%s is beyond loopback: set [tls] cert and key, or allow_plaintext_beyond_loopback = true", addr)})
			}
		}
	}
	return errors.Join(errs...)
}

// Log holds the format and level of the log.
type Log struct {
	Format string // "text" or "json"
	Level  string // "debug", "info", "warn" or "error"
}

// Fleet holds what authenticates a process of this system to the others.
type Fleet struct {
	// KeyFile is the path of the file with the key for opening links: the key that all
	// entries share, or a guard's key.
	KeyFile string
}

// minKeyLen is the minimum length of a key, in bytes.
const minKeyLen = 16

// Key reads the key for opening links. It is empty without a KeyFile.
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

// Byte units.
const (
	kib = 1 << 10
	mib = 1 << 20
)

func tlsFields[T any](target func(*T) *TLS) []field[T] {
	return []field[T]{
		textField("tls", "cert", "", "PEM file of this process's certificate. With `key` it turns TLS on for every address of this process.",
			func(t *T) *string { return &target(t).Cert }),
		textField("tls", "key", "", "PEM file of the certificate's private key.",
			func(t *T) *string { return &target(t).Key }),
		textField("tls", "client_ca", "", "PEM file of the authority of the other processes' certificates. With it only processes that it vouches for may open links.",
			func(t *T) *string { return &target(t).ClientCA }),
		boolField("tls", "allow_plaintext_beyond_loopback", "Permits addresses other than loopback without TLS. Tokens and requests then cross the network in the clear.",
			func(t *T) *bool { return &target(t).AllowPlaintextBeyondLoopback }),
	}
}

func logFields[T any](target func(*T) *Log) []field[T] {
	return []field[T]{
		choiceField("log", "format", "text", "Form of log lines.", []string{"text", "json"},
			func(t *T) *string { return &target(t).Format }),
		choiceField("log", "level", "info", "Least level of the lines that are written.", []string{"debug", "info", "warn", "error"},
			func(t *T) *string { return &target(t).Level }),
	}
}

func fleetFields[T any](doc string, target func(*T) *Fleet) []field[T] {
	return []field[T]{
		textField("fleet", "key_file", "", doc, func(t *T) *string { return &target(t).KeyFile }),
	}
}

// NoMemoryLimit is the value of the memory setting that sets no limit.
const NoMemoryLimit = 1 << 40

// memoryField is the soft memory limit. It has a minimum, since a process whose live data
// exceed the limit collects garbage continuously: it would respond at half speed, and only
// its CPU time would show why.
func memoryField[T any](def int64, target func(*T) *int64) field[T] {
	return integerField("limits", "memory_bytes", "bytes", def, 16*mib, NoMemoryLimit,
		"Soft limit on the memory of the process. Below it the heap may grow to twice its live data (GOGC, 100 unless set in the environment); near it garbage is collected more often. Set it well above the live data, or the processor time goes to the collector. 1 TiB is no limit. GOMEMLIMIT in the environment goes before it. The limits on connections and on the content of requests follow from it, or from the machine's memory if there is no limit.", target)
}

// descriptorsField is the limit of open descriptors.
func descriptorsField[T any](target func(*T) *int64) field[T] {
	return integerField("limits", "descriptors", "descriptors", 0, 0, 1<<30,
		"Most descriptors that the process may have open; with 0 the operating system's limit. The limits on connections follow from it and from the memory.", target)
}

func headerTimeoutField[T any](target func(*T) *time.Duration) field[T] {
	return millisField("limits", "header_timeout_ms", 5000, 100, 60_000, "Time in which a client must have sent its request's header.", target)
}
