// Package daisycert creates and loads the certificates by which hosts of a
// fleet authenticate to each other. A certificate's only DNS name is the
// name of the host.
package daisycert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/daisyglade/daisyglade/internal/base/daisyerror"
)

const (
	certLifetime = 2 * 365 * 24 * time.Hour
	clockSkew    = time.Hour
	serialBits   = 127
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// Authority signs host certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority creates an authority with a new key.
func NewAuthority(name string) (a *Authority, err error) {
	defer daisyerror.Annotate(&err, "create certificate authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pem: encodeCert(der)}, nil
}

// Files are the paths of a host's certificate files.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Issue writes a certificate for the host, its key and the authority's
// certificate into the folder.
func (a *Authority) Issue(folder, host string) (f Files, err error) {
	defer daisyerror.Annotate(&err, "issue certificate for %s", host)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	template, err := newTemplate(host)
	if err != nil {
		return Files{}, err
	}
	template.DNSNames = []string{host}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	f = Files{
		Authority:   filepath.Join(folder, "ca.pem"),
		Certificate: filepath.Join(folder, host+".pem"),
		Key:         filepath.Join(folder, host+"-key.pem"),
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return f, errors.Join(
		os.MkdirAll(folder, 0o700),
		os.WriteFile(f.Authority, a.pem, certFileMode),
		os.WriteFile(f.Certificate, encodeCert(der), certFileMode),
		os.WriteFile(f.Key, keyPEM, keyFileMode),
	)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certLifetime),
	}, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// Load returns a TLS configuration for links between hosts. Both sides present a
// certificate of the authority, whose host name PeerName returns.
func (f Files) Load() (c *tls.Config, err error) {
	defer daisyerror.Annotate(&err, "load certificates")
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("authority file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		// Hosts are dialed by address but their certificates carry names, so
		// VerifyConnection verifies the chain without the address.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s, pool)
		},
	}, nil
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// PeerName returns the host name in the certificate of a verified peer, or ""
// if there is none.
func PeerName(s *tls.ConnectionState) string {
	if s == nil || len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) != 1 {
		return ""
	}
	return s.PeerCertificates[0].DNSNames[0]
}
