package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeCertificate writes a self-signed certificate for loopback and returns the TLS
// settings that use it.
func writeCertificate(c *qt.C, dir, name string) *TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	t := &TLS{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), ClientCA: filepath.Join(dir, name+".pem")}
	c.Assert(os.WriteFile(t.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(t.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600), qt.IsNil)
	return t
}

// A process without a certificate, or with one of another authority, must not be able to
// open a link: it could start tasks in a member's name.
func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	c, dir := qt.New(t), t.TempDir()
	fleet, otherAuthority := writeCertificate(c, dir, "fleet"), writeCertificate(c, dir, "stranger")
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	var err error
	server.TLS, err = fleet.Server(true)
	c.Assert(err, qt.IsNil)
	server.StartTLS()
	defer server.Close()
	get := func(conf *tls.Config) error {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
		defer client.CloseIdleConnections()
		resp, err := client.Get(server.URL)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	conf, err := fleet.Client()
	c.Assert(err, qt.IsNil)
	c.Assert(get(conf), qt.IsNil)
	noCertificate := conf.Clone()
	noCertificate.Certificates = nil
	c.Assert(get(noCertificate), qt.IsNotNil)
	otherClient, err := otherAuthority.Client()
	c.Assert(err, qt.IsNil)
	c.Assert(get(otherClient), qt.IsNotNil) // it does not trust the server
	otherClient.RootCAs = conf.RootCAs
	c.Assert(get(otherClient), qt.IsNotNil) // the server does not trust it
}
