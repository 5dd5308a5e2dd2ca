package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/corianderbay/corianderbay/bundle"
)

const (
	// standardStream is the file name that stands for standard input or output.
	standardStream = "-"
	// privateMode is for files that hold secrets.
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o755
	// fixmapPrefix and fixmapMask identify the first byte of a frozen bundle, a
	// msgpack fixmap. Authored bundles are text.
	fixmapPrefix = 0x80
	fixmapMask   = 0xf0
)

// ioStreams are the standard input and output of a command.
type ioStreams struct {
	in  io.Reader
	out io.Writer
}

func (s ioStreams) printf(format string, args ...any) error {
	if _, err := fmt.Fprintf(s.out, format, args...); err != nil {
		return &WriteError{File: standardStream, Cause: err}
	}
	return nil
}

func (s ioStreams) printJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return &WriteError{File: standardStream, Cause: err}
	}
	return nil
}

// read returns the content of the file, up to one byte more than the largest
// frozen bundle.
func (s ioStreams) read(file string) ([]byte, error) {
	r := s.in
	if file != standardStream {
		f, err := os.Open(file)
		if err != nil {
			return nil, &ReadError{File: file, Cause: err}
		}
		defer f.Close()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, bundle.MaxFrozen+1))
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	return b, nil
}

// write replaces the file atomically by a file with the content b.
func (s ioStreams) write(file string, b []byte, mode os.FileMode) error {
	if file == standardStream {
		_, err := s.out.Write(b)
		return writeError(file, err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), ".corianderctl-*")
	if err != nil {
		return writeError(file, err)
	}
	_, err = tmp.Write(b)
	if err == nil {
		err = tmp.Chmod(mode)
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return writeError(file, err)
}

func writeError(file string, err error) error {
	if err == nil {
		return nil
	}
	return &WriteError{File: file, Cause: err}
}

// loadBundle reads a bundle in authored or frozen form.
func (s ioStreams) loadBundle(file string) (*bundle.Bundle, error) {
	raw, err := s.read(file)
	if err != nil {
		return nil, err
	}
	if !isFrozen(raw) {
		b, err := bundle.Parse(file, raw)
		return b, inputError(file, err)
	}
	f, err := bundle.Unmarshal(raw)
	if err != nil {
		return nil, inputError(file, err)
	}
	b, err := f.Decode()
	return b, inputError(file, err)
}

// loadFrozen reads a bundle in frozen form.
func (s ioStreams) loadFrozen(file string) (*bundle.Frozen, error) {
	raw, err := s.read(file)
	if err != nil {
		return nil, err
	}
	if !isFrozen(raw) {
		return nil, &NotFrozenError{File: file}
	}
	f, err := bundle.Unmarshal(raw)
	return f, inputError(file, err)
}

// writeFrozen writes a bundle in frozen form.
func (s ioStreams) writeFrozen(file string, f *bundle.Frozen) error {
	raw, err := f.Marshal()
	if err != nil {
		return err
	}
	return s.write(file, raw, publicMode)
}

// writeText writes a bundle in authored form.
func (s ioStreams) writeText(file string, b *bundle.Bundle) error {
	text, err := b.Text()
	if err != nil {
		return err
	}
	return s.write(file, text, publicMode)
}

func isFrozen(raw []byte) bool {
	return len(raw) > 0 && raw[0]&fixmapMask == fixmapPrefix
}
