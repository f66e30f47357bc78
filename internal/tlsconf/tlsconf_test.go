package tlsconf

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func generateTestFleet(c *qt.C) (entry, guard Files) {
	dir := c.TempDir()
	c.Assert(GenerateFleet(dir, []string{"127.0.0.1", "entry-1.example"}, time.Now()), qt.IsNil)
	pathOf := func(name string) string { return filepath.Join(dir, name) }
	return Files{pathOf(EntryCertFile), pathOf(EntryKeyFile), pathOf(CACertFile)}, Files{pathOf(GuardCertFile), pathOf(GuardKeyFile), pathOf(CACertFile)}
}

// handshake connects a client and a server over loopback and returns the error of
// each side. The client reads one byte, because TLS 1.3 reports a rejected client
// certificate only on the first read.
func handshake(c *qt.C, server, client *tls.Config) (serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(conn, server)
		err = s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		_ = s.Close()
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr == nil {
		_, clientErr = io.ReadFull(conn, make([]byte, 1))
		_ = conn.Close()
	}
	return <-done, clientErr
}

func TestInnerServerAcceptsFleetCertificates(t *testing.T) {
	c := qt.New(t)
	entry, guard := generateTestFleet(c)
	server, err := InnerServer(entry)
	c.Assert(err, qt.IsNil)
	for _, files := range []Files{guard, entry} {
		client, err := InnerClient(files)
		c.Assert(err, qt.IsNil)
		serverErr, clientErr := handshake(c, server, client)
		c.Assert(serverErr, qt.IsNil)
		c.Assert(clientErr, qt.IsNil)
	}
}

// Dials an entry's inner port without a certificate, and with one of another
// fleet. If the entry accepted such a client, it could register an upstream and
// receive members' tasks.
func TestInnerServerRejectsUnknownClients(t *testing.T) {
	c := qt.New(t)
	entry, _ := generateTestFleet(c)
	server, err := InnerServer(entry)
	c.Assert(err, qt.IsNil)
	withoutCert, err := ExternalClient(Files{CA: entry.CA})
	c.Assert(err, qt.IsNil)
	serverErr, clientErr := handshake(c, server, withoutCert)
	c.Assert(serverErr, qt.IsNotNil)
	c.Assert(clientErr, qt.IsNotNil)

	_, foreignFiles := generateTestFleet(c)
	foreignFiles.CA = entry.CA
	foreign, err := InnerClient(foreignFiles)
	c.Assert(err, qt.IsNil)
	serverErr, _ = handshake(c, server, foreign)
	c.Assert(serverErr, qt.IsNotNil)
}

// Dials a server that uses a guard's certificate, as an impostor with a stolen one
// would. A guard that accepted it as an entry would run any task it sends.
func TestGuardCertificateCannotServe(t *testing.T) {
	c := qt.New(t)
	_, guard := generateTestFleet(c)
	server, err := InnerServer(guard)
	c.Assert(err, qt.IsNil)
	client, err := InnerClient(guard)
	c.Assert(err, qt.IsNil)
	_, clientErr := handshake(c, server, client)
	c.Assert(clientErr, qt.IsNotNil)
}

func TestInnerServerRequiresTLS13(t *testing.T) {
	c := qt.New(t)
	entry, guard := generateTestFleet(c)
	server, err := InnerServer(entry)
	c.Assert(err, qt.IsNil)
	client, err := InnerClient(guard)
	c.Assert(err, qt.IsNil)
	client.MinVersion, client.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	serverErr, _ := handshake(c, server, client)
	c.Assert(serverErr, qt.IsNotNil)

	callers, err := CallerServer(entry)
	c.Assert(err, qt.IsNil)
	caller, err := ExternalClient(Files{CA: entry.CA})
	c.Assert(err, qt.IsNil)
	caller.MaxVersion = tls.VersionTLS12
	serverErr, clientErr := handshake(c, callers, caller)
	c.Assert(serverErr, qt.IsNil)
	c.Assert(clientErr, qt.IsNil)
}

func TestMissingFilesAreReported(t *testing.T) {
	c := qt.New(t)
	_, err := CallerServer(Files{Cert: "only.pem"})
	c.Assert(err, qt.ErrorIs, errNoKeyPair)
	entry, _ := generateTestFleet(c)
	entry.CA = ""
	_, err = InnerServer(entry)
	c.Assert(err, qt.ErrorIs, errNoCA)
	_, err = ExternalClient(Files{CA: "absent.pem"})
	c.Assert(err, qt.ErrorMatches, ".*absent.pem.*")
}

// Generates a fleet twice in the same directory. If the second call replaced the
// CA, every running process would reject processes with the new certificates.
func TestGenerateFleetDoesNotOverwriteFiles(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	c.Assert(GenerateFleet(dir, []string{"127.0.0.1"}, time.Now()), qt.IsNil)
	before, err := os.ReadFile(filepath.Join(dir, CACertFile))
	c.Assert(err, qt.IsNil)
	c.Assert(GenerateFleet(dir, []string{"127.0.0.1"}, time.Now()), qt.ErrorMatches, ".*file exists")
	after, err := os.ReadFile(filepath.Join(dir, CACertFile))
	c.Assert(err, qt.IsNil)
	c.Assert(string(after), qt.Equals, string(before))
	info, err := os.Stat(filepath.Join(dir, GuardKeyFile))
	c.Assert(err, qt.IsNil)
	c.Assert(info.Mode().Perm(), qt.Equals, os.FileMode(keyMode))
}

func TestNewToken(t *testing.T) {
	c := qt.New(t)
	a, err := NewToken()
	c.Assert(err, qt.IsNil)
	b, err := NewToken()
	c.Assert(err, qt.IsNil)
	c.Assert(a.Secret, qt.Not(qt.Equals), b.Secret)
	c.Assert(a.Secret, qt.HasLen, 43)
	sum := sha256.Sum256([]byte(a.Secret))
	c.Assert(a.Hash, qt.Equals, hex.EncodeToString(sum[:]))
}
