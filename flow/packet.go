package flow

// Packet holds the fields of a caller's packet, or of an answer to it, that the
// decisions use.
type Packet struct {
	Key Key
	// Opening is true for a caller's TCP segment with SYN and without ACK, and for
	// an answer with SYN and ACK. It is false for UDP, where a packet does not show
	// whether it opens a flow.
	Opening bool
	// Closing is true for a TCP segment with RST or FIN.
	Closing bool
	// Reset is true for a TCP segment with RST.
	Reset bool
	// Sequence is the TCP sequence number; in an opening it identifies the incarnation of the flow.
	Sequence uint32
	// Acknowledged is the TCP acknowledgement number, valid when HasAck is true.
	Acknowledged uint32
	HasAck       bool
	// Size is the length of the whole IP packet in bytes.
	Size int
}
