package limit

import "fmt"

// ConfigError says which setting is out of its range.
type ConfigError struct {
	Field string
	Value int
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("limit: %s is out of range: %d", e.Field, e.Value)
}
