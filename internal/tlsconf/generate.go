package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that GenerateFleet writes.
const (
	CACertFile    = "ca.pem"
	CAKeyFile     = "ca-key.pem" // needed only to issue more certificates; must not be stored on a VM of the fleet
	EntryCertFile = "entry.pem"
	EntryKeyFile  = "entry-key.pem"
	GuardCertFile = "guard.pem"
	GuardKeyFile  = "guard-key.pem"
)

const (
	caValidityPeriod   = 5 * 365 * 24 * time.Hour
	leafValidityPeriod = 365 * 24 * time.Hour
	maxClockSkew       = time.Hour // a VM whose clock is slow by up to this must accept a new certificate
	serialBits         = 127
	certMode           = 0o644
	keyMode            = 0o600
	dirMode            = 0o755
)

// issuedCert is a certificate with its private key.
type issuedCert struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// GenerateFleet writes a CA, a certificate for entries and one for guards to dir,
// each with its key. hosts are the host names and IP addresses of the entries.
// Guards are never dialed, so their certificate contains no host and cannot be
// used as an entry's. The certificates are valid from maxClockSkew before now. It is
// an error if hosts is empty or if one of the files exists; existing files are never
// overwritten.
func GenerateFleet(dir string, hosts []string, now time.Time) error {
	if len(hosts) == 0 {
		return fmt.Errorf("generate fleet: no host name or IP address given for the entry certificate")
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("generate fleet: %w", err)
	}
	ca, err := newCA(now)
	if err != nil {
		return err
	}
	entry, err := newLeaf(ca, entryTemplate(hosts), now)
	if err != nil {
		return err
	}
	guard, err := newLeaf(ca, guardTemplate(), now)
	if err != nil {
		return err
	}
	return writeFleetFiles(dir, ca, entry, guard)
}

func writeFleetFiles(dir string, ca, entry, guard *issuedCert) error {
	files := []struct {
		cert, key string
		pair      *issuedCert
	}{
		{CACertFile, CAKeyFile, ca},
		{EntryCertFile, EntryKeyFile, entry},
		{GuardCertFile, GuardKeyFile, guard},
	}
	for _, f := range files {
		if err := writeCertAndKey(filepath.Join(dir, f.cert), filepath.Join(dir, f.key), f.pair); err != nil {
			return err
		}
	}
	return nil
}

func newCA(now time.Time) (*issuedCert, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "wigeontray authority"},
		NotAfter:              now.Add(caValidityPeriod),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
	}
	return issueCert(template, nil, now)
}

func entryTemplate(hosts []string) *x509.Certificate {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "wigeontray entry"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, h)
		}
	}
	return template
}

func guardTemplate() *x509.Certificate {
	return &x509.Certificate{
		Subject:     pkix.Name{CommonName: "wigeontray guard"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
}

func newLeaf(ca *issuedCert, template *x509.Certificate, now time.Time) (*issuedCert, error) {
	template.NotAfter = now.Add(leafValidityPeriod)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	return issueCert(template, ca, now)
}

// issueCert generates a key and a certificate from template, signed by parent, or
// self-signed if parent is nil.
func issueCert(template *x509.Certificate, parent *issuedCert, now time.Time) (*issuedCert, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	template.NotBefore = now.Add(-maxClockSkew)
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	if err != nil {
		return nil, fmt.Errorf("sign certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	return &issuedCert{cert: cert, der: der, key: key}, nil
}

func writeCertAndKey(certFile, keyFile string, issued *issuedCert) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(issued.key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER, keyMode); err != nil {
		return err
	}
	return writePEM(certFile, "CERTIFICATE", issued.der, certMode)
}

// writePEM creates a PEM file with one block. It fails if the file exists:
// overwriting the key of a CA would lock out every process that trusts the old
// one.
func writePEM(file, blockType string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("create PEM file: %w", err)
	}
	if err := pem.Encode(f, &pem.Block{Type: blockType, Bytes: der}); err != nil {
		_ = f.Close() // the first error is the one to report
		return fmt.Errorf("write %s: %w", file, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
