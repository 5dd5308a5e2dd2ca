// Package fabric is the protocol spoken to the fabric: callers' IP packets
// inside Geneve (RFC 8926) over UDP. It opens no sockets.
//
// Start with Decoder for what arrives and with Append for what leaves. Segment
// and Datagram build whole IP packets; Reset and Refuse answer a caller whose
// packet is refused.
package fabric
