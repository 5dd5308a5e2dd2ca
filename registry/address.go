package registry

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// Host is the IPv4 address of an instance.
type Host [4]byte

// HostOf returns the host of an address. It reports *AddressError for IPv6.
func HostOf(a netip.Addr) (Host, error) {
	a = a.Unmap()
	if !a.Is4() {
		return Host{}, &AddressError{Text: a.String()}
	}
	return Host(a.As4()), nil
}

// Addr returns the host as an IP address.
func (h Host) Addr() netip.Addr {
	return netip.AddrFrom4(h)
}

// Port returns the IP address of the host with the given port.
func (h Host) Port(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(h.Addr(), port)
}

// IsZero reports whether h is the zero value, which is the address of no host.
func (h Host) IsZero() bool {
	return h == Host{}
}

// String returns the address in dotted form.
func (h Host) String() string {
	return h.Addr().String()
}

// Compare orders hosts by address.
func (h Host) Compare(o Host) int {
	return bytes.Compare(h[:], o[:])
}

// EncodeMsgpack writes the host as 4 bytes.
func (h Host) EncodeMsgpack(enc *msgpack.Encoder) error {
	return enc.EncodeBytes(h[:])
}

// DecodeMsgpack reads the format of EncodeMsgpack. It reports *AddressError when
// the length is not 4 bytes.
func (h *Host) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw) != len(h) {
		return &AddressError{Text: strconv.Itoa(len(raw)) + " bytes"}
	}
	copy(h[:], raw)
	return nil
}

// Endpoint is a port of a host. It is small, comparable and holds no pointers.
type Endpoint struct {
	Host Host   `msgpack:"h"`
	Port uint16 `msgpack:"p"`
}

// EndpointOf returns the endpoint of an address and port. It reports *AddressError for IPv6.
func EndpointOf(a netip.AddrPort) (Endpoint, error) {
	h, err := HostOf(a.Addr())
	if err != nil {
		return Endpoint{}, err
	}
	return Endpoint{Host: h, Port: a.Port()}, nil
}

// AddrPort returns the endpoint as an IP address and port.
func (e Endpoint) AddrPort() netip.AddrPort {
	return e.Host.Port(e.Port)
}

// isUnicast reports whether one host can be reached at the endpoint: the port is not 0, and
// the address is neither unspecified nor that of several hosts.
func (e Endpoint) isUnicast() bool {
	a := e.Host.Addr()
	broadcast := Host{255, 255, 255, 255}
	return e.Port != 0 && !a.IsUnspecified() && !a.IsMulticast() && e.Host != broadcast
}

// String returns the address and the port.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// AddressError reports an address that is not IPv4.
type AddressError struct {
	Text string
}

// Error returns the invalid text.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%s is not an IPv4 address", e.Text)
}
