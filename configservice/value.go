package configservice

// MaxValueSize is the size in bytes that a value may have.
const MaxValueSize = 1 << 20

// Value is one version of a named value.
type Value struct {
	Name string
	// Index grows with each change of the value and is at least 1.
	Index uint64
	// Body is at most MaxValueSize long and is not changed after it was read.
	Body []byte
}
