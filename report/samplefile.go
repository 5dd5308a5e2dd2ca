package report

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
)

const sampleFileMode = 0o644

// load adds the samples of a file. A missing file or an empty path adds none.
func (h *History) load(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FileError{Path: path, cause: err}
	}
	defer f.Close()
	d := json.NewDecoder(f)
	for {
		var s Sample
		err := d.Decode(&s)
		if errors.Is(err, io.EOF) {
			h.Trim()
			return nil
		}
		if err != nil {
			return &FileError{Path: path, cause: err}
		}
		h.Add(s)
	}
}

// appendSamples appends samples to a file as JSON, one per line. With an empty
// path it does nothing.
func appendSamples(path string, samples []Sample) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, sampleFileMode)
	if err != nil {
		return &FileError{Path: path, cause: err}
	}
	e := json.NewEncoder(f)
	for _, s := range samples {
		if err := e.Encode(s); err != nil {
			_ = f.Close()
			return &FileError{Path: path, cause: err}
		}
	}
	if err := f.Close(); err != nil {
		return &FileError{Path: path, cause: err}
	}
	return nil
}
