// Package fabric implements the protocol of the fabric: callers' IP packets
// inside Geneve (RFC 8926) over UDP. It opens no sockets.
//
// Start with Decoder for received datagrams and with Append for sent ones.
// Segment and Datagram build complete IP packets; Reset and Refuse build the
// reply to a packet that is refused.
package fabric
