package bundle

import "github.com/goccy/go-yaml"

// Text returns the bundle as YAML in the form that operators write and Parse
// accepts. Zero values are omitted. Text fails with *EncodeError.
func (b *Bundle) Text() ([]byte, error) {
	text, err := yaml.MarshalWithOptions(b, yaml.IndentSequence(true))
	if err != nil {
		return nil, &EncodeError{What: "authored bundle", Cause: err}
	}
	return text, nil
}
