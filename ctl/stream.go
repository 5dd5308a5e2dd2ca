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
	// standard names standard input or output in place of a file.
	standard = "-"
	// privateMode is for files that hold secrets.
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o755
	// mapCode and mapMask tell a frozen bundle, which begins with a small msgpack map, from text.
	mapCode = 0x80
	mapMask = 0xf0
)

// stream is where a command reads and writes.
type stream struct {
	in  io.Reader
	out io.Writer
}

func (s stream) printf(format string, args ...any) error {
	if _, err := fmt.Fprintf(s.out, format, args...); err != nil {
		return &WriteError{File: standard, Cause: err}
	}
	return nil
}

func (s stream) printJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return &WriteError{File: standard, Cause: err}
	}
	return nil
}

// read returns what is in the file. It reads at most the size of a frozen bundle.
func (s stream) read(file string) ([]byte, error) {
	r := s.in
	if file != standard {
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

// write puts b in the file. Another file is never left half written under the name.
func (s stream) write(file string, b []byte, mode os.FileMode) error {
	if file == standard {
		_, err := s.out.Write(b)
		return writeFault(file, err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), ".corianderctl-*")
	if err != nil {
		return writeFault(file, err)
	}
	_, err = tmp.Write(b)
	if err == nil {
		err = tmp.Chmod(mode)
	}
	if closed := tmp.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return writeFault(file, err)
}

func writeFault(file string, err error) error {
	if err == nil {
		return nil
	}
	return &WriteError{File: file, Cause: err}
}

// loadBundle reads a bundle in authored or frozen form.
func (s stream) loadBundle(file string) (*bundle.Bundle, error) {
	raw, err := s.read(file)
	if err != nil {
		return nil, err
	}
	if !isFrozen(raw) {
		b, err := bundle.Parse(file, raw)
		return b, inputFault(file, err)
	}
	f, err := bundle.Unmarshal(raw)
	if err != nil {
		return nil, inputFault(file, err)
	}
	b, err := f.Decode()
	return b, inputFault(file, err)
}

// loadFrozen reads a bundle in frozen form.
func (s stream) loadFrozen(file string) (*bundle.Frozen, error) {
	raw, err := s.read(file)
	if err != nil {
		return nil, err
	}
	if !isFrozen(raw) {
		return nil, &FormError{File: file}
	}
	f, err := bundle.Unmarshal(raw)
	return f, inputFault(file, err)
}

// writeFrozen writes a bundle in frozen form.
func (s stream) writeFrozen(file string, f *bundle.Frozen) error {
	raw, err := f.Marshal()
	if err != nil {
		return err
	}
	return s.write(file, raw, publicMode)
}

// writeText writes a bundle in authored form.
func (s stream) writeText(file string, b *bundle.Bundle) error {
	text, err := b.Text()
	if err != nil {
		return err
	}
	return s.write(file, text, publicMode)
}

func isFrozen(raw []byte) bool {
	return len(raw) > 0 && raw[0]&mapMask == mapCode
}
