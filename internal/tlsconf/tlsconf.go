// Package tlsconf builds the TLS configurations of both binaries. It also
// generates the credentials of a new fleet: a certificate authority (CA),
// certificates for entries and guards, and members' tokens.
//
// The package imports no other package of the project.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files holds the paths of the PEM files for one side of a connection. The CA
// file may contain several certificates, so that a CA can be replaced without
// interruption.
type Files struct {
	Cert string
	Key  string
	CA   string // certificates of the CAs that are trusted to sign the peer's
}

// Minimum TLS versions. Callers and the platform's store run software of other
// parties, so TLS 1.2 is accepted on connections with them. Connections between
// the processes of the system have this project's software at both ends and
// require TLS 1.3.
const (
	minExternalVersion = tls.VersionTLS12
	minInternalVersion = tls.VersionTLS13
)

var (
	errNoKeyPair = errors.New("certificate and key files are both required")
	errNoCA      = errors.New("CA certificate file is required")
)

// CallerServer returns the configuration of the listener for callers. Callers
// authenticate with a token, so no client certificate is requested and f.CA is not
// used.
func CallerServer(f Files) (*tls.Config, error) {
	cert, err := loadKeyPair(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: minExternalVersion, Certificates: []tls.Certificate{cert}}, nil
}

// InnerServer returns the configuration of an entry's listener for guards and
// other entries. Clients must present a certificate signed by the fleet's CA.
// Otherwise any client that can reach the port could register an upstream and
// receive a member's tasks.
func InnerServer(f Files) (*tls.Config, error) {
	cert, err := loadKeyPair(f)
	if err != nil {
		return nil, err
	}
	pool, err := loadCertPool(f.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   minInternalVersion,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}, nil
}

// InnerClient returns the configuration with which guards and entries dial
// entries.
func InnerClient(f Files) (*tls.Config, error) {
	cert, err := loadKeyPair(f)
	if err != nil {
		return nil, err
	}
	pool, err := loadCertPool(f.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: minInternalVersion, Certificates: []tls.Certificate{cert}, RootCAs: pool}, nil
}

// ExternalClient returns the configuration for dialing the platform's store, or an
// entry as a caller. With an empty CA the system's root certificates are used;
// with empty Cert and Key no client certificate is presented.
func ExternalClient(f Files) (*tls.Config, error) {
	c := &tls.Config{MinVersion: minExternalVersion}
	if f.CA != "" {
		pool, err := loadCertPool(f.CA)
		if err != nil {
			return nil, err
		}
		c.RootCAs = pool
	}
	if f.Cert == "" && f.Key == "" {
		return c, nil
	}
	cert, err := loadKeyPair(f)
	if err != nil {
		return nil, err
	}
	c.Certificates = []tls.Certificate{cert}
	return c, nil
}

func loadKeyPair(f Files) (tls.Certificate, error) {
	if f.Cert == "" || f.Key == "" {
		return tls.Certificate{}, errNoKeyPair
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("load certificate %s with key %s: %w", f.Cert, f.Key, err)
	}
	return cert, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, errNoCA
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read CA certificates from %s: no valid certificate found", file)
	}
	return pool, nil
}
