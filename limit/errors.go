package limit

import "fmt"

// ConfigError reports a field of a configuration that is out of range.
type ConfigError struct {
	Field string
	Value int
}

// Error returns the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("limit: %s is out of range: %d", e.Field, e.Value)
}
