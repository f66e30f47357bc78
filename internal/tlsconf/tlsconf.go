// Package tlsconf owns the TLS configurations of both binaries and the files
// that a new fleet starts from: a small certificate authority, certificates
// for entries and guards, and members' tokens.
//
// The package imports nothing of the project.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files names the PEM files of one side of a connection. CA may hold several
// certificates, which lets an authority be replaced without a gap.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Least protocol versions. Callers and the platform's store bring software of
// their own, so TLS 1.2 is accepted there; between the system's processes both
// ends are ours.
const (
	minExternalVersion = tls.VersionTLS12
	minInternalVersion = tls.VersionTLS13
)

var (
	errNoKeyPair = errors.New("certificate and key are both needed")
	errNoCA      = errors.New("the authority's certificate is needed")
)

// CallerServer is the configuration of the listener for callers. They prove
// who they are by token, so no certificate is asked of them.
func CallerServer(f Files) (*tls.Config, error) {
	cert, err := loadKeyPair(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: minExternalVersion, Certificates: []tls.Certificate{cert}}, nil
}

// InnerServer is the configuration of an entry's listener for guards and other
// entries. Both must present a certificate of the fleet's authority: without
// that, anybody who reaches the port could announce an upstream and be handed
// a member's tasks.
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

// InnerClient is the configuration with which guards and entries dial entries.
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

// OutsideClient is the configuration for dialling the platform's store or an
// entry as a caller. An empty CA means the system's authorities; an empty Cert
// and Key mean that no certificate is presented.
func OutsideClient(f Files) (*tls.Config, error) {
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
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read authority %s: no certificate in it", file)
	}
	return pool, nil
}
