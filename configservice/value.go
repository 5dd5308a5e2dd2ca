package configservice

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Value is one version of a named value.
type Value struct {
	Name string
	// Index increases with each change of the value and is at least 1.
	Index uint64
	// Body is at most MaxValueSize bytes long and must not be modified.
	Body []byte
}
